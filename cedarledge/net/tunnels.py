"""Tunnels: their table, and the life of each from a front's word to the slot given back."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from loguru import logger

from cedarledge.net.backend_registry import BackendRegistry
from cedarledge.net.backends import BackendConnector, SetupConnection
from cedarledge.net.clients import OpenRequest
from cedarledge.net.interfaces import ClientConnection
from cedarledge.net.line_connection import ConnectionContext
from cedarledge.net.lines import parse_finite
from cedarledge.net.message_latency import MessageTimer, MessageTimers
from cedarledge.net.observers import Observers
from cedarledge.net.policy_host import RelayPolicyHost
from cedarledge.net.request_guard import RequestGuard, RequestRecord
from cedarledge.net.slots import NoFreeSlotError, SlotTable
from cedarledge.policy.estimators import DecayingSum
from cedarledge.terms import MS, SECOND, LoadReport, Outcome, RequestClassSettings

# A client that would wait for so many times its profile's client timeout is none of ours.
LONGER = 2
# The way back of an answer is part of the client's wait.
WAY_BACK = 5 * MS
# Connections that were open before the run must be up again within 40 s of its start.
ADOPT_WITHIN, ADOPT_CONNECT_WITHIN, ADOPT_AGAIN = 38 * SECOND, 4 * SECOND, 250 * MS
UNKNOWN_FOR = 2 * SECOND
# Clients that came from another relay of late, by a sum that fades within seconds.
LATELY = 4 * SECOND
# What is counted, as the log calls it.
COUNTED = ("taken", "opened", "rejected", "failed", "moved", "silent", "left")


class Tunnel:
    """A client's request and what it holds; its slot is given back in Tunnels._free."""

    __slots__ = (
        "began",
        "client",
        "closed",
        "is_open",
        "known_to_policy",
        "message_timer",
        "open_request",
        "profile",
        "request",
        "setup",
        "tenant",
    )

    def __init__(
        self,
        client: ClientConnection,
        open_request: OpenRequest,
        profile: int,
        tenant: int | None,
        began: int,
    ) -> None:
        self.client = client
        self.open_request = open_request
        self.profile = profile
        self.tenant = tenant
        self.began = began
        self.request = RequestRecord(
            open_request.id,
            profile,
            began + open_request.client_timeout if open_request.previous_backend is None else 0,
        )
        self.setup: SetupConnection | None = None
        self.message_timer: MessageTimer | None = None
        self.known_to_policy = False
        self.is_open = self.closed = False


class Tunnels:
    """All tunnels of a relay, whatever front they came by."""

    backends: BackendConnector
    message_timers: MessageTimers

    def __init__(
        self,
        context: ConnectionContext,
        policy_host: RelayPolicyHost,
        registry: BackendRegistry,
        observers: Observers,
        most: int,
        profiles: Mapping[str, int],
        tenants: Mapping[str, int],
        waits: Sequence[int],
        connect_within: int,
        classes: Sequence[RequestClassSettings] = (),
    ) -> None:
        self.context = context
        self.guard = RequestGuard(
            context.invariants, context.clock, classes, registry.entries, registry.backend_ids.names
        )
        self.clock = context.clock
        self.timers = context.timers
        self.policy_host = policy_host
        self.registry = registry
        self.observers = observers
        self.table: SlotTable[Tunnel] = SlotTable(most)
        self.ids: set[str] = set()  # of all tunnels here, as their clients named them
        self.predecessor_ids: frozenset[str] = frozenset()  # at the process that this one takes over from
        self.profiles = profiles
        self.tenants = tenants
        self.waits = waits
        self.connect_within = connect_within
        self._counts: Counter[str] = Counter()
        self.saw_new_request = False  # somebody has come who was not open before the run
        # Clients that came back here less those that were sent away from here: more come than go while
        # another relay is down, and about as many where a backend is.
        self.net_returned_clients = DecayingSum(LATELY)

    def connect(self, backends: BackendConnector, message_timers: MessageTimers) -> None:
        self.backends = backends
        self.message_timers = message_timers

    def counts(self) -> str:
        """What became of all requests so far, for the log."""
        return ", ".join(f"{self._counts[name]} {name}" for name in COUNTED)

    # -- what the module has done ------------------------------------------------------------------

    def send(self, tunnel_id: int, backend_id: int, timeout: int) -> None:
        if not self.guard.may_attempt(
            self.table.get(tunnel_id).request, backend_id, backend_id in self.registry.ready
        ):
            self._not_sent(tunnel_id, backend_id)
            return
        self._set_up(tunnel_id, backend_id, timeout, self.connect_within)
        self.observers.notify("set_up", tunnel_id, backend_id, timeout)

    def _not_sent(self, tunnel_id: int, backend_id: int) -> None:
        """Tells the module once it is through with what it does now."""
        self.timers.after(0, self.setup_over, tunnel_id, backend_id, Outcome.NOT_SENT, 0, None, False)

    def _set_up(self, tunnel_id: int, backend_id: int, timeout: int, connect_within: int) -> None:
        tunnel = self.table.get(tunnel_id)
        self.guard.record_attempt(tunnel.request, backend_id)
        try:
            tunnel.setup = self.backends.set_up(
                tunnel_id,
                backend_id,
                self.registry.addresses[backend_id],
                tunnel.open_request.line_for_backend,
                timeout,
                connect_within,
            )
        except NoFreeSlotError:
            self._not_sent(tunnel_id, backend_id)

    def decline(self, tunnel_id: int, come_back: int) -> None:
        tunnel = self.table.get(tunnel_id)
        if not self.guard.may_reject(tunnel.request):
            self.close_with_error(tunnel_id)
            return
        tunnel.client.reject(come_back)
        self.context.rate_limited_log.warn("rejected", lambda: self.guard.describe(tunnel.request))
        self._answered(tunnel_id, True)

    def close_with_error(self, tunnel_id: int) -> None:
        tunnel = self.table.get(tunnel_id)
        tunnel.client.send_error()
        self.context.rate_limited_log.warn("failed", lambda: self.guard.describe(tunnel.request))
        self._answered(tunnel_id, False)

    def move(self, tunnel_id: int) -> None:
        tunnel = self.table.get(tunnel_id)
        if tunnel is None or tunnel.closed or not tunnel.is_open:
            return
        setup = tunnel.setup
        logger.debug(
            "tunnel {} is moved off {}", tunnel_id, self.registry.backend_ids.names[setup.backend_id]
        )
        self.net_returned_clients.add(self.clock(), -1)
        self._counts["moved"] += 1
        self._part(tunnel)
        tunnel.request.attempt_ended(Outcome.CANCELLED)
        tunnel.client.send_move()
        setup.cancel()
        self.observers.notify("moved", tunnel_id, setup.backend_id)
        # The module is in the midst of moving, so it hears of the end afterwards.
        self.timers.after(0, self._moved, tunnel_id, setup.backend_id, self.clock() - setup.began)

    # -- what the clients' side tells --------------------------------------------------------------

    def request_arrived(self, client: ClientConnection, open_request: OpenRequest) -> int:
        try:
            profile = self.profiles[open_request.profile]
            tenant = None if open_request.tenant is None else self.tenants[open_request.tenant]
        except KeyError as why:
            client.protocol_error(f"nothing is called {why}")
            return -1
        if (
            open_request.previous_backend is None
            and open_request.client_timeout > LONGER * self.waits[profile]
        ):
            client.protocol_error(
                f"{open_request.profile} does not wait for {open_request.client_timeout // MS} ms"
            )
            return -1
        if open_request.id in self.ids or open_request.id in self.predecessor_ids:
            # Two of one id would be told apart by nobody behind this relay, and the first is the one served.
            client.protocol_error(f"{open_request.id[:40]} is open already")
            return -1
        tunnel = Tunnel(client, open_request, profile, tenant, self.clock())
        try:
            tunnel_id = self.table.allocate(tunnel)
        except NoFreeSlotError:
            self.context.rate_limited_log.warn("client", "no slot is left for a tunnel")
            client.reject(0)
            return -1
        self.ids.add(open_request.id)
        self._counts["taken"] += 1
        self.observers.notify("arrived", tunnel_id, profile, open_request.returning)
        if open_request.previous_backend is not None:
            self._adopt(tunnel_id)
            return tunnel_id
        tunnel.known_to_policy = self.saw_new_request = True
        if open_request.returning:
            self.net_returned_clients.add(self.clock(), 1)
        if not self.policy_host.call(
            self.policy_host.balancer.connection_requested,
            tunnel_id,
            profile,
            tenant,
            open_request.key,
            open_request.group,
            max(MS, open_request.client_timeout - WAY_BACK),
            open_request.load_hint,
            open_request.returning,
        ):
            self.fail_request(tunnel_id)
        return tunnel_id

    def lines_from_client(self, tunnel_id: int, lines: list[bytes]) -> None:
        tunnel = self.table.get(tunnel_id)
        if tunnel is None or tunnel.closed:
            return
        tunnel.setup.send_lines(lines)
        tunnel.message_timer.line_sent()

    def client_closed(self, tunnel_id: int, abrupt: bool) -> None:
        tunnel = self.table.get(tunnel_id)
        if tunnel is None or tunnel.closed:
            return
        setup, was_up = tunnel.setup, tunnel.is_open
        self._counts["left"] += 1
        self._part(tunnel)
        if tunnel.known_to_policy and not was_up:
            self.policy_host.call(self.policy_host.balancer.client_gone, tunnel_id)
        if setup is not None:
            setup.cancel(abrupt)
            outcome = Outcome.CANCELLED if setup.written else Outcome.NOT_SENT
            tunnel.request.attempt_ended(outcome)
            if tunnel.known_to_policy:
                self.policy_host.call(
                    self.policy_host.balancer.attempt_ended,
                    tunnel_id,
                    setup.backend_id,
                    True,
                    outcome,
                    self.clock() - setup.began,
                    None,
                )
        self._free(tunnel_id)

    # -- a connection that was open before ---------------------------------------------------------

    def _adopt(self, tunnel_id: int) -> None:
        """Brings up a connection that was open before, at its own backend and no other."""
        tunnel = self.table.get(tunnel_id)
        if tunnel is None or tunnel.closed:
            return
        age = self.clock() - tunnel.began
        backend_id = self.registry.backend_ids.get(tunnel.open_request.previous_backend)
        if age >= ADOPT_WITHIN or backend_id in self.registry.banned:
            self.close_with_error(tunnel_id)
        elif backend_id in self.registry.addresses:
            self._set_up(tunnel_id, backend_id, ADOPT_WITHIN - age, ADOPT_CONNECT_WITHIN)
        elif self.registry.has_discovery_list or age > UNKNOWN_FOR:
            # Nobody has such a backend. It may only be new since this relay's list was made.
            self.close_with_error(tunnel_id)
        else:
            if age < ADOPT_AGAIN:
                # The first call may be put off, as all relays start together; who waits for it may not.
                self.policy_host.request_list()
            self.timers.after(ADOPT_AGAIN, self._adopt, tunnel_id)

    # -- what the backends' side tells -------------------------------------------------------------

    def may_send(self, tunnel_id: int, backend_id: int) -> bool:
        """Nothing new goes to a backend that drains; what was open there before goes nowhere else, and there
        only if operators have not taken it out."""
        tunnel = self.table.get(tunnel_id)
        return (
            tunnel is not None
            and backend_id not in self.registry.banned
            and (backend_id in self.registry.ready or not tunnel.known_to_policy)
        )

    def client_time_left(self, tunnel_id: int) -> int:
        """How long the client still waits for its answer, in ns; below 0: no longer."""
        tunnel = self.table.get(tunnel_id)
        return (
            -1
            if tunnel is None
            else tunnel.began + tunnel.open_request.client_timeout - WAY_BACK - self.clock()
        )

    def client_has_left(self, tunnel_id: int) -> bool:
        tunnel = self.table.get(tunnel_id)
        return tunnel is None or tunnel.client.peer_has_left()

    def setup_opened(self, tunnel_id: int, line: bytes, took: int) -> None:
        tunnel = self.table.get(tunnel_id)
        logger.debug(
            "tunnel {} at {}: up after {} ms",
            tunnel_id,
            self.registry.backend_ids.names[tunnel.setup.backend_id],
            took // MS,
        )
        tunnel.is_open = True
        self._counts["opened"] += 1
        self.guard.record_answer(tunnel.request, "UP")
        setup, client = tunnel.setup, tunnel.client
        tunnel.message_timer = MessageTimer(self.message_timers, tunnel_id, setup.backend_id)
        client.accept(line)
        # A side that reads slowly holds up the other one's reading, not this relay's memory.
        client.transport.registerProducer(setup.transport, True)
        setup.transport.registerProducer(client.transport, True)
        if tunnel.known_to_policy:
            self.policy_host.call(self.policy_host.balancer.connection_opened, tunnel_id, took)
        else:
            open_request = tunnel.open_request
            tunnel.known_to_policy = True
            self.policy_host.call(
                self.policy_host.balancer.connection_adopted,
                tunnel_id,
                tunnel.profile,
                tunnel.tenant,
                open_request.key,
                open_request.group,
                setup.backend_id,
                open_request.load_hint,
            )
        self.observers.notify("opened", tunnel_id, setup.backend_id, took)

    def backend_lines_received(self, tunnel_id: int, lines: list[bytes]) -> None:
        tunnel = self.table.get(tunnel_id)
        if tunnel is None or tunnel.closed:
            return
        tunnel.client.send_lines(lines)
        for line in lines:
            if not line.startswith(b"LOAD "):
                tunnel.message_timer.line_answered()
                continue
            try:
                load = parse_finite(line[5:].decode("ascii"))
            except ValueError:
                self.context.rate_limited_log.warn("backend", f"no load: {line[:80]!r}")
                continue
            self.policy_host.call(self.policy_host.balancer.load_changed, tunnel_id, load)

    def setup_over(
        self,
        tunnel_id: int,
        backend_id: int,
        outcome: Outcome,
        took: int,
        report: LoadReport | None,
        abrupt: bool,
    ) -> None:
        tunnel = self.table.get(tunnel_id)
        if tunnel is None:
            # No slot was found for it, and its client has left since. The module counts it still.
            self.policy_host.call(
                self.policy_host.balancer.attempt_ended, tunnel_id, backend_id, True, outcome, took, report
            )
            return
        logger.debug(
            "tunnel {} at {}: {} after {} ms, up {}",
            tunnel_id,
            self.registry.backend_ids.names[backend_id],
            outcome.name,
            took // MS,
            tunnel.is_open,
        )
        was_open = tunnel.is_open
        tunnel.request.attempt_ended(outcome)
        self._part(tunnel, over=was_open)
        self.observers.notify("setup_over", tunnel_id, backend_id, outcome, took, was_open)
        if was_open:
            if outcome is not Outcome.DONE:
                self.net_returned_clients.add(self.clock(), -1)
            if abrupt and outcome is Outcome.RESET:
                tunnel.client.abort()
            else:
                tunnel.client.finish()
        if not tunnel.known_to_policy:
            # Where others have come already the run has begun, which it does not while one of these waits:
            # only a stranger asks now, and is not to hold a slot and press a backend for as long.
            if (
                outcome in (Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.NOT_SENT)
                and not self.saw_new_request
            ):
                self.timers.after(ADOPT_AGAIN, self._adopt, tunnel_id)
            else:
                self.close_with_error(tunnel_id)
            return
        if not self.policy_host.call(
            self.policy_host.balancer.attempt_ended, tunnel_id, backend_id, was_open, outcome, took, report
        ):
            self.fail_request(tunnel_id)
        if was_open:
            self._free(tunnel_id)

    def backend_lines_malformed(self, tunnel_id: int) -> None:
        """Its backend's lines can't be passed on, so the client is better off elsewhere."""
        self.move(tunnel_id)

    def silent(self, tunnel_id: int) -> None:
        tunnel = self.table.get(tunnel_id)
        self._counts["silent"] += 1
        logger.info("silent: {}", self.guard.describe(tunnel.request))
        self.policy_host.call(self.policy_host.balancer.connection_unresponsive, tunnel_id)

    # -- the end of a tunnel -----------------------------------------------------------------------

    def _moved(self, tunnel_id: int, backend_id: int, took: int) -> None:
        self.policy_host.call(
            self.policy_host.balancer.attempt_ended,
            tunnel_id,
            backend_id,
            True,
            Outcome.CANCELLED,
            took,
            None,
        )
        self._free(tunnel_id)

    def _part(self, tunnel: Tunnel, over: bool = True) -> None:
        """The tunnel lets go of its setup, and with over of all else but its slot."""
        tunnel.setup = None
        tunnel.closed = tunnel.closed or over
        if over and tunnel.message_timer is not None:
            tunnel.message_timer.close()

    def _answered(self, tunnel_id: int, declined: bool) -> None:
        """The final answer is out. The module gives it only when no setup is."""
        tunnel = self.table.get(tunnel_id)
        self._counts["rejected" if declined else "failed"] += 1
        self.guard.record_answer(tunnel.request, "BUSY" if declined else "ERR")
        self._part(tunnel)
        self.observers.notify("answered", tunnel_id, declined, self.clock() - tunnel.began)
        self._free(tunnel_id)

    def fail_request(self, tunnel_id: int) -> None:
        """The module failed on this tunnel: its client still gets an answer."""
        tunnel = self.table.get(tunnel_id)
        if tunnel is not None and not tunnel.closed:
            self.guard.record_answer(tunnel.request, "ERR")
            self.client_closed(tunnel_id, abrupt=False)
            tunnel.client.send_error()

    def fail_waiting_requests(self) -> None:
        """The module failed, on which tunnels is not known: all that have no setup out, and wait for it
        alone."""
        for tunnel_id in self.table.handles():
            tunnel = self.table.get(tunnel_id)
            # Each answer tells the module of its client's end, and it may fail on that too.
            if tunnel is not None and tunnel.known_to_policy and tunnel.setup is None:
                self.fail_request(tunnel_id)

    def close_all(self) -> None:
        """What is still held would be cut off, so it gets its answer or its MOVE."""
        for tunnel_id in self.table.handles():
            tunnel = self.table.get(tunnel_id)
            # The module may fail on one of them, and then all that waited have been answered already.
            if tunnel is not None and tunnel.is_open:
                self.move(tunnel_id)
            elif tunnel is not None:
                self.fail_request(tunnel_id)

    def _free(self, tunnel_id: int) -> None:
        """The one place where a tunnel's slot and its id are given back."""
        tunnel = self.table.get(tunnel_id)
        self.observers.notify("ended", tunnel_id, self.clock() - tunnel.began)
        self.ids.remove(tunnel.open_request.id)
        self.table.release(tunnel_id)
