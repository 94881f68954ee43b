"""Simulation of zone failover: the traffic of zones, relays that follow plans, and voters that choose them.

Backends, clients and relays are figures: the capacity of a zone, the number of connections from each zone's
clients that it carries, and the relays' reports, which are slightly delayed and inaccurate. The voters and
planners are the real state machines.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from cedarledge.failover.plans import (
    HEADROOM,
    MAX_RETURN_DELAY,
    Plan,
    Planner,
    RelayReport,
    State,
    ZoneObservation,
    routing_weights,
)
from cedarledge.model.peers import InvariantError
from cedarledge.model.votes import VoterCluster
from cedarledge.terms import MS, SECOND

FAULT_KINDS = ("dead", "boxes_dead", "cut", "cut_one_way", "slow", "flaps", "liar", "voters_lost")
# Intervals at which the traffic is computed, and at which each voter checks whether a new plan is due.
TICK, PLAN_INTERVAL = 100 * MS, 250 * MS
FIRST_FAULT_AT, CONNECTION_LIFETIME_S = 10 * SECOND, 8.0
# All relays must follow one plan in which all zones are open within this time after the last fault. The
# planner delays the return of an unstable zone by MAX_RETURN_DELAY at most.
AGREEMENT_TIMEOUT = MAX_RETURN_DELAY + 60 * SECOND


class Fault(NamedTuple):
    """A fault of one kind in a zone from `start` to `end`, ns. `zone` is an index."""

    kind: str
    start: int
    end: int
    zone: int
    slowdown: float = 4.0  # of the kind "slow": divides the zone's capacity
    period: int = 0  # of the kind "flaps": the zone is dead in the first half of each period, ns


class Fleet:
    """A simulated fleet in several zones of two regions, whose traffic follows the chosen plans."""

    def __init__(
        self,
        zones: int,
        relays: int,
        voters: int,
        seed: int,
        faults: Sequence[Fault] = (),
        load: float = 0.5,
        planner_type: type[Planner] = Planner,
    ) -> None:
        """Creates `zones` zones with `relays` relays each, and schedules the faults.

        The voters are spread over the zones in turn. `load` is the demand without faults as a share of the
        capacity.
        """
        self.rng = random.Random(seed * 53 + 11)
        self.cluster = VoterCluster(voters, seed)
        self.simulation = self.cluster.simulation
        self.names = [f"z{index}" for index in range(zones)]
        self.regions = {name: f"r{index * 2 // zones}" for index, name in enumerate(self.names)}
        self.relays = relays
        self.backends = {name: float(self.rng.randint(6, 12)) for name in self.names}
        self.load = load
        self.faults = faults
        self.planners = [planner_type(self.regions) for _ in range(voters)]
        # Open connections by the zone of their relays and the zone of their backends. 60 connections load a
        # healthy backend fully.
        self.connections = {(source, target): 0.0 for source in self.names for target in self.names}
        for name in self.names:
            self.connections[name, name] = 60 * self.backends[name] * load
        self.plans: dict[int, Plan] = {}
        # Slot of the plan that a zone's relays follow, by zone; 0 before the first one.
        self.followed_plans = dict.fromkeys(self.names, 0)
        self.history: list[tuple[float, int, str]] = []
        self.refused = self.overload = self.crossing = 0.0
        self.direction_changes = dict.fromkeys(self.names, 0)
        self.decision_time: float | None = None
        self.reports = self._make_reports()
        self.cluster.record_chosen = self._record_chosen  # type: ignore[method-assign]
        self.cluster.is_approved = self._is_approved  # type: ignore[method-assign]
        self.simulation.call_later(TICK, self._tick)
        for voter in range(voters):
            self.simulation.call_later(PLAN_INTERVAL + voter * 40 * MS, self._propose_plan, voter)
        for fault in faults:
            if fault.kind == "voters_lost":
                for voter in range(voters // 2 + 1):
                    self.simulation.call_at(fault.start, self.cluster.kill, voter, False)
                    self.simulation.call_at(fault.end, self._restart_voter, voter)

    # -- faults ------------------------------------------------------------------------------------

    def _active_fault(self, kind: str, zone: str) -> Fault | None:
        now = self.simulation.now
        for fault in self.faults:
            if fault.kind == kind and self.names[fault.zone] == zone and fault.start <= now < fault.end:
                return fault
        return None

    def is_dead(self, zone: str) -> bool:
        """Whether the zone's backends do not run at present."""
        flaps = self._active_fault("flaps", zone)
        if flaps is not None and (self.simulation.now - flaps.start) % flaps.period < flaps.period // 2:
            return True
        return (
            self._active_fault("dead", zone) is not None or self._active_fault("boxes_dead", zone) is not None
        )

    def capacity(self, zone: str) -> float:
        """Returns the zone's present capacity in healthy backends."""
        slow = self._active_fault("slow", zone)
        return self.backends[zone] / (slow.slowdown if slow is not None else 1.0)

    def can_reach(self, source: str, target: str) -> bool:
        """Whether relays of the zone `source` can open connections to backends of the zone `target`."""
        if self.is_dead(target):
            return False
        if source == target:
            return True
        cut = (
            self._active_fault("cut", source)
            or self._active_fault("cut", target)
            or self._active_fault("cut_one_way", source)
        )
        return cut is None

    def reports_reach(self, source: str, target: str) -> bool:
        """Whether reports and plans of relays of the zone `source` arrive at relays of the zone `target`."""
        if self._active_fault("dead", source) or self._active_fault("dead", target):
            return False
        cut = (
            self._active_fault("cut", source)
            or self._active_fault("cut", target)
            or self._active_fault("cut_one_way", source)
        )
        return source == target or cut is None

    def _restart_voter(self, voter: int) -> None:
        self.cluster.start(voter)
        self.planners[voter] = type(self.planners[voter])(self.regions)

    # -- traffic and plans -------------------------------------------------------------------------

    def traffic_shares(self, zone: str) -> dict[str, float]:
        """Returns the shares of this zone's new connections that go to each zone.

        They follow from the plan that the zone's relays follow and from the zones that they cannot reach.
        """
        failing = [other for other in self.names if not self.can_reach(zone, other)]
        plan = self.plans.get(self.followed_plans[zone])
        if plan is not None:
            shares = routing_weights(plan, zone, failing)
            if shares:
                return shares
        # Without a usable plan, a relay routes to its own zone, or else to all zones that it reaches.
        if zone not in failing:
            return {zone: 1.0}
        open_to = [other for other in self.names if other not in failing]
        total = sum(self.backends[other] for other in open_to)
        return {other: self.backends[other] / total for other in open_to}

    def demand(self, zone: str) -> float:
        """Returns the number of connections that clients want through this zone's relays.

        Clients of zones whose relays are dead are spread evenly over the other zones.
        """
        live_zones = [other for other in self.names if self._active_fault("dead", other) is None]
        if zone not in live_zones:
            return 0.0
        lost = sum(60 * self.backends[other] * self.load for other in self.names if other not in live_zones)
        return 60 * self.backends[zone] * self.load + lost / len(live_zones)

    def _tick(self) -> None:
        self.simulation.call_later(TICK, self._tick)
        closed_share = TICK / SECOND / CONNECTION_LIFETIME_S
        loads = {zone: self.load_of(zone) for zone in self.names}
        for zone in self.names:
            wanted = self.demand(zone)
            open_total = 0.0
            for target in self.names:
                key = zone, target
                self.connections[key] = (
                    0.0 if self.is_dead(target) else self.connections[key] * (1 - closed_share)
                )
                open_total += self.connections[key]
            for target, share in self.traffic_shares(zone).items():
                self.connections[zone, target] += max(0.0, wanted - open_total) * share
            if self.simulation.now >= FIRST_FAULT_AT:
                self.overload += max(0.0, loads[zone] - 1.0) * self.backends[zone] * TICK / SECOND
        if self.simulation.now % SECOND == 0:
            self.reports = self._make_reports()

    def load_of(self, zone: str) -> float:
        """Returns the load of the zone's backends; 1 is its present capacity."""
        return sum(self.connections[source, zone] for source in self.names) / 60 / self.capacity(zone)

    def _make_reports(self) -> dict[str, list[RelayReport]]:
        """Returns the reports of each zone's relays, which are in use for the following second."""
        reports: dict[str, list[RelayReport]] = {}
        for zone in self.names:
            reports[zone] = []
            for index in range(self.relays):
                liar = self._active_fault("liar", zone) if index == 0 else None
                observations = {}
                for other in self.names:
                    reachable = self.can_reach(zone, other)
                    load = self.load_of(other) * (0.95 + 0.1 * self.rng.random())
                    if liar is not None:
                        load, reachable = 9.9, False
                    observations[other] = ZoneObservation(
                        int(self.backends[other]) if reachable else 0,
                        load if reachable else 0.0,
                        0.0 if reachable else 1.0,
                        round(self.connections[zone, other] / self.relays),
                        SECOND,
                    )
                total = sum(self.connections[zone, other] for other in self.names)
                reports[zone].append(RelayReport(zone, round(total / self.relays), observations))
        return reports

    def zone_of(self, voter: int) -> str:
        """Returns the zone in which a voter runs."""
        return self.names[voter % len(self.names)]

    def _reports_for(self, voter: int) -> list[RelayReport]:
        zone = self.zone_of(voter)
        return [
            report
            for other in self.names
            if self.reports_reach(other, zone)
            for report in self.reports[other]
        ]

    def _is_approved(self, voter: int, value: bytes) -> bool:
        plan = msgspec.msgpack.decode(value, type=Plan)
        return self.planners[voter].approves(self.simulation.now, plan, self._reports_for(voter))

    def _propose_plan(self, voter: int) -> None:
        self.simulation.call_later(PLAN_INTERVAL, self._propose_plan, voter)
        node, zone = self.cluster.nodes[voter], self.zone_of(voter)
        if node.machine is None or self._active_fault("dead", zone):
            return
        plan = self.planners[voter].propose_change(self.simulation.now, self._reports_for(voter))
        if plan is None:
            # A proposal based on old observations must not be chosen when a partition heals.
            node.voter.withdraw()
        else:
            node.voter.propose(msgspec.msgpack.encode(plan))

    def _record_chosen(self, voter: int, slot: int, value: bytes) -> None:
        VoterCluster.record_chosen(self.cluster, voter, slot, value)
        plan = msgspec.msgpack.decode(value, type=Plan)
        before = self.plans.get(max((known for known in self.plans if known < slot), default=0))
        if slot not in self.plans:
            self.plans[slot] = plan
            self.check_plan(plan, before)
            self.history.append((self.simulation.now / SECOND, slot, plan.reason))
            for row in plan.zones:
                old_state = before.state(row.zone) if before is not None else State.OPEN
                self.direction_changes[row.zone] += (old_state in (State.CLOSED, State.LIMITED)) != (
                    row.state in (State.CLOSED, State.LIMITED)
                )
                if self.decision_time is None and row.state is not State.OPEN:
                    self.decision_time = (
                        self.simulation.now - min(row.start for row in self.faults)
                    ) / SECOND
        self.planners[voter].adopt(self.simulation.now, plan)
        for zone in self.names:
            if self.reports_reach(self.zone_of(voter), zone):
                self.simulation.call_later(self.rng.randrange(300 * MS), self._follow_plan, zone, slot)

    def _follow_plan(self, zone: str, slot: int) -> None:
        # An older plan that arrives late, after a newer one, is ignored.
        self.followed_plans[zone] = max(self.followed_plans[zone], slot)

    def check_plan(self, plan: Plan, before: Plan | None) -> None:
        """Checks what must hold for every chosen plan. Raises InvariantError."""
        names = [row.zone for row in plan.zones]
        if all(row.state is State.CLOSED for row in plan.zones):
            raise InvariantError("a plan closes all zones")
        for row in plan.zones:
            if sum(row.shares) + row.rejected != 100 or min(*row.shares, row.rejected) < 0:
                raise InvariantError(
                    f"{row.zone}: shares {row.shares} and rejected {row.rejected} are negative or do not "
                    "add up to 100"
                )
            for other, share in zip(names, row.shares, strict=True):
                if share and plan.state(other) is State.CLOSED:
                    raise InvariantError(f"{other} is closed and gets {share} of {row.zone}")
                # Only an open zone takes other zones' traffic. Connections that it already has from them may
                # stay until their own zones have capacity again.
                if share and other != row.zone and plan.state(other) is not State.OPEN:
                    raise InvariantError(
                        f"{other} is {plan.state(other).name} and gets {share} of {row.zone}"
                    )
        for index, zone in enumerate(names):
            planned = sum(self.demand(row.zone) * row.shares[index] / 100 for row in plan.zones) / 60
            # A zone may keep all of its own traffic, but takes other zones' traffic only within the headroom.
            foreign = planned - self.demand(zone) / 60 * plan.zones[index].shares[index] / 100
            if foreign > 0.01 and planned > self.backends[zone] * (1 - HEADROOM) * 1.12:
                raise InvariantError(
                    f"{zone} is planned above capacity: {planned:.1f} of {self.backends[zone]:.0f} backends"
                )

    def run(self) -> Fleet:
        """Runs all faults, then waits until all relays follow one plan in which all zones are open.

        Raises InvariantError if an invariant is violated or that takes longer than AGREEMENT_TIMEOUT.
        """
        faults_end = max((fault.end for fault in self.faults), default=FIRST_FAULT_AT)
        self.simulation.run(faults_end)
        while True:
            self.simulation.run(self.simulation.now + SECOND)
            plan = self.plans.get(max(self.plans, default=0))
            all_open = plan is None or all(row.state is State.OPEN for row in plan.zones)
            if all_open and len(set(self.followed_plans.values())) == 1:
                break
            if self.simulation.now > faults_end + AGREEMENT_TIMEOUT:
                raise InvariantError(
                    f"{AGREEMENT_TIMEOUT // SECOND} s after the last fault relays follow "
                    f"{self.followed_plans}, {plan and plan.reason}"
                )
        self.agreement_time = (self.simulation.now - faults_end) / SECOND
        return self


def draw_faults(zones: int, seed: int, kinds: Sequence[str] = FAULT_KINDS) -> tuple[Fault, ...]:
    """Draws one or two faults, each in a zone of its own; they depend on the arguments alone."""
    rng = random.Random(seed * 17 + 5)
    faults = []
    for zone in rng.sample(range(zones), rng.randint(1, min(2, zones - 2) if zones > 3 else 1)):
        kind = rng.choice(kinds)
        start = FIRST_FAULT_AT + rng.randrange(15 * SECOND)
        faults.append(
            Fault(
                kind,
                start,
                start + rng.randrange(3 * SECOND, 40 * SECOND),
                zone,
                rng.uniform(3, 8),
                rng.choice((2, 6, 20)) * SECOND,
            )
        )
    return tuple(faults)


def run_seed(
    zones: int, relays: int, voters: int, seed: int, planner_type: type[Planner] = Planner
) -> dict[str, Any]:
    """Simulates the zones of one seed and returns its figures.

    After a failure the result has, besides the seed, the violated invariant under `broken` and the faults
    under `history`.
    """
    faults = draw_faults(zones, seed)
    load = random.Random(seed).choice((0.3, 0.5, 0.6, 0.75))
    try:
        fleet = Fleet(zones, relays, voters, seed, faults, load, planner_type).run()
    except InvariantError as why:
        return {"seed": seed, "broken": str(why), "history": [str(fault) for fault in faults]}
    return {
        "seed": seed,
        "kinds": [fault.kind for fault in faults],
        "plans": len(fleet.plans),
        "agree_s": fleet.agreement_time,
        "decided_s": fleet.decision_time,
        "over": fleet.overload,
        "direction_changes": max(fleet.direction_changes.values()),
    }
