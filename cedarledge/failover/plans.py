"""Which zone carries whose traffic: what relays of several zones see, made into a plan. No I/O, no clock.

A plan gives each zone a state and, for the traffic of each zone, which part goes where, in hundredths. Near
goes first: the own zone, then the others of its region, then other regions, as far as they have room. What
has none is refused. A voter's planner looks at what relays tell and says what it would change; the register
(votes.py) gives that a number. Times are ns by the voter's own clock; what is asked and can be done counts in
boxes.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from enum import IntEnum
from statistics import median
from typing import NamedTuple

import msgspec

from cedarledge.terms import MS, SECOND

# Of what a zone can do this is left for what comes unforeseen.
HEADROOM = 0.2
# A sight older than this says nothing.
MAX_OBSERVATION_AGE = 4 * SECOND
# Of setups there, from which on a zone counts as failing; and its load from which on it is no help to others.
FAILURE_THRESHOLD, OVERLOAD_THRESHOLD = 0.5, 1.1
# What is seen must last this long before a plan follows; the shortest life of a plan; a change below this is
# none.
EVIDENCE_HOLD_TIME, MIN_PLAN_AGE, MIN_SHARE_CHANGE = 800 * MS, 1500 * MS, 5
# Back in steps of so many hundredths of a zone's traffic. A zone that comes and goes stays away for twice as
# long each time, up to a bound; once it has been open for so long that is forgotten.
RETURN_STEP, RETURN_DELAY, MAX_RETURN_DELAY, WITHDRAWALS_RESET_AFTER = (
    20,
    6 * SECOND,
    96 * SECOND,
    120 * SECOND,
)
FULL_SHARE = 100


class State(IntEnum):
    OPEN = 0
    LIMITED = 1  # carries its own traffic, none of others
    CLOSED = 2
    RETURNING = 3  # takes its traffic back in steps


class ZoneObservation(NamedTuple):
    """What one relay sees of one zone."""

    ready: int  # boxes that the list and its own setups hold to be there
    load: float  # mean of their reports
    failure_rate: float  # of its setups there, lately
    open_connections: int  # its own open tunnels there
    age: int


class RelayReport(NamedTuple):
    """One relay that is alive, as the peers tell."""

    zone: str
    connections: int
    observations: Mapping[str, ZoneObservation]


class ZonePlan(msgspec.Struct, array_like=True, frozen=True):
    zone: str
    state: State
    shares: list[int]  # of this zone's traffic, by the places of the plan's zones; hundredths
    rejected: int  # the rest, to make a whole
    withdrawals: int  # how often it went lately


class Plan(msgspec.Struct, array_like=True, frozen=True):
    """Zones in the order of their names; why says in a sentence with figures what it came from."""

    zones: list[ZonePlan]
    reason: str

    def state(self, zone: str) -> State:
        return next(row.state for row in self.zones if row.zone == zone)

    def share(self, source: str, target: str) -> int:
        names = [row.zone for row in self.zones]
        return self.zones[names.index(source)].shares[names.index(target)]


class ZoneSummary(NamedTuple):
    """What all together see of one zone."""

    ready: float
    load: float
    unreachable: bool  # from every other zone that looks
    fails_locally: bool  # its own relays say so
    reports: bool  # its own relays are heard
    observed: bool  # somebody has a fresh sight of it


def summarize_zone(zone: str, reports: Sequence[RelayReport]) -> ZoneSummary:
    """By medians of each zone's relays, so that no single relay's word decides where a zone has three."""
    by_zone: dict[str, list[ZoneObservation]] = {}
    for report in reports:
        observation = report.observations.get(zone)
        if observation is not None and observation.age <= MAX_OBSERVATION_AGE:
            by_zone.setdefault(report.zone, []).append(observation)
    failing = {
        name: median(observation.failure_rate for observation in rows) >= FAILURE_THRESHOLD
        for name, rows in by_zone.items()
    }
    good = [observation for name, rows in by_zone.items() if not failing[name] for observation in rows]
    others = [fails for name, fails in failing.items() if name != zone]
    # One relay alone of all others is one word.
    alone = sum(len(rows) for name, rows in by_zone.items() if name != zone) < 2
    return ZoneSummary(
        median(observation.ready for observation in good) if good else 0.0,
        median(observation.load for observation in good) if good else 0.0,
        bool(others) and all(others) and not alone,
        failing.get(zone, False),
        zone in failing,
        bool(by_zone),
    )


def assign_traffic(
    demand: Mapping[str, float],
    room: Mapping[str, float],
    own: Mapping[str, float],
    regions: Mapping[str, str],
) -> tuple[dict[str, dict[str, float]], dict[str, float]]:
    """Near first: who carries how much of whose demand, and what nobody has room for. `own` is what a zone
    may carry of its own, `room` what it may carry in all."""
    carried = {zone: {zone: min(demand[zone], own[zone])} for zone in demand}
    left = {zone: demand[zone] - carried[zone][zone] for zone in demand}
    free = {zone: max(0.0, room[zone] - carried[zone][zone]) for zone in demand}
    groups = [
        [zone for zone in demand if regions[zone] == region] for region in sorted(set(regions.values()))
    ]
    for group in [*groups, list(demand)]:
        need = sum(left[zone] for zone in group)
        there = sum(free[zone] for zone in group)
        if need <= 0 or there <= 0:
            continue
        part = min(1.0, there / need)
        taken = {target: free[target] / there for target in group}
        for source in group:
            moved = left[source] * part
            for target in group:
                if moved and taken[target] and target != source:
                    carried[source][target] = carried[source].get(target, 0.0) + moved * taken[target]
            # Of its own zone a source has had all that there is.
            kept = moved * taken[source]
            left[source] -= moved - kept
        for target in group:
            free[target] = max(0.0, free[target] - need * part * taken[target])
    return carried, left


class Planner:
    """One voter's. It is told of the plan that holds, and asked what it would have instead."""

    def __init__(self, regions: Mapping[str, str], pinned: Mapping[str, State] | None = None) -> None:
        """`regions` by zone; all zones there are. `pinned`: what staff have said."""
        self.regions = dict(sorted(regions.items()))
        self.pinned = dict(pinned or {})
        self.plan = self.initial_plan()
        self.adopted_at = 0
        self._evidence_since: dict[str, tuple[str, int]] = {}  # what is seen of a zone, and since when
        self._state_since = dict.fromkeys(self.regions, 0)
        self._load_per_connection = 0.0  # what one tunnel asks of a box that does what it should

    def initial_plan(self) -> Plan:
        """Everybody keeps to the own zone: what holds where nothing was decided."""
        names = list(self.regions)
        rows = [
            ZonePlan(zone, State.OPEN, [FULL_SHARE * (other == zone) for other in names], 0, 0)
            for zone in names
        ]
        return Plan(rows, "nothing was decided yet")

    def adopt(self, now: int, plan: Plan) -> None:
        """This plan has a number now. One about other zones is of an older file, and is not followed."""
        if [row.zone for row in plan.zones] == list(self.regions):
            for row in plan.zones:
                if row.state is not self.plan.state(row.zone):
                    self._state_since[row.zone] = now
            self.plan, self.adopted_at = plan, now

    def propose_change(self, now: int, reports: Sequence[RelayReport]) -> Plan | None:
        """What it would have instead of the plan that holds; None: nothing."""
        seen = {zone: summarize_zone(zone, reports) for zone in self.regions}
        # One who hears nothing of half of the zones is more likely cut off than they are gone.
        speak = {report.zone for report in reports} & self.regions.keys()
        if now - self.adopted_at < MIN_PLAN_AGE or 2 * len(speak) <= len(self.regions):
            return None
        states = {row.zone: self._next_state(row, seen[row.zone], now) for row in self.plan.zones}
        if all(state is State.CLOSED for state in states.values()):
            # Who sees all gone is more likely gone itself.
            return None
        away = {row.zone: self._next_withdrawals(row, states[row.zone], now) for row in self.plan.zones}
        shares, refused = self._shares(states, seen, reports)
        plan = Plan(
            [ZonePlan(zone, states[zone], shares[zone], refused[zone], away[zone]) for zone in self.regions],
            self._describe(states, seen),
        )
        return plan if self._differs(plan) else None

    # -- states ------------------------------------------------------------------------------------

    def _evidence(self, zone: str, seen: ZoneSummary, now: int) -> tuple[str, int]:
        """What is seen of it, and for how long that has been so."""
        if not seen.observed:
            what = "unheard"
        elif seen.unreachable and seen.fails_locally:
            what = "gone"
        elif seen.unreachable or seen.fails_locally:
            # Its own relays see it serve, or others do; or nobody hears them, and it may live behind a cut.
            what = "cut"
        elif seen.load > OVERLOAD_THRESHOLD:
            what = "slow"
        else:
            what = "well"
        before = self._evidence_since.get(zone)
        if before is None or before[0] != what:
            self._evidence_since[zone] = what, now
        return what, now - self._evidence_since[zone][1]

    def _next_state(self, row: ZonePlan, seen: ZoneSummary, now: int) -> State:
        if row.zone in self.pinned:
            return self.pinned[row.zone]
        what, lasted = self._evidence(row.zone, seen, now)
        if what == "unheard" or lasted < EVIDENCE_HOLD_TIME:
            return row.state
        if what == "gone":
            return State.CLOSED
        if what in ("cut", "slow"):
            # One that is closed and answers a little is no further yet.
            return row.state if row.state is State.CLOSED else State.LIMITED
        if row.state in (State.CLOSED, State.LIMITED):
            wait = min(MAX_RETURN_DELAY, RETURN_DELAY << max(0, row.withdrawals - 1))
            # Another voter may see what this one does not: its plan stands for as long all the same.
            since = min(lasted, now - self._state_since[row.zone])
            return State.RETURNING if since >= wait else row.state
        if row.state is State.RETURNING and self._has_own_traffic(row.zone):
            return State.OPEN
        return row.state

    def _has_own_traffic(self, zone: str) -> bool:
        """Its own traffic is there again."""
        row = next(row for row in self.plan.zones if row.zone == zone)
        elsewhere = FULL_SHARE - row.shares[list(self.regions).index(zone)] - row.rejected
        return elsewhere < MIN_SHARE_CHANGE

    def _next_withdrawals(self, row: ZonePlan, state: State, now: int) -> int:
        bad = (State.CLOSED, State.LIMITED)
        if state in bad and row.state not in bad:
            return min(row.withdrawals + 1, 16)
        if (
            state is State.OPEN
            and row.state is State.OPEN
            and now - self._state_since[row.zone] >= WITHDRAWALS_RESET_AFTER
        ):
            return 0
        return row.withdrawals

    def approves(self, now: int, plan: Plan, reports: Sequence[RelayReport]) -> bool:
        """Whether what it sees itself speaks against no change of state that this plan makes."""
        if [row.zone for row in plan.zones] != list(self.regions):
            return False
        bad = (State.CLOSED, State.LIMITED)
        for row in plan.zones:
            what, _ = self._evidence(row.zone, summarize_zone(row.zone, reports), now)
            was_bad, is_bad = self.plan.state(row.zone) in bad, row.state in bad
            if row.zone not in self.pinned and was_bad != is_bad and is_bad == (what == "well"):
                return False
        return True

    # -- shares ------------------------------------------------------------------------------------

    def _shares(
        self, states: Mapping[str, State], seen: Mapping[str, ZoneSummary], reports: Sequence[RelayReport]
    ) -> tuple[dict[str, list[int]], dict[str, int]]:
        names = list(self.regions)
        demand, capacity = self._demand_and_capacity(seen, reports)
        room, own = {}, {}
        for row in self.plan.zones:
            zone = row.zone
            cap = capacity[zone] * (1 - HEADROOM)
            as_now = demand[zone] * self._own_share(row) / FULL_SHARE
            if states[zone] is State.CLOSED:
                own[zone] = 0.0
            elif states[zone] is State.LIMITED and self._evidence_since[zone][0] == "cut":
                # Its own relays alone know how it does.
                own[zone] = as_now
            elif states[zone] is State.RETURNING:
                step = (
                    demand[zone] * RETURN_STEP / FULL_SHARE
                    if self._last_step_is_visible(row, reports)
                    else 0.0
                )
                own[zone] = min(cap, as_now + step)
            else:
                own[zone] = cap
            room[zone] = cap if states[zone] is State.OPEN else min(own[zone], demand[zone])
        carried, _ = assign_traffic(demand, room, own, self.regions)
        shares, refused = {}, {}
        for zone in names:
            if demand[zone] > 0:
                parts = [
                    int(FULL_SHARE * carried[zone].get(other, 0.0) / demand[zone] + 1e-9) for other in names
                ]
            else:
                # Nobody asks: what comes first stays, or goes where any may go.
                open_to = zone if states[zone] is not State.CLOSED else self._any_open_zone(states)
                parts = [FULL_SHARE * (other == open_to) for other in names]
            shares[zone], refused[zone] = parts, FULL_SHARE - sum(parts)
        return shares, refused

    def _last_step_is_visible(self, row: ZonePlan, reports: Sequence[RelayReport]) -> bool:
        """The last step of a zone's return is seen in where its tunnels are."""
        mine = [report for report in reports if report.zone == row.zone]
        held = sum(report.connections for report in mine)
        there = sum(
            report.observations[row.zone].open_connections
            for report in mine
            if row.zone in report.observations
        )
        return held == 0 or FULL_SHARE * there >= held * (self._own_share(row) - 2 * MIN_SHARE_CHANGE)

    def _demand_and_capacity(
        self, seen: Mapping[str, ZoneSummary], reports: Sequence[RelayReport]
    ) -> tuple[dict[str, float], dict[str, float]]:
        """What each zone's clients ask, and what each zone can do, in boxes that do what they should. A zone
        whose load is higher than its tunnels account for can do less than its boxes' number says."""
        tunnels = dict.fromkeys(self.regions, 0)
        carries = dict.fromkeys(self.regions, 0)
        for report in reports:
            if report.zone in tunnels:
                tunnels[report.zone] += report.connections
            for zone, observation in report.observations.items():
                if zone in carries and observation.age <= MAX_OBSERVATION_AGE:
                    carries[zone] += observation.open_connections
        # By the zones where a tunnel weighs least: the others are slow, or their reports are old.
        weighs = sorted(
            one.load * one.ready / carries[zone]
            for zone, one in seen.items()
            if carries[zone] >= 10 and one.ready and one.load > 0.05
        )
        if weighs:
            self._load_per_connection = weighs[(len(weighs) - 1) // 2]
        capacity = {}
        for zone, one in seen.items():
            # A little under its number is the noise of reports. Of a zone whose relays are not heard, who
            # carries what is not known.
            known = one.reports and one.load > 0.05 and carries[zone] >= 10
            by_load = carries[zone] * self._load_per_connection / one.load if known else one.ready
            capacity[zone] = one.ready if by_load > 0.75 * one.ready else by_load
        demand = {}
        for zone, one in seen.items():
            # Relays that nobody hears may serve behind a cut: what boxes there carry beside the others' is
            # theirs.
            theirs = 0.0 if one.reports else one.load * one.ready - carries[zone] * self._load_per_connection
            demand[zone] = max(theirs, tunnels[zone] * self._load_per_connection)
        return demand, capacity

    def _own_share(self, row: ZonePlan) -> int:
        return row.shares[list(self.regions).index(row.zone)]

    def _any_open_zone(self, states: Mapping[str, State]) -> str:
        return next((zone for zone in self.regions if states[zone] is State.OPEN), "")

    def _differs(self, plan: Plan) -> bool:
        for old, new in zip(self.plan.zones, plan.zones, strict=True):
            if old.state is not new.state:
                return True
            moved = [abs(one - other) for one, other in zip(old.shares, new.shares, strict=True)]
            if (
                max(moved, default=0) >= MIN_SHARE_CHANGE
                or abs(old.rejected - new.rejected) >= MIN_SHARE_CHANGE
            ):
                return True
        return False

    def _describe(self, states: Mapping[str, State], seen: Mapping[str, ZoneSummary]) -> str:
        told = []
        for zone, state in states.items():
            what = self._evidence_since.get(zone, ("pinned", 0))[0]
            if state is not State.OPEN or what != "well":
                told.append(
                    f"{zone} {state.name.lower()}: {what}, {seen[zone].ready:.0f} ready at "
                    f"{seen[zone].load:.2f}"
                )
        return ("; ".join(told) or "all zones are well")[:160]


def routing_weights(plan: Plan, zone: str, fresh: Collection[str]) -> dict[str, float]:
    """What a relay in `zone` makes of a plan: a part for each other zone and its own, by which it weighs
    that zone's cells. `fresh`: zones that it sees fail itself, which goes before any plan. Empty: no plan is
    followed."""
    names = [row.zone for row in plan.zones]
    if zone not in names:
        return {}
    shares = {
        name: share
        for name, share in zip(names, plan.zones[names.index(zone)].shares, strict=True)
        if share and name not in fresh
    }
    total = sum(shares.values())
    return {name: share / total for name, share in shares.items()} if total else {}
