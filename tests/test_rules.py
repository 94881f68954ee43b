"""Random runs against the recording host, which checks the rules at every call and after every step."""

from __future__ import annotations

import hypothesis.strategies as st
from helpers import MS, SECOND, RuleCheckingHost, host_with_backends, list_entry, make_settings
from hypothesis import HealthCheck, given, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from cedarledge.terms import BackendState, ListForm, Outcome

EPS = st.integers(0, 7)
FAILURES = st.sampled_from([outcome for outcome in Outcome if outcome is not Outcome.DONE])


class Days(RuleBasedStateMachine):
    @initialize(
        seed=st.integers(0, 99),
        ask=st.booleans(),
        ranked=st.booleans(),
        grouped=st.booleans(),
        setups=st.integers(1, 4),
        probes=st.booleans(),
        relays=st.integers(1, 4),
        cells=st.integers(1, 4),
        window=st.sampled_from([100 * MS, 2 * SECOND]),
    )
    def begin(
        self,
        seed: int,
        ask: bool,
        ranked: bool,
        grouped: bool,
        setups: int,
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
                requests_list=ask,
                weighted=ranked,
                grouped=grouped,
                max_attempts=setups,
                probes=probes,
                relays=relays,
                max_retry_after=SECOND if ask else 0,
                tenant_quotas=(4.0, 4.0),
                over_quota_value_factor=0.1,
            )
        )
        self.host.tell(
            ListForm.RESTORED, *(list_entry(ep, weight=1.0 + ep % 3, cells=cells) for ep in range(4))
        )

    def out(self) -> list[int]:
        return [tun for tun, case in self.host.requests.items() if case.setups and case.setups[-1][2] is None]

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

    @precondition(lambda self: self.out())
    @rule(data=st.data(), outcome=FAILURES)
    def fail(self, data: st.DataObject, outcome: Outcome) -> None:
        tun = data.draw(st.sampled_from(self.out()))
        self.host.end(tun, outcome)

    @precondition(lambda self: self.out())
    @rule(data=st.data())
    def open_or_finish(self, data: st.DataObject) -> None:
        tun = data.draw(st.sampled_from(self.out()))
        if self.host.requests[tun].setups[-1][3]:
            self.host.end(tun, Outcome.DONE)
        elif not self.host.requests[tun].answered:
            self.host.open(tun)

    @precondition(lambda self: self.out())
    @rule(data=st.data(), load=st.floats(0, 1e6), delay=st.integers(0, 500))
    def note(self, data: st.DataObject, load: float, delay: int) -> None:
        tun = data.draw(st.sampled_from(self.out()))
        self.host.balancer.load_changed(self.host.now, tun, load)
        ep = self.host.requests[tun].setups[-1][0]
        self.host.balancer.message_delay_changed(self.host.now, ep, delay * MS)

    @precondition(lambda self: self.out())
    @rule(data=st.data())
    def client_leaves(self, data: st.DataObject) -> None:
        tun = data.draw(st.sampled_from(self.out()))
        if not self.host.requests[tun].answered:
            self.host.requests[tun].answered = True
            self.host.balancer.client_gone(self.host.now, tun)

    @rule(ep=EPS, asked=st.floats(0, 3))
    def report(self, ep: int, asked: float) -> None:
        if ep in self.host.listing:
            self.host.report(ep, asked)

    @rule(ep=EPS, standing=st.sampled_from(BackendState), restarted=st.booleans())
    def change(self, ep: int, standing: BackendState, restarted: bool) -> None:
        started = self.host.now if restarted else 0
        self.host.tell(ListForm.CHANGES, list_entry(ep, standing, started, self.cells))

    @rule(eps=st.sets(EPS), form=st.sampled_from([ListForm.WHOLE, ListForm.UNAVAILABLE]))
    def relist(self, eps: set[int], form: ListForm) -> None:
        self.host.tell(form, *(list_entry(ep, cells=self.cells) for ep in sorted(eps)))

    @rule(span=st.integers(1, 4000))
    def time_passes(self, span: int) -> None:
        self.host.run(span * MS)
        for tun in self.out():
            case = self.host.requests[tun]
            if not case.answered and case.give_up <= self.host.now:
                self.host.end(tun, Outcome.TIMEOUT)

    @invariant()
    def rules_are_kept(self) -> None:
        if hasattr(self, "ledger"):
            self.host.check()


Days.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestDays = Days.TestCase


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
    held = 160  # by all relays, so a member that is full holds 40 / load
    for tun in range(held):
        hosts[tun % relays].adopt(tun // relays % 4)
    site = hosts[0].settings
    started = site.start_time - age * SECOND
    for host in hosts:
        host.run(SECOND)
        for ep in range(4):
            host.report(ep, load)
        host.run(SECOND)
        host.tell(ListForm.CHANGES, list_entry(9, started=started))
    for number in range(rush * 12):
        host = hosts[number * 7 % relays]
        host.run(site.start_time + 2 * SECOND + number * SECOND // rush - host.now)
        tun = host.arrive(key=f"rush {number}")
        if not host.requests[tun].answered:
            host.open(tun)
            if host.requests[tun].setups[-1][0] != 9:
                host.end(tun, Outcome.DONE)
    sends = sorted(
        at for host in hosts for at, _, ep in host.sends if ep == 9 and at < started + site.warmup_duration
    )
    assert sends, "the budget is there to be used"
    for at in sends:
        share = (
            site.cold_capacity_share + (1 - site.cold_capacity_share) * (at - started) / site.warmup_duration
        )
        budget = site.overload_multiple * share * 40 / load * site.overload_duration / site.warmup_duration
        assert sum(at - site.overload_duration < other <= at for other in sends) <= budget


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
            tun = host.arrive(key=f"{turn} {number}")
            assert host.requests[tun].setups or not size or gone == turn
        host.run(3 * SECOND)
        host.check()
        changes = (
            (BackendState.GONE, BackendState.READY)
            if turn == gone
            else (BackendState.DRAINING, BackendState.READY)
        )
        for standing in changes:
            host.tell(ListForm.CHANGES, *(list_entry(ep, standing, cells=cells) for ep in range(size)))
