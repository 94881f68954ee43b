"""Random runs against the recording host, which checks the rules at every call and after every step."""

from __future__ import annotations

import hypothesis.strategies as st
from helpers import MS, SECOND, Ledger, facts, fleet, listed
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
        self.ledger = Ledger(
            facts(
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
                over_quota_credit_factor=0.1,
            )
        )
        self.ledger.tell(
            ListForm.RESTORED, *(listed(ep, weight=1.0 + ep % 3, cells=cells) for ep in range(4))
        )

    def out(self) -> list[int]:
        return [tun for tun, case in self.ledger.cases.items() if case.setups and case.setups[-1][2] is None]

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
        self.ledger.arrive(profile, key, budget * MS, hint, group, tenant)

    @precondition(lambda self: self.out())
    @rule(data=st.data(), outcome=FAILURES)
    def fail(self, data: st.DataObject, outcome: Outcome) -> None:
        tun = data.draw(st.sampled_from(self.out()))
        self.ledger.end(tun, outcome)

    @precondition(lambda self: self.out())
    @rule(data=st.data())
    def open_or_finish(self, data: st.DataObject) -> None:
        tun = data.draw(st.sampled_from(self.out()))
        if self.ledger.cases[tun].setups[-1][3]:
            self.ledger.end(tun, Outcome.DONE)
        elif not self.ledger.cases[tun].answered:
            self.ledger.open(tun)

    @precondition(lambda self: self.out())
    @rule(data=st.data(), load=st.floats(0, 1e6), delay=st.integers(0, 500))
    def note(self, data: st.DataObject, load: float, delay: int) -> None:
        tun = data.draw(st.sampled_from(self.out()))
        self.ledger.balancer.load_changed(self.ledger.now, tun, load)
        ep = self.ledger.cases[tun].setups[-1][0]
        self.ledger.balancer.message_delay_changed(self.ledger.now, ep, delay * MS)

    @precondition(lambda self: self.out())
    @rule(data=st.data())
    def client_leaves(self, data: st.DataObject) -> None:
        tun = data.draw(st.sampled_from(self.out()))
        if not self.ledger.cases[tun].answered:
            self.ledger.cases[tun].answered = True
            self.ledger.balancer.client_gone(self.ledger.now, tun)

    @rule(ep=EPS, asked=st.floats(0, 3))
    def report(self, ep: int, asked: float) -> None:
        if ep in self.ledger.listing:
            self.ledger.report(ep, asked)

    @rule(ep=EPS, standing=st.sampled_from(BackendState), restarted=st.booleans())
    def change(self, ep: int, standing: BackendState, restarted: bool) -> None:
        started = self.ledger.now if restarted else 0
        self.ledger.tell(ListForm.CHANGES, listed(ep, standing, started, self.cells))

    @rule(eps=st.sets(EPS), form=st.sampled_from([ListForm.WHOLE, ListForm.UNAVAILABLE]))
    def relist(self, eps: set[int], form: ListForm) -> None:
        self.ledger.tell(form, *(listed(ep, cells=self.cells) for ep in sorted(eps)))

    @rule(span=st.integers(1, 4000))
    def time_passes(self, span: int) -> None:
        self.ledger.run(span * MS)
        for tun in self.out():
            case = self.ledger.cases[tun]
            if not case.answered and case.give_up <= self.ledger.now:
                self.ledger.end(tun, Outcome.TIMEOUT)

    @invariant()
    def rules_are_kept(self) -> None:
        if hasattr(self, "ledger"):
            self.ledger.check()


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
    ledgers = [fleet(4, load, relays=relays, relay_index=me, seed=seed * relays + me) for me in range(relays)]
    held = 160  # by all relays, so a member that is full holds 40 / load
    for tun in range(held):
        ledgers[tun % relays].adopt(tun // relays % 4)
    site = ledgers[0].site
    started = site.start_time - age * SECOND
    for ledger in ledgers:
        ledger.run(SECOND)
        for ep in range(4):
            ledger.report(ep, load)
        ledger.run(SECOND)
        ledger.tell(ListForm.CHANGES, listed(9, started=started))
    for number in range(rush * 12):
        ledger = ledgers[number * 7 % relays]
        ledger.run(site.start_time + 2 * SECOND + number * SECOND // rush - ledger.now)
        tun = ledger.arrive(key=f"rush {number}")
        if not ledger.cases[tun].answered:
            ledger.open(tun)
            if ledger.cases[tun].setups[-1][0] != 9:
                ledger.end(tun, Outcome.DONE)
    sends = sorted(
        at
        for ledger in ledgers
        for at, _, ep in ledger.sends
        if ep == 9 and at < started + site.warmup_duration
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
    ledger = fleet(size, None, cells=cells, relays=relays, relay_index=me)
    for turn in range(4):
        for number in range(10):
            tun = ledger.arrive(key=f"{turn} {number}")
            assert ledger.cases[tun].setups or not size or gone == turn
        ledger.run(3 * SECOND)
        ledger.check()
        changes = (
            (BackendState.GONE, BackendState.READY)
            if turn == gone
            else (BackendState.DRAINING, BackendState.READY)
        )
        for standing in changes:
            ledger.tell(ListForm.CHANGES, *(listed(ep, standing, cells=cells) for ep in range(size)))
