"""The policy's entry point: a method for each event at a relay, which acts through the host interface."""

import math

from cedarledge import terms
from cedarledge.policy import backends, ejection, placement, probing, rebalance, retries, trials, utilization
from cedarledge.policy.estimators import mean_load, relative_load
from cedarledge.policy.state import SETTLING_TIME, TICK, Backend, Connection, State
from cedarledge.terms import SECOND, ListForm, Outcome

TICK_TOKEN, LIST_TOKEN, PROBE_TOKEN = 1, 2, 3
LOG_INTERVAL = 10 * SECOND


class Balancer:
    """Handles the events of one relay: attempts requested connections and rejects those that fit nowhere.

    All methods take the current time in nanoseconds and never block.
    """

    choose = staticmethod(placement.choose)
    record_failure = staticmethod(ejection.record_failure)
    rebalance_connections = staticmethod(rebalance.tick)

    def __init__(self, host: terms.PolicyHost, settings: terms.DeploymentSettings) -> None:
        """Sets the first timers at the host, including that of the first list request."""
        self.state = State(host, settings)
        self.random = self.state.random
        # Placements by the rule that chose the backend.
        self.counts = {"rank": 0, "skip": 0, "spill": 0, "fewest": 0, "last": 0, "trial": 0}
        self.next_log_at = settings.start_time + LOG_INTERVAL
        if settings.requests_list:
            longest_delay = min(retries.LIST_RETRY_DELAY, retries.LIST_REQUEST_SPACING * settings.relays)
            host.set_timer(int(self.random() * longest_delay), LIST_TOKEN)
        host.set_timer(int(TICK * (0.5 + 0.5 * self.random())), TICK_TOKEN)

    def list_changed(self, now: int, form: ListForm, entries: list[terms.BackendEntry]) -> None:
        """A list update has arrived, or the list is unavailable."""
        if form is ListForm.UNAVAILABLE:
            self.state.host.set_timer(retries.list_delay(self.state), LIST_TOKEN)
            return
        if form is not ListForm.RESTORED:
            self.state.list_retry_delay = 0
        backends.update(self.state, now, form, entries)

    def external_view_changed(self, now: int, view: terms.ExternalView) -> None:
        """The information of other subsystems has changed."""
        self.state.external = view
        backends.form_cells(self.state)

    def connection_requested(
        self,
        now: int,
        connection_id: int,
        request_class: int,
        tenant: int | None,
        key: str | None,
        group: str | None,
        time_budget: int,
        hint: float | None,
        returning: bool,
    ) -> None:
        """A client requests a connection.

        The hint is its usual load. Returning clients have been rejected or moved before.
        """
        state = self.state
        if hint is not None:
            state.class_loads[request_class].add(now, hint)
        load = mean_load(state.class_loads, now, request_class) if hint is None else hint
        group = group if state.settings.grouped else None
        connection = Connection(connection_id, request_class, tenant, key, group, load, now + time_budget)
        target = state.settings.request_classes[request_class].setup_latency_target
        connection.probe_deadline = now + int(probing.PROBE_TIME_SHARE * min(target, time_budget))
        state.connections[connection_id] = connection
        state.arrivals.add(now, 1)
        trials.record_arrival(state, now, connection)
        if not returning:  # returning clients would inflate the measured demand
            state.offered_arrivals[request_class].add(now, 1)
        self._place(now, connection)

    def connection_adopted(
        self,
        now: int,
        connection_id: int,
        request_class: int,
        tenant: int | None,
        key: str | None,
        group: str | None,
        backend_id: int,
        hint: float | None,
    ) -> None:
        """A connection that was open before this relay's start is open again at the same backend."""
        state = self.state
        if hint is not None:
            state.class_loads[request_class].add(now, hint)
        state.settling_until = 0  # with adopted connections it has its share from the start
        state.offered_arrivals[request_class].add(now, 1)
        group = group if state.settings.grouped else None
        connection = Connection(connection_id, request_class, tenant, key, group, hint or 0.0)
        connection.opened_at = max(1, now)
        state.connections[connection_id] = connection
        backends.add(state, [backend_id])
        backends.hold(state, now, connection, state.backends[backend_id])
        backends.count_as_reported(now, connection)

    def _place(self, now: int, connection: Connection) -> None:
        state = self.state
        # While attempts fail at all backends, their number is limited: a dependency that all share, such as a
        # store, recovers only under less load.
        is_blocked = 0 < state.drain_deadline <= now
        is_blocked = is_blocked or (state.in_flight >= state.attempt_limit and ejection.is_shared(state, now))
        choice = None if is_blocked else self.choose(state, now, connection)
        # Without reports from enough of the fleet, another backend is probed before a rejection: backends
        # with clients of this relay report first and most often, which says nothing about the others.
        unreported = None if choice or is_blocked else probing.before_rejection(state, now, connection)
        if unreported:
            connection.probed_before_rejection = True
            self._wait_for_probe(now, connection, unreported)
        elif choice is None:
            self._give_up(now, connection)
        elif probing.is_needed(state, now, connection, choice.backend):
            connection.probe_count += 1
            self._wait_for_probe(now, connection, choice.backend)
        else:
            self.counts[choice.rule] += 1
            timeout = retries.timeout(state, now, connection)
            connection.attempted_at = now
            trials.record_attempt(state, now)
            choice.backend.tokens -= relative_load(state.class_loads, now, connection.load)
            choice.backend.pending += 1
            state.in_flight += 1
            backends.hold(state, now, connection, choice.backend)
            state.host.attempt(connection.connection_id, choice.backend.backend_id, timeout)

    def _wait_for_probe(self, now: int, connection: Connection, backend: Backend) -> None:
        self.state.awaiting_probe[connection.connection_id] = backend
        probing.probe(self.state, now, backend)
        self.state.host.set_timer(connection.probe_deadline - now, PROBE_TOKEN)

    def connection_opened(self, now: int, connection_id: int, took: int) -> None:
        """An attempt has succeeded after the given time."""
        connection = self.state.connections.get(connection_id)
        if not connection or not connection.backend or connection.opened_at:
            return
        connection.opened_at = max(1, now)
        connection.backend.pending -= 1
        connection.backend.ejections = 0
        for failed in connection.failed_backends:
            self.record_failure(self.state, now, failed)
        self.state.in_flight -= 1
        self.state.attempt_limit += 1
        self.state.openings.add(now, 1)
        retries.record_duration(self.state, now, took)

    def attempt_ended(
        self,
        now: int,
        connection_id: int,
        backend_id: int,
        final: bool,
        outcome: Outcome,
        took: int,
        report: terms.LoadReport | None,
    ) -> None:
        """An attempt or an open connection has ended; if final, its client waits for no further attempt."""
        state, backend = self.state, self.state.backends[backend_id]
        if report is not None:
            utilization.record_report(state, now, backend, report)
        connection = state.connections.get(connection_id)
        if not connection or connection.backend is not backend:
            return
        backends.release(state, now, connection)
        if not connection.opened_at:
            self._failed(now, connection, backend, outcome, took)
        elif outcome is Outcome.RESET and backend.state is terms.BackendState.READY:
            backend.mark_busy(now)  # a reset of an open connection is taken as overload
        if final or connection.ended:
            del state.connections[connection_id]
        elif not connection.opened_at and retries.may_retry(state, now, connection):
            self._place(now, connection)
        else:
            self._give_up(now, connection)

    def _failed(
        self, now: int, connection: Connection, backend: Backend, outcome: Outcome, took: int
    ) -> None:
        backend.pending -= 1
        self.state.in_flight -= 1
        if outcome not in terms.NEVER_RAN and not connection.executed_by:
            connection.executed_by, connection.executed_at = backend, connection.attempted_at
        if outcome is Outcome.NOT_SENT:
            backend.tokens += relative_load(self.state.class_loads, now, connection.load)
        elif outcome is Outcome.FULL:
            backend.mark_busy(now)
        elif outcome is Outcome.TIMEOUT:
            # Recorded as twice its duration, so that time-outs grow while a shared store is slow.
            retries.record_duration(self.state, now, 2 * took)
            self.record_failure(self.state, now, backend)
        elif outcome is Outcome.CONNECT_FAILED:
            # Not counted as a possible shared failure: connecting needs no store, and when a zone is lost
            # half of all attempts fail.
            ejection.eject(self.state, now, backend)
        elif outcome in (Outcome.ERROR, Outcome.RESET):
            # Not counted yet, as one invalid request could eject the whole fleet; see `connection_opened`.
            connection.failed_backends.append(backend)

    def _give_up(self, now: int, connection: Connection) -> None:
        state, connection.ended = self.state, True
        if len(connection.failed_backends) == 1:
            self.record_failure(state, now, connection.failed_backends[0])
        if retries.may_reject(state, connection):
            retry_after = int(state.settings.max_retry_after * (0.5 + 0.5 * state.random()))
            state.host.reject(connection.connection_id, retry_after)
        else:
            state.host.close_with_error(connection.connection_id)
        if not connection.backend:
            del state.connections[connection.connection_id]

    def client_gone(self, now: int, connection_id: int) -> None:
        """The client has disconnected or its deadline has passed."""
        connection = self.state.connections.get(connection_id)
        if connection:
            connection.ended = True
            if not connection.backend:
                del self.state.connections[connection_id]
                self.state.awaiting_probe.pop(connection_id, None)

    def load_changed(self, now: int, connection_id: int, load: float) -> None:
        """The measured load of a connection has changed."""
        connection = self.state.connections.get(connection_id)
        if connection and connection.backend:
            self.state.class_loads[connection.request_class].add(now, load)
            backend = connection.backend
            if not connection.load and 0 < connection.opened_at <= backend.reported_at:
                backend.load_at_report += load  # the report includes it already
            backend.load += load - connection.load
            connection.load = load

    def connection_unresponsive(self, now: int, connection_id: int) -> None:
        """Messages on an open connection get no answer; nothing else reveals a hung or vanished backend."""
        connection = self.state.connections.get(connection_id)
        if connection and connection.opened_at and not connection.moved:
            rebalance.move(self.state, connection)

    def message_delay_changed(self, now: int, backend_id: int, delay: int) -> None:
        """The delay with which a backend answers messages was measured."""
        backend, shortest_target = (
            self.state.backends[backend_id],
            self.state.settings.shortest_message_latency_target,
        )
        backend.message_delay, backend.delay_at = delay, now
        if shortest_target and delay > shortest_target // 2:  # a report may be a round of probes late
            backend.mark_busy(now, rebalance.MAX_DELAY_AGE)

    def probe_ended(self, now: int, backend_id: int, answered: bool, report: terms.LoadReport) -> None:
        """A probe was answered, or has failed."""
        backend = self.state.backends[backend_id]
        if answered:
            utilization.record_report(self.state, now, backend, report)
        else:  # busy, hung or gone; the list would reveal it seconds later, if at all
            backend.mark_busy(now)
        self._place_waiting(
            now, [waiting for waiting, probed in self.state.awaiting_probe.items() if probed is backend]
        )

    def _place_waiting(self, now: int, waiting: list[int]) -> None:
        for connection_id in waiting:
            if self.state.awaiting_probe.pop(connection_id, None):
                self._place(now, self.state.connections[connection_id])

    def drain_started(self, now: int, within: int) -> None:
        """The relay stops or goes out of service: it moves its clients in time and rejects later ones."""
        self.state.drain_deadline, self.state.unrepresentative_until = now + within, math.inf

    def drain_cancelled(self, now: int) -> None:
        """The relay is back in service and keeps its remaining clients, which are fewer than its share."""
        self.state.drain_deadline = 0
        self.state.settling_until = self.state.unrepresentative_until = now + SETTLING_TIME

    def timer_fired(self, now: int, token: int) -> None:
        """A timer set by `PolicyHost.set_timer` has expired."""
        if token == LIST_TOKEN:
            self.state.host.request_list()
        elif token == PROBE_TOKEN:
            self._place_waiting(now, probing.time_out(self.state, now))
        else:
            self.state.host.set_timer(TICK, TICK_TOKEN)
            self._tick(now)

    def _tick(self, now: int) -> None:
        state = self.state
        state.arrivals_per_backend = state.arrival_rate(now) / max(1, state.ready_count)
        probing.tick(state, now)
        if now >= self.next_log_at:
            self.next_log_at = now + LOG_INTERVAL
            state.host.log("placements " + " ".join(f"{rule} {count}" for rule, count in self.counts.items()))
        if state.drain_deadline:
            rebalance.drain(state, now, state.connections, state.drain_deadline)
            return
        for backend in list(state.backends_in_use.values()):
            if backend.state is terms.BackendState.DRAINING:
                rebalance.drain(state, now, backend.connections, backend.drain_deadline)
        self.rebalance_connections(state, now)
