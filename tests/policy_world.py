"""A simulation of a fleet in virtual time, for tests of the joint behaviour of relays.

Relays are real balancers behind a host that turns their actions into events. Backends and clients are the
models of policy_models: clients arrive, stay for a time, and reconnect if they were rejected or moved. One
seeded random generator is used for everything, so each run is reproducible.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from policy_models import Attempt, Backend, Connection, Deployment, Rejection

from cedarledge.policy import Balancer
from cedarledge.terms import MS, SECOND, BackendState, ListForm, LoadReport, Outcome

START = 1000 * SECOND
ATTEMPT_TIME = 20 * MS
PROBE_TIME = 4 * MS
# A backend rejects new connections from this multiple of its connections at full load on.
MAX_CONNECTIONS_FACTOR = 2.0
RECONNECT_DELAY = (100 * MS, 900 * MS)
LIST_REQUEST_TIME = 300 * MS


@dataclass
class Relay:
    """A balancer with a host that turns the balancer's actions into events of the simulation."""

    world: World
    relay_id: int
    seed: int
    alive: bool = True
    pending: dict[int, Connection] = field(default_factory=dict)
    opened: dict[int, Connection] = field(default_factory=dict)
    requested_at: dict[int, int] = field(default_factory=dict)
    attempted: set[int] = field(default_factory=set)
    reported_at: dict[int, int] = field(default_factory=dict)
    unreported_probed_at: int = -1

    def __post_init__(self) -> None:
        self.started = self.world.now
        self.balancer = Balancer(
            self, self.world.deployment.settings(self.relay_id, self.world.now, self.seed)
        )
        entries = [backend.entry() for backend in self.world.backends.values()]
        self.balancer.list_changed(self.world.now, ListForm.RESTORED, entries)

    # -- the host interface ------------------------------------------------------------------------

    def attempt(self, connection_id: int, backend_id: int, timeout: int) -> None:
        world, connection = self.world, self.pending[connection_id]
        self.attempted.add(connection_id)
        load = world.deployment.relative_load(connection.class_index)
        world.attempts.append(Attempt(world.now, self.relay_id, backend_id, load))
        took = min(ATTEMPT_TIME, timeout)
        outcome = Outcome.TIMEOUT if timeout <= ATTEMPT_TIME else None
        world.schedule(took, lambda: self._attempt_finished(connection_id, backend_id, took, outcome))

    def reject(self, connection_id: int, retry_after: int) -> None:
        self._reject(connection_id, retry_after)

    def close_with_error(self, connection_id: int) -> None:
        self._reject(connection_id, 0)

    def move(self, connection_id: int) -> None:
        self.world.schedule(
            ATTEMPT_TIME, lambda: self._end(connection_id, Outcome.CANCELLED, reconnects=True)
        )

    def probe(self, backend_id: int) -> None:
        if not self._has_recent_report(backend_id) and not self.world.backends[backend_id].is_cold(
            self.world.now
        ):
            self.unreported_probed_at = self.world.now
        self.world.schedule(PROBE_TIME, lambda: self._probed(backend_id))

    def set_timer(self, delay: int, token: int) -> None:
        self.world.schedule(delay, lambda: self.alive and self.balancer.timer_fired(self.world.now, token))

    def request_list(self) -> None:
        self.world.schedule(LIST_REQUEST_TIME, self._send_whole_list)

    def log(self, text: str) -> None:
        pass

    # -- events ------------------------------------------------------------------------------

    def request(self, connection: Connection, returning: bool = False) -> None:
        world, deployment = self.world, self.world.deployment
        connection_id = next(world.connection_ids)
        self.pending[connection_id] = connection
        self.requested_at[connection_id] = world.now
        world.requests.append((world.now, self.relay_id))
        self.balancer.connection_requested(
            world.now,
            connection_id,
            connection.class_index,
            connection.tenant,
            connection.key,
            connection.group,
            deployment.classes[connection.class_index].deadline,
            None,
            returning,
        )

    def adopt(self, connection: Connection, backend: Backend) -> None:
        connection_id = next(self.world.connection_ids)
        self.balancer.connection_adopted(
            self.world.now,
            connection_id,
            connection.class_index,
            connection.tenant,
            connection.key,
            connection.group,
            backend.backend_id,
            None,
        )
        backend.add(connection)
        self._connection_is_open(connection_id, connection)

    def backend_changed(self, backend: Backend) -> None:
        if self.alive:
            self.balancer.list_changed(self.world.now, ListForm.CHANGES, [backend.entry()])

    def stop(self) -> None:
        """Ends the process; its clients reconnect at other relays."""
        self.alive = False
        for connection in self.opened.values():
            connection.backend.release(connection)
        for connection in (*self.opened.values(), *self.pending.values()):
            self.world.reconnect_later(connection)
        self.opened.clear()
        self.pending.clear()

    def backend_stopped(self, backend: Backend) -> None:
        for connection_id in [
            one for one, connection in self.opened.items() if connection.backend is backend
        ]:
            self._end(connection_id, Outcome.RESET, reconnects=True)

    def _connection_is_open(self, connection_id: int, connection: Connection) -> None:
        world = self.world
        self.opened[connection_id] = connection
        world.schedule(300 * MS, lambda: self._send_load(connection_id))
        lifetime = int(world.rng.expovariate(1 / world.deployment.lifetime))
        world.schedule(lifetime, lambda: self._end(connection_id, Outcome.DONE, reconnects=False))

    def _send_load(self, connection_id: int) -> None:
        if self.alive and connection_id in self.opened:
            self.balancer.load_changed(self.world.now, connection_id, self.opened[connection_id].load)

    def _attempt_finished(
        self, connection_id: int, backend_id: int, took: int, outcome: Outcome | None
    ) -> None:
        if not self.alive:
            return
        now, backend = self.world.now, self.world.backends[backend_id]
        if outcome is None and backend.state is BackendState.GONE:
            outcome = Outcome.CONNECT_FAILED
        if (
            outcome is None
            and backend.connections >= MAX_CONNECTIONS_FACTOR * self.world.deployment.connections_per_backend
        ):
            outcome = Outcome.FULL
        if outcome is None:
            connection = self.pending.pop(connection_id)
            backend.add(connection)
            self.balancer.connection_opened(now, connection_id, took)
            self._connection_is_open(connection_id, connection)
        else:
            self.balancer.attempt_ended(
                now, connection_id, backend_id, False, outcome, took, self._inline_report(backend)
            )

    def _end(self, connection_id: int, outcome: Outcome, reconnects: bool) -> None:
        connection = self.opened.pop(connection_id, None)
        if connection is None:
            return
        backend = connection.backend
        backend.release(connection)
        self.balancer.attempt_ended(
            self.world.now,
            connection_id,
            backend.backend_id,
            True,
            outcome,
            ATTEMPT_TIME,
            self._inline_report(backend),
        )
        if reconnects:
            self.world.reconnect_later(connection)

    def _inline_report(self, backend: Backend) -> LoadReport | None:
        if self.world.deployment.probes or backend.state is BackendState.GONE:
            return None
        self.reported_at[backend.backend_id] = self.world.now
        return backend.report(self.world.now)

    def _probed(self, backend_id: int) -> None:
        if not self.alive:
            return
        backend = self.world.backends[backend_id]
        answered = backend.state is not BackendState.GONE
        if answered:
            self.reported_at[backend_id] = self.world.now
        self.balancer.probe_ended(self.world.now, backend_id, answered, backend.report(self.world.now))

    def _reject(self, connection_id: int, retry_after: int) -> None:
        world, connection = self.world, self.pending.pop(connection_id)
        warm = [
            backend
            for backend in world.backends.values()
            if backend.state is BackendState.READY and not backend.is_cold(world.now)
        ]
        fleet_load = sum(backend.utilization(world.now) for backend in warm) / max(1, len(warm))
        world.rejections.append(
            Rejection(
                world.now,
                self.relay_id,
                load=world.deployment.relative_load(connection.class_index),
                attempted=connection_id in self.attempted,
                fresh_reports=sum(self._has_recent_report(backend.backend_id) for backend in warm),
                warm=len(warm),
                fleet_load=fleet_load,
                probed_unseen=self.unreported_probed_at >= self.requested_at[connection_id],
            )
        )
        if connection.retries_left:
            connection.retries_left -= 1
            world.reconnect_later(connection, retry_after)

    def _has_recent_report(self, backend_id: int) -> bool:
        return self.world.now - self.reported_at.get(backend_id, -math.inf) <= self.world.max_report_age

    def _send_whole_list(self) -> None:
        if self.alive:
            entries = [
                backend.entry()
                for backend in self.world.backends.values()
                if backend.state is not BackendState.GONE
            ]
            self.balancer.list_changed(self.world.now, ListForm.WHOLE, entries)


class World:
    """The fleet, its clients, and the queue of future events."""

    def __init__(
        self, deployment: Deployment, live_relays: int | None = None, max_report_age: int = 4 * SECOND
    ) -> None:
        self.deployment = deployment
        self.max_report_age = max_report_age
        self.now = START
        self.rng = random.Random(deployment.seed)
        self.connection_ids = itertools.count(1)
        self.events: list[tuple[int, int, Callable[[], object]]] = []
        self.event_order = itertools.count()
        self.requests: list[tuple[int, int]] = []  # time, relay
        self.attempts: list[Attempt] = []
        self.rejections: list[Rejection] = []
        self.backends: dict[int, Backend] = {}
        self.relays: list[Relay] = []
        for _ in range(deployment.backends):
            self._add_backend(0)
        count = deployment.relays if live_relays is None else live_relays
        for relay_id in range(count):
            self.relays.append(self._new_relay(relay_id))

    # -- time --------------------------------------------------------------------------------------

    def schedule(self, delay: int, action: Callable[[], object]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.event_order), action))

    def run(self, duration: int) -> None:
        end = self.now + duration
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    # -- backends and relays -----------------------------------------------------------------------

    def _add_backend(self, started: int) -> Backend:
        first_refresh = self.rng.randrange(self.deployment.report_period)
        backend = Backend(len(self.backends), self.deployment, started)
        self.backends[backend.backend_id] = backend
        backend.refresh(self.now - self.deployment.report_period)
        self.schedule(first_refresh, lambda: self._refresh(backend))
        return backend

    def _refresh(self, backend: Backend) -> None:
        backend.refresh(self.now)
        if backend.state is not BackendState.GONE:
            self.schedule(self.deployment.report_period, lambda: self._refresh(backend))

    def _new_relay(self, relay_id: int) -> Relay:
        return Relay(self, relay_id, seed=self.rng.randrange(1 << 32))

    def start_backend(self) -> Backend:
        """Adds a cold backend, which the relays get to know at different times."""
        backend = self._add_backend(self.now)
        self._notify_relays(backend)
        return backend

    def drain_backend(self, backend: Backend, within: int) -> None:
        backend.state = BackendState.DRAINING
        self._notify_relays(backend)
        self.schedule(within, lambda: self._stop_backend(backend))

    def _stop_backend(self, backend: Backend) -> None:
        backend.state = BackendState.GONE
        for relay in self.relays:
            relay.backend_stopped(backend)
        self._notify_relays(backend)

    def _notify_relays(self, backend: Backend) -> None:
        for relay in self.relays:
            self.schedule(
                self.rng.randrange(self.deployment.list_update_delay),
                lambda relay=relay: relay.backend_changed(backend),
            )

    def restart_relay(self, relay_id: int, pause: int = 500 * MS) -> None:
        self.relays[relay_id].stop()
        self.schedule(pause, lambda: self._replace_relay(relay_id))

    def _replace_relay(self, relay_id: int) -> None:
        self.relays[relay_id] = self._new_relay(relay_id)

    # -- clients -----------------------------------------------------------------------------------

    def populate(self) -> None:
        """Opens the initial connections: an equal number at each relay, and each group on few backends."""
        connections = [self.new_connection() for _ in range(round(self.deployment.connections))]
        connections.sort(key=lambda connection: connection.group or "")
        rotation = itertools.cycle(self.backends.values())
        backend = next(rotation)
        for index, connection in enumerate(connections):
            if not connection.group or backend.utilization(self.now) >= self.deployment.load:
                backend = next(rotation)
            self.relays[index % len(self.relays)].adopt(connection, backend)
        for backend in self.backends.values():
            backend.refresh(self.now - self.deployment.report_delay)

    def start_arrivals(self, rate: float) -> None:
        """Adds a Poisson process of new clients, with a rate per second over all live relays."""
        if rate > 0:
            self.schedule(int(SECOND * self.rng.expovariate(rate)), lambda: self._arrival(rate))

    def _arrival(self, rate: float) -> None:
        self._send_request(self.new_connection(), returning=False)
        self.start_arrivals(rate)

    def new_connection(self) -> Connection:
        deployment, rng = self.deployment, self.rng
        class_index = rng.randrange(len(deployment.classes))
        # Loads vary, with a mean of 1 over all classes.
        load = deployment.relative_load(class_index) * rng.uniform(0.5, 1.5)
        groups = math.ceil(deployment.connections / deployment.group_size) if deployment.group_size else 0
        return Connection(
            class_index,
            load,
            f"group {rng.randrange(groups)}" if groups else None,
            rng.randrange(deployment.tenants) if deployment.tenants else None,
            f"client {rng.randrange(1 << 30)}",
            deployment.retries,
        )

    def _send_request(self, connection: Connection, returning: bool) -> None:
        alive = [relay for relay in self.relays if relay.alive]
        if alive:
            self.rng.choice(alive).request(connection, returning)
        else:
            self.reconnect_later(connection)

    def reconnect_later(self, connection: Connection, min_delay: int = 0) -> None:
        delay = max(min_delay, self.rng.randint(*RECONNECT_DELAY))
        self.schedule(delay, lambda: self._send_request(connection, returning=True))
