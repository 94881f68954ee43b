"""The entry to the policy: a method for each thing that can happen, which acts by calling the host."""

import math

from cedarledge import terms
from cedarledge.policy import backends, ejection, placement, probing, rebalance, retries, trials, utilization
from cedarledge.policy.estimators import mean_load, relative_load
from cedarledge.policy.state import SETTLING_TIME, TICK, Backend, Connection, State
from cedarledge.terms import SECOND, ListForm, Outcome

TICK_TOKEN, LIST_TOKEN, PROBE_TOKEN = 1, 2, 3
LOG_INTERVAL = 10 * SECOND


class Balancer:
    """Receives what happens at one relay, attempts connections and answers what can't be placed."""

    choose = staticmethod(placement.choose)
    record_failure = staticmethod(ejection.record_failure)
    rebalance_connections = staticmethod(rebalance.tick)

    def __init__(self, host: terms.PolicyHost, settings: terms.DeploymentSettings) -> None:
        self.state = State(host, settings)
        self.random = self.state.random
        self.counts = {"rank": 0, "skip": 0, "spill": 0, "fewest": 0, "last": 0, "trial": 0}  # by rule
        self.next_log = settings.start_time + LOG_INTERVAL
        if settings.requests_list:
            first_within = min(retries.LIST_RETRY, retries.LIST_SPREAD * settings.relays)
            host.set_timer(int(self.random() * first_within), LIST_TOKEN)
        host.set_timer(int(TICK * (0.5 + 0.5 * self.random())), TICK_TOKEN)

    def list_changed(self, now: int, form: ListForm, entries: list[terms.BackendEntry]) -> None:
        """The list tells of backends, or can't be had."""
        if form is ListForm.UNAVAILABLE:
            self.state.host.set_timer(retries.list_delay(self.state), LIST_TOKEN)
            return
        if form is not ListForm.RESTORED:
            self.state.list_delay = 0
        backends.update(self.state, now, form, entries)

    def external_view_changed(self, now: int, view: terms.ExternalView) -> None:
        """What other subsystems know beside the list has changed."""
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
        """A client asks for a connection; the hint is its usual load."""
        state = self.state
        if hint is not None:
            state.class_loads[request_class].add(now, hint)
        load = mean_load(state.class_loads, now, request_class) if hint is None else hint
        group = group if state.settings.grouped else None
        connection = Connection(connection_id, request_class, tenant, key, group, load, now + time_budget)
        target = state.settings.profiles[request_class].setup_goal
        connection.probe_by = now + int(probing.PROBE_SHARE * min(target, time_budget))
        state.connections[connection_id] = connection
        state.arrivals.add(now, 1)
        trials.record_arrival(state, now, connection)
        if not returning:  # a storm of returning clients says nothing of what is asked for
            state.offered[request_class].add(now, 1)
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
        """A connection from before this relay's start is open again."""
        state = self.state
        if hint is not None:
            state.class_loads[request_class].add(now, hint)
        state.settling_until = 0  # it has its share from the start
        state.offered[request_class].add(now, 1)
        group = group if state.settings.grouped else None
        connection = Connection(connection_id, request_class, tenant, key, group, hint or 0.0)
        connection.opened_at = max(1, now)
        state.connections[connection_id] = connection
        backends.add(state, [backend_id])
        backends.hold(state, now, connection, state.backends[backend_id])
        backends.count_as_reported(now, connection)

    def _place(self, now: int, connection: Connection) -> None:
        state = self.state
        # What all attempts need answers none when all press it: no more go out than it was seen to bear.
        is_shut = 0 < state.stop_by <= now
        is_shut = is_shut or (state.in_flight >= state.window and ejection.is_shared(state, now))
        choice = None if is_shut else self.choose(state, now, connection)
        # A relay that has seen little of the fleet looks at more of it before it rejects: its own clients'
        # backends report first and most often, and say nothing of the room that the others have.
        unseen = None if choice or is_shut else probing.before_rejection(state, now, connection)
        if unseen:
            connection.probed_to_reject = True
            self._wait_for_probe(now, connection, unseen)
        elif choice is None:
            self._give_up(now, connection)
        elif probing.is_needed(state, now, connection, choice.backend):
            connection.probes += 1
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
        self.state.host.set_timer(connection.probe_by - now, PROBE_TOKEN)

    def connection_opened(self, now: int, connection_id: int, took: int) -> None:
        """An attempt has opened."""
        connection = self.state.connections.get(connection_id)
        if not connection or not connection.backend or connection.opened_at:
            return
        connection.opened_at = max(1, now)
        connection.backend.pending -= 1
        connection.backend.ejections = 0
        for suspect in connection.suspects:
            self.record_failure(self.state, now, suspect)
        self.state.in_flight -= 1
        self.state.window += 1
        self.state.openings.add(now, 1)
        retries.learn_time(self.state, now, took)

    def attempt_ended(
        self,
        now: int,
        connection_id: int,
        backend_id: int,
        over: bool,
        outcome: Outcome,
        took: int,
        report: terms.LoadReport | None,
    ) -> None:
        """An attempt or an open connection has ended; over: its client waits for nothing more."""
        state, backend = self.state, self.state.backends[backend_id]
        if report is not None:
            utilization.learn(state, now, backend, report)
        connection = state.connections.get(connection_id)
        if not connection or connection.backend is not backend:
            return
        backends.release(state, now, connection)
        if not connection.opened_at:
            self._failed(now, connection, backend, outcome, took)
        elif outcome is Outcome.RESET and backend.state is terms.BackendState.READY:
            backend.mark_busy(now)  # it dropped a running connection: the design's third sign
        if over or connection.ended:
            del state.connections[connection_id]
        elif not connection.opened_at and retries.may_retry(state, now, connection):
            self._place(now, connection)
        else:
            self._give_up(now, connection)

    def _failed(self, now: int, connection: Connection, backend: Backend, how: Outcome, took: int) -> None:
        backend.pending -= 1
        self.state.in_flight -= 1
        if how not in terms.NEVER_RAN and not connection.executed_by:
            connection.executed_by, connection.executed_at = backend, connection.attempted_at
        if how is Outcome.NOT_SENT:
            backend.tokens += relative_load(self.state.class_loads, now, connection.load)
        elif how is Outcome.FULL:
            backend.mark_busy(now)
        elif how is Outcome.TIMEOUT:  # counts as a slow one, or a slow shared store would never be waited for
            retries.learn_time(self.state, now, 2 * took)
            self.record_failure(self.state, now, backend)
        elif how is Outcome.CONNECT_FAILED:  # no store stands between: half of all fail in a lost location
            ejection.eject(self.state, now, backend)
        elif how in (Outcome.ERROR, Outcome.RESET):  # one bad client could eject the whole fleet
            connection.suspects.append(backend)

    def _give_up(self, now: int, connection: Connection) -> None:
        state, connection.ended = self.state, True
        if len(connection.suspects) == 1:
            self.record_failure(state, now, connection.suspects[0])
        if retries.may_reject(state, connection):
            retry_after = int(state.settings.max_retry_after * (0.5 + 0.5 * state.random()))
            state.host.reject(connection.connection_id, retry_after)
        else:
            state.host.close_with_error(connection.connection_id)
        if not connection.backend:
            del state.connections[connection.connection_id]

    def client_gone(self, now: int, connection_id: int) -> None:
        """The client waits no more, for a probe neither."""
        connection = self.state.connections.get(connection_id)
        if connection:
            connection.ended = True
            if not connection.backend:
                del self.state.connections[connection_id]
                self.state.awaiting_probe.pop(connection_id, None)

    def load_changed(self, now: int, connection_id: int, load: float) -> None:
        """The load of a connection has changed."""
        connection = self.state.connections.get(connection_id)
        if connection and connection.backend:
            self.state.class_loads[connection.request_class].add(now, load)
            backend = connection.backend
            if not connection.load and 0 < connection.opened_at <= backend.reported_at:
                backend.load_at_report += load  # the report has it; only this relay did not know it
            backend.load += load - connection.load
            connection.load = load

    def connection_unresponsive(self, now: int, connection_id: int) -> None:
        """Lines on an open connection get no answer: a hung or vanished backend, which nothing else tells."""
        connection = self.state.connections.get(connection_id)
        if connection and connection.opened_at and not connection.moved:
            rebalance.move(self.state, connection)

    def message_delay_changed(self, now: int, backend_id: int, delay: int) -> None:
        """A backend answers messages after a delay."""
        backend, shortest_goal = self.state.backends[backend_id], self.state.settings.shortest_message_goal
        backend.delay, backend.delay_at = delay, now
        if (
            shortest_goal and delay > shortest_goal // 2
        ):  # told at once, where a report may be a round of probes old
            backend.mark_busy(now, rebalance.DELAY_AGE)

    def probe_ended(self, now: int, backend_id: int, answered: bool, report: terms.LoadReport) -> None:
        """A probe has been answered, or has failed."""
        backend = self.state.backends[backend_id]
        if answered:
            utilization.learn(self.state, now, backend, report)
        else:  # too busy, hung or gone: the list would say so seconds later, if at all
            backend.mark_busy(now)
        self._place_waiting(
            now, [key for key, probed in self.state.awaiting_probe.items() if probed is backend]
        )

    def _place_waiting(self, now: int, waiting: list[int]) -> None:
        for connection_id in waiting:
            if self.state.awaiting_probe.pop(connection_id, None):
                self._place(now, self.state.connections[connection_id])

    def drain_started(self, now: int, within: int) -> None:
        """It ends or is out of service: all are sent away by then, and who comes later is rejected."""
        self.state.stop_by, self.state.unrepresentative_until = now + within, math.inf

    def drain_cancelled(self, now: int) -> None:
        """It is back in service, and who is still here stays. It holds less than its share for a while."""
        self.state.stop_by = 0
        self.state.settling_until = self.state.unrepresentative_until = now + SETTLING_TIME

    def timer_fired(self, now: int, token: int) -> None:
        """The time has come that the balancer asked to be woken at."""
        if token == LIST_TOKEN:
            self.state.host.request_list()
        elif token == PROBE_TOKEN:
            self._place_waiting(now, probing.time_out(self.state, now))
        else:
            self.state.host.set_timer(TICK, TICK_TOKEN)
            self._tick(now)

    def _tick(self, now: int) -> None:
        state = self.state
        state.arrivals_per_backend = state.arrival_rate(now) / max(1, state.ready)
        probing.tick(state, now)
        if now >= self.next_log:
            self.next_log = now + LOG_INTERVAL
            state.host.log("placements " + " ".join(f"{rule} {count}" for rule, count in self.counts.items()))
        if state.stop_by:
            rebalance.drain(state, now, state.connections, state.stop_by)
            return
        for backend in list(state.holding.values()):
            if backend.state is terms.BackendState.DRAINING:
                rebalance.drain(state, now, backend.connections, backend.drain_by)
        self.rebalance_connections(state, now)
