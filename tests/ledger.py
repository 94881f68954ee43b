"""A recording host that holds the balancer to the four rules, and the makings of a small site."""

from __future__ import annotations

from dataclasses import dataclass, field

from cedarledge.choice import TICK, Balancer
from cedarledge.terms import (
    MS,
    NEVER_RAN,
    SECOND,
    Dedup,
    Effect,
    Listed,
    ListForm,
    LoadReport,
    Outcome,
    ProfileRow,
    SiteFacts,
    Standing,
)

START = 1000 * SECOND


def facts(window: int = 2 * SECOND, **other: object) -> SiteFacts:
    rows = tuple(
        ProfileRow(effect, dedup, window, 300 * MS, 50 * MS, 1.0 + place)
        for place, (effect, dedup) in enumerate((
            (Effect.REPEATABLE, Dedup.ALL), (Effect.REFERENCED, Dedup.ALL), (Effect.REFERENCED, Dedup.ZONE),
            (Effect.REFERENCED, Dedup.CELL), (Effect.ONCE_ONLY, Dedup.ALL))))
    plain: dict = dict(
        now=START, seed=1, me=0, relays=2, zone=0, profiles=rows, ranked=False, must_ask=True,
        ask_every=10 * SECOND, probes=True, delays_told=True, come_back_max=SECOND, most_setups=4,
        cold_from=0.2, warm_within=10 * SECOND, fall_multiple=3.0, fall_span=2 * SECOND, by_work=False,
        grouped=False, quotas=(), over_share_credit=1.0)
    return SiteFacts(**(plain | other))


def listed(ep: int, standing: Standing = Standing.READY, started: int = 0, cells: int = 2,
           weight: float = 1.0) -> Listed:
    return Listed(ep, ep % cells, ep % 2, 0, weight, standing, started, ep)


@dataclass
class Case:
    profile: int
    arrived: int
    give_up: int
    answered: bool = False
    setups: list[list] = field(default_factory=list)  # [ep, sent at, outcome or None, opened]


class Ledger:
    """Records every call, and fails on the first that breaks a rule."""

    def __init__(self, site: SiteFacts, answers: bool = True) -> None:
        self.site = site
        self.answers = answers
        self.now = site.now
        self.cases: dict[int, Case] = {}
        self.listing: dict[int, Listed] = {}
        self.sends: list[tuple[int, int, int]] = []  # time, tunnel, ep
        self.probes: list[tuple[int, int]] = []
        self.moves: list[int] = []
        self.declines: list[tuple[int, int]] = []
        self.watches: list[int] = []
        self.wakes: list[tuple[int, int]] = []
        self.told: dict[int, float] = {}  # what each backend last reported, and says again when looked at
        self.balancer = Balancer(self, site)

    # -- the host interface, with the rules ------------------------------------------------------

    def _may_have_run(self, case: Case) -> list[list]:
        return [setup for setup in case.setups if setup[2] not in NEVER_RAN]

    def send(self, tun: int, ep: int, timeout: int) -> None:
        case, row = self.cases[tun], self.site.profiles[self.cases[tun].profile]
        assert not case.answered, "a send after the final answer"
        assert all(setup[2] is not None for setup in case.setups), "two setups out at once"
        assert len(case.setups) < self.site.most_setups
        assert 0 < timeout <= case.give_up - self.now, "a time-out past the client timeout"
        assert self.listing[ep].standing is Standing.READY, "a send to a draining or gone backend"
        ran = self._may_have_run(case)
        if ran and row.effect is not Effect.REPEATABLE:
            assert row.effect is Effect.REFERENCED, "a once-only tunnel may run twice"
            first = ran[0]
            assert self.now < first[1] + row.window, "a repeat outside the window"
            one, two = self.listing[first[0]], self.listing[ep]
            assert (row.dedup is Dedup.ALL or (row.dedup is Dedup.ZONE and one.zone == two.zone)
                    or (row.dedup is Dedup.CELL and one.cell == two.cell)), "a repeat outside the group"
        case.setups.append([ep, self.now, None, False])
        self.sends.append((self.now, tun, ep))

    def decline(self, tun: int, come_back: int) -> None:
        case, row = self.cases[tun], self.site.profiles[self.cases[tun].profile]
        assert not case.answered, "two final answers"
        assert 0 <= come_back <= self.site.come_back_max
        assert (not self._may_have_run(case) or row.effect is Effect.REPEATABLE
                or (row.effect is Effect.REFERENCED and row.dedup is Dedup.ALL)), "a decline after a run"
        case.answered = True
        self.declines.append((self.now, tun))

    def close_with_error(self, tun: int) -> None:
        assert not self.cases[tun].answered, "two final answers"
        self.cases[tun].answered = True

    def move(self, tun: int) -> None:
        assert self.cases[tun].setups[-1][3], "a move of a tunnel that is not open"
        self.moves.append(tun)

    def probe(self, ep: int) -> None:
        self.probes.append((self.now, ep))

    def wake(self, delay: int, token: int) -> None:
        assert delay > 0
        self.wakes.append((self.now + delay // 1000 * 1000, token))  # a host that counts microseconds

    def watch(self) -> None:
        self.watches.append(self.now)

    def log(self, text: str) -> None:
        pass

    # -- what happens ------------------------------------------------------------------------------

    def check(self) -> None:
        for case in self.cases.values():
            held = case.setups and case.setups[-1][2] is None
            looks = self.now < case.arrived + self.site.profiles[case.profile].setup_goal // 4
            assert case.answered or held or looks, "a tunnel with neither an answer nor a setup out"

    def tell(self, form: ListForm, *entries: Listed) -> None:
        if form is not ListForm.UNAVAILABLE:
            if form is not ListForm.CHANGES:
                for ep, old in self.listing.items():
                    self.listing[ep] = old._replace(standing=Standing.GONE)
            self.listing |= {entry.ep: entry for entry in entries}
        self.balancer.list_changed(self.now, form, list(entries))

    def arrive(self, profile: int = 0, key: str | None = None, budget: int = SECOND,
               hint: float | None = None, group: str | None = None, tenant: int | None = None) -> int:
        tun = len(self.cases)
        self.cases[tun] = Case(profile, self.now, self.now + budget)
        self.balancer.tunnel_arrived(self.now, tun, profile, tenant, key, group, budget, hint, False)
        while self.answers and tun in self.balancer.looking:
            ep = self.balancer.looking[tun]
            self.report(ep, self.told.get(ep, 0.0))
        return tun

    def adopt(self, ep: int, hint: float | None = None) -> int:
        tun = len(self.cases)
        self.cases[tun] = Case(0, self.now, self.now, True, [[ep, self.now, None, True]])
        self.balancer.adopted(self.now, tun, 0, None, None, None, ep, hint)
        return tun

    def open(self, tun: int) -> None:
        setup = self.cases[tun].setups[-1]
        setup[3] = self.cases[tun].answered = True
        self.balancer.opened(self.now, tun, self.now - setup[1])

    def end(self, tun: int, outcome: Outcome) -> None:
        case = self.cases[tun]
        setup = case.setups[-1]
        setup[2] = outcome
        if outcome is Outcome.DONE:
            case.answered = True
        self.balancer.setup_ended(self.now, tun, setup[0], case.answered, outcome, self.now - setup[1], None)

    def report(self, ep: int, asked: float) -> None:
        self.told[ep] = asked
        self.balancer.probed(self.now, ep, True, LoadReport(asked=asked))

    def run(self, span: int) -> None:
        """Lets time pass, with the wakes that fall due."""
        end = self.now + span
        while due := [wake for wake in self.wakes if wake[0] <= end]:
            wake = min(due)
            self.wakes.remove(wake)
            self.now = wake[0]
            self.balancer.woke(self.now, wake[1])
        self.now = end


def fleet(size: int = 6, asked: float | None = 0.3, cells: int = 2, **other: object) -> Ledger:
    ledger = Ledger(facts(**other))
    ledger.tell(ListForm.RESTORED, *(listed(ep, cells=cells) for ep in range(size)))
    if asked is not None:
        for ep in range(size):
            ledger.report(ep, asked)
    return ledger


__all__ = ["MS", "SECOND", "START", "TICK", "Case", "Ledger", "facts", "fleet", "listed"]
