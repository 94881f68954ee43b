"""Failover plans: which zones carry the traffic of each zone. No I/O, no clock.

A plan gives each zone a state and distributes its traffic over the zones, in hundredths: first to the zone
itself, then to the other zones of its region, then to other regions, as far as they have capacity. Traffic
without capacity anywhere is rejected. Each voter has a planner that computes from relays' reports the plan it
would propose; the quorum register (votes.py) assigns a slot number to the plan that is chosen. Times are ns
on the voter's own clock. Demand and capacity are in units of one healthy backend.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from enum import IntEnum
from statistics import median
from typing import NamedTuple

import msgspec

from cedarledge.terms import MS, SECOND

# Share of a zone's capacity that plans leave free for the unforeseen.
HEADROOM = 0.2
# Older observations are ignored.
MAX_OBSERVATION_AGE = 4 * SECOND
# Share of failed attempts from which a zone counts as failing, and the load from which it takes no other
# zones' traffic.
FAILURE_THRESHOLD, OVERLOAD_THRESHOLD = 0.5, 1.1
# How long an observation must last before a plan follows from it; the shortest lifetime of a plan; and the
# change of a share, in hundredths, below which no new plan is made.
EVIDENCE_HOLD_TIME, MIN_PLAN_AGE, MIN_SHARE_CHANGE = 800 * MS, 1500 * MS, 5
# Traffic returns in steps of this many hundredths. The delay before a zone's return doubles with each
# withdrawal, up to a bound; withdrawals are forgotten once the zone has been open for the last of these
# times.
RETURN_STEP, RETURN_DELAY, MAX_RETURN_DELAY, WITHDRAWALS_RESET_AFTER = (
    20,
    6 * SECOND,
    96 * SECOND,
    120 * SECOND,
)
# A zone's whole traffic, in hundredths.
FULL_SHARE = 100


class State(IntEnum):
    """What traffic a zone carries under a plan."""

    OPEN = 0  # its own and, with capacity left, other zones' traffic
    LIMITED = 1  # its own traffic only
    CLOSED = 2  # none
    RETURNING = 3  # takes its own traffic back in steps


class ZoneObservation(NamedTuple):
    """One relay's observation of one zone."""

    ready: int  # backends that are usable by discovery and by the relay's own attempts
    load: float  # mean of the loads that these backends report
    failure_rate: float  # share of the relay's recent attempts there that failed
    open_connections: int  # the relay's own, to backends of this zone
    age: int  # ns


class RelayReport(NamedTuple):
    """What one live relay reports: its zone, its open connections, and its observation of each zone."""

    zone: str
    connections: int
    observations: Mapping[str, ZoneObservation]


class ZonePlan(msgspec.Struct, array_like=True, frozen=True):
    """A zone's part of a plan."""

    zone: str
    state: State
    shares: list[int]  # of this zone's traffic, in the order of the plan's zones; hundredths
    rejected: int  # the rest of the traffic; hundredths
    withdrawals: int  # how often it was recently closed or limited


class Plan(msgspec.Struct, array_like=True, frozen=True):
    """All zones, ordered by name, and the reason for the plan as one line of text with figures."""

    zones: list[ZonePlan]
    reason: str

    def state(self, zone: str) -> State:
        """Returns the state of a zone that the plan contains."""
        return next(row.state for row in self.zones if row.zone == zone)

    def share(self, source: str, target: str) -> int:
        """Returns the hundredths of one zone's traffic that another zone carries."""
        names = [row.zone for row in self.zones]
        return self.zones[names.index(source)].shares[names.index(target)]


class ZoneSummary(NamedTuple):
    """The combined observations of one zone."""

    ready: float  # usable backends
    load: float
    unreachable: bool  # from every other zone that observes it
    fails_locally: bool  # its own relays' attempts fail
    reports: bool  # its own relays report
    observed: bool  # there is a recent observation of it


def summarize_zone(zone: str, reports: Sequence[RelayReport]) -> ZoneSummary:
    """Combines the relays' observations of a zone.

    Uses the median over the relays of each observing zone, so that a single wrong relay decides nothing in a
    zone with three relays.
    """
    by_zone: dict[str, list[ZoneObservation]] = {}
    for report in reports:
        observation = report.observations.get(zone)
        if observation is not None and observation.age <= MAX_OBSERVATION_AGE:
            by_zone.setdefault(report.zone, []).append(observation)
    failing = {
        name: median(observation.failure_rate for observation in observations) >= FAILURE_THRESHOLD
        for name, observations in by_zone.items()
    }
    healthy = [
        observation
        for name, observations in by_zone.items()
        if not failing[name]
        for observation in observations
    ]
    remote_verdicts = [fails for name, fails in failing.items() if name != zone]
    # A single relay in all other zones is not enough evidence.
    single_witness = sum(len(observations) for name, observations in by_zone.items() if name != zone) < 2
    return ZoneSummary(
        median(observation.ready for observation in healthy) if healthy else 0.0,
        median(observation.load for observation in healthy) if healthy else 0.0,
        bool(remote_verdicts) and all(remote_verdicts) and not single_witness,
        failing.get(zone, False),
        zone in failing,
        bool(by_zone),
    )


def assign_traffic(
    demand: Mapping[str, float],
    capacity: Mapping[str, float],
    own_limit: Mapping[str, float],
    regions: Mapping[str, str],
) -> tuple[dict[str, dict[str, float]], dict[str, float]]:
    """Distributes the demand of each zone, nearest first: its own zone, its region, all zones.

    `own_limit` bounds what a zone carries of its own demand, `capacity` what it carries in total. Returns the
    amounts by source and target zone, and by zone the demand that is left without capacity.
    """
    assigned = {zone: {zone: min(demand[zone], own_limit[zone])} for zone in demand}
    unassigned = {zone: demand[zone] - assigned[zone][zone] for zone in demand}
    spare = {zone: max(0.0, capacity[zone] - assigned[zone][zone]) for zone in demand}
    groups = [
        [zone for zone in demand if regions[zone] == region] for region in sorted(set(regions.values()))
    ]
    for group in [*groups, list(demand)]:
        needed = sum(unassigned[zone] for zone in group)
        available = sum(spare[zone] for zone in group)
        if needed <= 0 or available <= 0:
            continue
        fraction = min(1.0, available / needed)
        spare_share = {target: spare[target] / available for target in group}
        for source in group:
            moved = unassigned[source] * fraction
            for target in group:
                if moved and spare_share[target] and target != source:
                    assigned[source][target] = assigned[source].get(target, 0.0) + moved * spare_share[target]
            # A source has already used its own zone as far as possible.
            kept = moved * spare_share[source]
            unassigned[source] -= moved - kept
        for target in group:
            spare[target] = max(0.0, spare[target] - needed * fraction * spare_share[target])
    return assigned, unassigned


class Planner:
    """Computes the plan that one voter would propose in place of the current one."""

    def __init__(self, regions: Mapping[str, str], pinned: Mapping[str, State] | None = None) -> None:
        """`regions` maps every zone to its region. `pinned` are states that operators have fixed."""
        self.regions = dict(sorted(regions.items()))
        self.pinned = dict(pinned or {})
        self.plan = self.initial_plan()
        self.adopted_at = 0
        self._evidence_since: dict[str, tuple[str, int]] = {}  # by zone, and its start time
        self._state_since = dict.fromkeys(self.regions, 0)
        self._load_per_connection = 0.0  # of a healthy backend

    def initial_plan(self) -> Plan:
        """Returns the plan that applies before any was chosen: each zone carries its own traffic."""
        names = list(self.regions)
        rows = [
            ZonePlan(zone, State.OPEN, [FULL_SHARE * (other == zone) for other in names], 0, 0)
            for zone in names
        ]
        return Plan(rows, "nothing was decided yet")

    def adopt(self, now: int, plan: Plan) -> None:
        """Makes a chosen plan the current one.

        A plan about other zones comes from an older configuration and is ignored.
        """
        if [row.zone for row in plan.zones] == list(self.regions):
            for row in plan.zones:
                if row.state is not self.plan.state(row.zone):
                    self._state_since[row.zone] = now
            self.plan, self.adopted_at = plan, now

    def propose_change(self, now: int, reports: Sequence[RelayReport]) -> Plan | None:
        """Returns the plan that should replace the current one, None if no change is due."""
        summaries = {zone: summarize_zone(zone, reports) for zone in self.regions}
        # Without reports from half of the zones, this voter is more likely cut off than those zones are down.
        reporting_zones = {report.zone for report in reports} & self.regions.keys()
        if now - self.adopted_at < MIN_PLAN_AGE or 2 * len(reporting_zones) <= len(self.regions):
            return None
        states = {row.zone: self._next_state(row, summaries[row.zone], now) for row in self.plan.zones}
        if all(state is State.CLOSED for state in states.values()):
            # A voter to which all zones seem down is more likely isolated itself.
            return None
        withdrawals = {
            row.zone: self._next_withdrawals(row, states[row.zone], now) for row in self.plan.zones
        }
        shares, rejected = self._shares(states, summaries, reports)
        plan = Plan(
            [
                ZonePlan(zone, states[zone], shares[zone], rejected[zone], withdrawals[zone])
                for zone in self.regions
            ],
            self._describe(states, summaries),
        )
        return plan if self._differs(plan) else None

    # -- states ------------------------------------------------------------------------------------

    def _evidence(self, zone: str, summary: ZoneSummary, now: int) -> tuple[str, int]:
        """Classifies the observations of a zone. Returns the class and for how long it has applied, ns."""
        if not summary.observed:
            evidence = "unheard"
        elif summary.unreachable and summary.fails_locally:
            evidence = "gone"
        elif summary.unreachable or summary.fails_locally:
            # Some relays still see it serve; or its own relays do not report, and it may be alive behind a
            # network partition.
            evidence = "cut"
        elif summary.load > OVERLOAD_THRESHOLD:
            evidence = "slow"
        else:
            evidence = "well"
        before = self._evidence_since.get(zone)
        if before is None or before[0] != evidence:
            self._evidence_since[zone] = evidence, now
        return evidence, now - self._evidence_since[zone][1]

    def _next_state(self, row: ZonePlan, summary: ZoneSummary, now: int) -> State:
        if row.zone in self.pinned:
            return self.pinned[row.zone]
        evidence, duration = self._evidence(row.zone, summary, now)
        if evidence == "unheard" or duration < EVIDENCE_HOLD_TIME:
            return row.state
        if evidence == "gone":
            return State.CLOSED
        if evidence in ("cut", "slow"):
            # A closed zone that works only in part stays closed.
            return row.state if row.state is State.CLOSED else State.LIMITED
        if row.state in (State.CLOSED, State.LIMITED):
            delay = min(MAX_RETURN_DELAY, RETURN_DELAY << max(0, row.withdrawals - 1))
            # The delay also runs from the last change of state: another voter may have observed a fault that
            # this one does not see.
            since = min(duration, now - self._state_since[row.zone])
            return State.RETURNING if since >= delay else row.state
        if row.state is State.RETURNING and self._has_own_traffic(row.zone):
            return State.OPEN
        return row.state

    def _has_own_traffic(self, zone: str) -> bool:
        """Whether the current plan leaves nearly all of a zone's traffic in the zone."""
        row = next(row for row in self.plan.zones if row.zone == zone)
        elsewhere = FULL_SHARE - row.shares[list(self.regions).index(zone)] - row.rejected
        return elsewhere < MIN_SHARE_CHANGE

    def _next_withdrawals(self, row: ZonePlan, state: State, now: int) -> int:
        withdrawn = (State.CLOSED, State.LIMITED)
        if state in withdrawn and row.state not in withdrawn:
            return min(row.withdrawals + 1, 16)
        if (
            state is State.OPEN
            and row.state is State.OPEN
            and now - self._state_since[row.zone] >= WITHDRAWALS_RESET_AFTER
        ):
            return 0
        return row.withdrawals

    def approves(self, now: int, plan: Plan, reports: Sequence[RelayReport]) -> bool:
        """Whether this voter's own observations are consistent with every change of state in a proposed plan.

        False for a plan about other zones.
        """
        if [row.zone for row in plan.zones] != list(self.regions):
            return False
        withdrawn = (State.CLOSED, State.LIMITED)
        for row in plan.zones:
            evidence, _ = self._evidence(row.zone, summarize_zone(row.zone, reports), now)
            was_withdrawn, is_withdrawn = self.plan.state(row.zone) in withdrawn, row.state in withdrawn
            if (
                row.zone not in self.pinned
                and was_withdrawn != is_withdrawn
                and is_withdrawn == (evidence == "well")
            ):
                return False
        return True

    # -- shares ------------------------------------------------------------------------------------

    def _shares(
        self,
        states: Mapping[str, State],
        summaries: Mapping[str, ZoneSummary],
        reports: Sequence[RelayReport],
    ) -> tuple[dict[str, list[int]], dict[str, int]]:
        names = list(self.regions)
        demand, capacity = self._demand_and_capacity(summaries, reports)
        limits, own_limits = {}, {}
        for row in self.plan.zones:
            zone = row.zone
            usable = capacity[zone] * (1 - HEADROOM)
            current = demand[zone] * self._own_share(row) / FULL_SHARE
            if states[zone] is State.CLOSED:
                own_limits[zone] = 0.0
            elif states[zone] is State.LIMITED and self._evidence_since[zone][0] == "cut":
                # Only the zone's own relays know how well it serves, so its traffic stays as it is.
                own_limits[zone] = current
            elif states[zone] is State.RETURNING:
                step = (
                    demand[zone] * RETURN_STEP / FULL_SHARE
                    if self._last_step_is_visible(row, reports)
                    else 0.0
                )
                own_limits[zone] = min(usable, current + step)
            else:
                own_limits[zone] = usable
            limits[zone] = usable if states[zone] is State.OPEN else min(own_limits[zone], demand[zone])
        assigned, _ = assign_traffic(demand, limits, own_limits, self.regions)
        shares, rejected = {}, {}
        for zone in names:
            if demand[zone] > 0:
                hundredths = [
                    int(FULL_SHARE * assigned[zone].get(other, 0.0) / demand[zone] + 1e-9) for other in names
                ]
            else:
                # Without demand, future requests stay in the zone or go to any open one.
                target = zone if states[zone] is not State.CLOSED else self._any_open_zone(states)
                hundredths = [FULL_SHARE * (other == target) for other in names]
            shares[zone], rejected[zone] = hundredths, FULL_SHARE - sum(hundredths)
        return shares, rejected

    def _last_step_is_visible(self, row: ZonePlan, reports: Sequence[RelayReport]) -> bool:
        """Whether the connections of a zone's clients reflect the last step of its return."""
        own_reports = [report for report in reports if report.zone == row.zone]
        total = sum(report.connections for report in own_reports)
        local = sum(
            report.observations[row.zone].open_connections
            for report in own_reports
            if row.zone in report.observations
        )
        return total == 0 or FULL_SHARE * local >= total * (self._own_share(row) - 2 * MIN_SHARE_CHANGE)

    def _demand_and_capacity(
        self, summaries: Mapping[str, ZoneSummary], reports: Sequence[RelayReport]
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Estimates the demand of each zone's clients and the capacity of each zone, in healthy backends.

        A zone whose load is higher than its connections explain has less capacity than its number of
        backends.
        """
        connections = dict.fromkeys(self.regions, 0)
        carried = dict.fromkeys(self.regions, 0)
        for report in reports:
            if report.zone in connections:
                connections[report.zone] += report.connections
            for zone, observation in report.observations.items():
                if zone in carried and observation.age <= MAX_OBSERVATION_AGE:
                    carried[zone] += observation.open_connections
        # Taken from the zones with the lowest load per connection: the others are slow, or their reports are
        # old.
        loads_per_connection = sorted(
            summary.load * summary.ready / carried[zone]
            for zone, summary in summaries.items()
            if carried[zone] >= 10 and summary.ready and summary.load > 0.05
        )
        if loads_per_connection:
            self._load_per_connection = loads_per_connection[(len(loads_per_connection) - 1) // 2]
        capacity = {}
        for zone, summary in summaries.items():
            # An estimate slightly below the number of backends is noise in the reports. Where a zone's relays
            # do not report, it is unknown whose connections make up its load.
            load_known = summary.reports and summary.load > 0.05 and carried[zone] >= 10
            by_load = (
                carried[zone] * self._load_per_connection / summary.load if load_known else summary.ready
            )
            capacity[zone] = summary.ready if by_load > 0.75 * summary.ready else by_load
        demand = {}
        for zone, summary in summaries.items():
            # Relays that do not report may still serve behind a network partition: load on their zone's
            # backends beyond the other zones' connections is counted as theirs.
            unreported = (
                0.0
                if summary.reports
                else summary.load * summary.ready - carried[zone] * self._load_per_connection
            )
            demand[zone] = max(unreported, connections[zone] * self._load_per_connection)
        return demand, capacity

    def _own_share(self, row: ZonePlan) -> int:
        return row.shares[list(self.regions).index(row.zone)]

    def _any_open_zone(self, states: Mapping[str, State]) -> str:
        return next((zone for zone in self.regions if states[zone] is State.OPEN), "")

    def _differs(self, plan: Plan) -> bool:
        for old, new in zip(self.plan.zones, plan.zones, strict=True):
            if old.state is not new.state:
                return True
            changes = [
                abs(old_share - new_share)
                for old_share, new_share in zip(old.shares, new.shares, strict=True)
            ]
            if (
                max(changes, default=0) >= MIN_SHARE_CHANGE
                or abs(old.rejected - new.rejected) >= MIN_SHARE_CHANGE
            ):
                return True
        return False

    def _describe(self, states: Mapping[str, State], summaries: Mapping[str, ZoneSummary]) -> str:
        parts = []
        for zone, state in states.items():
            evidence = self._evidence_since.get(zone, ("pinned", 0))[0]
            if state is not State.OPEN or evidence != "well":
                parts.append(
                    f"{zone} {state.name.lower()}: {evidence}, {summaries[zone].ready:.0f} ready at "
                    f"{summaries[zone].load:.2f}"
                )
        return ("; ".join(parts) or "all zones are well")[:160]


def routing_weights(plan: Plan, zone: str, failing: Collection[str]) -> dict[str, float]:
    """Returns the weights by which a relay in `zone` routes to zones under a plan; they add up to 1.

    `failing` are zones that the relay itself sees fail; its own observation overrides the plan. An empty
    result means that the plan is not to be followed.
    """
    names = [row.zone for row in plan.zones]
    if zone not in names:
        return {}
    shares = {
        name: share
        for name, share in zip(names, plan.zones[names.index(zone)].shares, strict=True)
        if share and name not in failing
    }
    total = sum(shares.values())
    return {name: share / total for name, share in shares.items()} if total else {}
