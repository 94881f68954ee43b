"""Random sequences of events; the host checks each action of the balancer, and its state after each event."""

from __future__ import annotations

import hypothesis.strategies as st
from helpers import MS, SECOND, RuleCheckingHost, host_with_backends, list_entry, make_settings
from hypothesis import HealthCheck, given, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from cedarledge.terms import BackendState, ListForm, Outcome

BACKEND_IDS = st.integers(0, 7)
FAILURES = st.sampled_from([outcome for outcome in Outcome if outcome is not Outcome.DONE])


class RandomEvents(RuleBasedStateMachine):
    """Events of requests, backends, lists and time in any order."""

    @initialize(
        seed=st.integers(0, 99),
        requests_list=st.booleans(),
        weighted=st.booleans(),
        grouped=st.booleans(),
        max_attempts=st.integers(1, 4),
        probes=st.booleans(),
        relays=st.integers(1, 4),
        cells=st.integers(1, 4),
        window=st.sampled_from([100 * MS, 2 * SECOND]),
    )
    def begin(
        self,
        seed: int,
        requests_list: bool,
        weighted: bool,
        grouped: bool,
        max_attempts: int,
        probes: bool,
        relays: int,
        cells: int,
        window: int,
    ) -> None:
        self.cells = cells
        self.host = RuleCheckingHost(
            make_settings(
                window=window,
                seed=seed,
                requests_list=requests_list,
                weighted=weighted,
                grouped=grouped,
                max_attempts=max_attempts,
                probes=probes,
                relays=relays,
                max_retry_after=SECOND if requests_list else 0,
                tenant_quotas=(4.0, 4.0),
                over_quota_value_factor=0.1,
            )
        )
        self.host.update_list(
            ListForm.RESTORED,
            *(list_entry(backend_id, weight=1.0 + backend_id % 3, cells=cells) for backend_id in range(4)),
        )

    def attempted(self) -> list[int]:
        """Returns the connections with an attempt in progress, or open."""
        return [
            connection_id
            for connection_id, request in self.host.requests.items()
            if request.attempts and request.attempts[-1][2] is None
        ]

    @rule(
        profile=st.integers(0, 4),
        key=st.none() | st.sampled_from("abcdef"),
        budget=st.integers(1, 3000),
        hint=st.none() | st.floats(1, 1e5),
        group=st.none() | st.sampled_from("gh"),
        tenant=st.none() | st.integers(0, 1),
    )
    def arrive(
        self,
        profile: int,
        key: str | None,
        budget: int,
        hint: float | None,
        group: str | None,
        tenant: int | None,
    ) -> None:
        self.host.arrive(profile, key, budget * MS, hint, group, tenant)

    @precondition(lambda self: self.attempted())
    @rule(data=st.data(), outcome=FAILURES)
    def fail(self, data: st.DataObject, outcome: Outcome) -> None:
        connection_id = data.draw(st.sampled_from(self.attempted()))
        self.host.end(connection_id, outcome)

    @precondition(lambda self: self.attempted())
    @rule(data=st.data())
    def open_or_finish(self, data: st.DataObject) -> None:
        connection_id = data.draw(st.sampled_from(self.attempted()))
        if self.host.requests[connection_id].attempts[-1][3]:
            self.host.end(connection_id, Outcome.DONE)
        elif not self.host.requests[connection_id].answered:
            self.host.open(connection_id)

    @precondition(lambda self: self.attempted())
    @rule(data=st.data(), load=st.floats(0, 1e6), delay=st.integers(0, 500))
    def report_load_and_delay(self, data: st.DataObject, load: float, delay: int) -> None:
        connection_id = data.draw(st.sampled_from(self.attempted()))
        self.host.balancer.load_changed(self.host.now, connection_id, load)
        backend_id = self.host.requests[connection_id].attempts[-1][0]
        self.host.balancer.message_delay_changed(self.host.now, backend_id, delay * MS)

    @precondition(lambda self: self.attempted())
    @rule(data=st.data())
    def client_leaves(self, data: st.DataObject) -> None:
        connection_id = data.draw(st.sampled_from(self.attempted()))
        if not self.host.requests[connection_id].answered:
            self.host.requests[connection_id].answered = True
            self.host.balancer.client_gone(self.host.now, connection_id)

    @rule(backend_id=BACKEND_IDS, asked=st.floats(0, 3))
    def report(self, backend_id: int, asked: float) -> None:
        if backend_id in self.host.listing:
            self.host.report(backend_id, asked)

    @rule(backend_id=BACKEND_IDS, standing=st.sampled_from(BackendState), restarted=st.booleans())
    def change(self, backend_id: int, standing: BackendState, restarted: bool) -> None:
        started = self.host.now if restarted else 0
        self.host.update_list(ListForm.CHANGES, list_entry(backend_id, standing, started, self.cells))

    @rule(backend_ids=st.sets(BACKEND_IDS), form=st.sampled_from([ListForm.WHOLE, ListForm.UNAVAILABLE]))
    def relist(self, backend_ids: set[int], form: ListForm) -> None:
        self.host.update_list(
            form, *(list_entry(backend_id, cells=self.cells) for backend_id in sorted(backend_ids))
        )

    @rule(span=st.integers(1, 4000))
    def time_passes(self, span: int) -> None:
        self.host.run(span * MS)
        for connection_id in self.attempted():
            request = self.host.requests[connection_id]
            if not request.answered and request.give_up <= self.host.now:
                self.host.end(connection_id, Outcome.TIMEOUT)

    @invariant()
    def rules_are_kept(self) -> None:
        if hasattr(self, "host"):
            self.host.check()


RandomEvents.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRandomEvents = RandomEvents.TestCase


@given(
    load=st.floats(0.3, 0.9),
    relays=st.sampled_from([1, 4, 60]),
    rush=st.integers(5, 40),
    age=st.integers(0, 6),
    seed=st.integers(0, 99),
)
@settings(derandomize=True, max_examples=25, deadline=None)
def test_all_relays_together_stay_under_a_cold_backends_multiple(
    load: float, relays: int, rush: int, age: int, seed: int
) -> None:
    hosts = [
        host_with_backends(4, load, relays=relays, relay_index=me, seed=seed * relays + me)
        for me in range(relays)
    ]
    connections = 160  # of all relays, 40 for each backend, so a fully loaded one has 40 / load
    for connection_id in range(connections):
        hosts[connection_id % relays].adopt(connection_id // relays % 4)
    deployment = hosts[0].settings
    started = deployment.start_time - age * SECOND
    for host in hosts:
        host.run(SECOND)
        for backend_id in range(4):
            host.report(backend_id, load)
        host.run(SECOND)
        host.update_list(ListForm.CHANGES, list_entry(9, started=started))
    for number in range(rush * 12):
        host = hosts[number * 7 % relays]
        host.run(deployment.start_time + 2 * SECOND + number * SECOND // rush - host.now)
        connection_id = host.arrive(key=f"rush {number}")
        if not host.requests[connection_id].answered:
            host.open(connection_id)
            if host.requests[connection_id].attempts[-1][0] != 9:
                host.end(connection_id, Outcome.DONE)
    sends = sorted(
        at
        for host in hosts
        for at, _, backend_id in host.attempts
        if backend_id == 9 and at < started + deployment.warmup_duration
    )
    assert sends, "some of the slow-start budget must be used"
    for at in sends:
        share = (
            deployment.cold_capacity_share
            + (1 - deployment.cold_capacity_share) * (at - started) / deployment.warmup_duration
        )
        budget = (
            deployment.overload_multiple
            * share
            * 40
            / load
            * deployment.overload_duration
            / deployment.warmup_duration
        )
        assert sum(at - deployment.overload_duration < other <= at for other in sends) <= budget


@given(
    size=st.sampled_from([0, 1, 400]),
    relays=st.sampled_from([1, 300]),
    me=st.integers(0, 600),
    cells=st.sampled_from([1, 50]),
    gone=st.integers(0, 7),
)
@settings(derandomize=True, max_examples=20, deadline=None)
def test_lists_of_any_size_and_changes_in_bulk_keep_the_rules(
    size: int, relays: int, me: int, cells: int, gone: int
) -> None:
    host = host_with_backends(size, None, cells=cells, relays=relays, relay_index=me)
    for turn in range(4):
        for number in range(10):
            connection_id = host.arrive(key=f"{turn} {number}")
            assert host.requests[connection_id].attempts or not size or gone == turn
        host.run(3 * SECOND)
        host.check()
        changes = (
            (BackendState.GONE, BackendState.READY)
            if turn == gone
            else (BackendState.DRAINING, BackendState.READY)
        )
        for standing in changes:
            host.update_list(
                ListForm.CHANGES,
                *(list_entry(backend_id, standing, cells=cells) for backend_id in range(size)),
            )
