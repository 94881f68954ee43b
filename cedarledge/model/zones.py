"""Zones, their traffic and the relays that follow plans, in virtual time, with the voters that take them.

Boxes, clients and relays are numbers here: what a zone can do, how many tunnels of whose clients it holds,
and what relays tell of it, a little late and a little wrong. Voters and planners are the machines themselves.
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
TICK, PLAN_INTERVAL = 100 * MS, 250 * MS
FIRST_FAULT_AT, CONNECTION_LIFETIME_S = 10 * SECOND, 8.0
# Once the faults are over all follow one plan, in which every zone is open, within this. A zone that came
# and went is away for as long as its planner lets it at most.
AGREEMENT_TIMEOUT = MAX_RETURN_DELAY + 60 * SECOND


class Fault(NamedTuple):
    kind: str
    start: int
    end: int
    zone: int
    slowdown: float = 4.0  # how many times slower
    period: int = 0


class Fleet:
    """`zones` zones of two regions, `relays` in each; the first `voters` relays, zone by zone, vote."""

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
        # Tunnels by whose clients they are and where they stand.
        self.connections = {(one, other): 0.0 for one in self.names for other in self.names}
        for name in self.names:
            self.connections[name, name] = 60 * self.backends[name] * load
        self.plans: dict[int, Plan] = {}
        self.followed_plans = dict.fromkeys(
            self.names, 0
        )  # the number of the plan that a zone's relays follow
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

    # -- troubles ----------------------------------------------------------------------------------

    def _active_fault(self, kind: str, zone: str) -> Fault | None:
        now = self.simulation.now
        for fault in self.faults:
            if fault.kind == kind and self.names[fault.zone] == zone and fault.start <= now < fault.end:
                return fault
        return None

    def is_dead(self, zone: str) -> bool:
        flaps = self._active_fault("flaps", zone)
        if flaps is not None and (self.simulation.now - flaps.start) % flaps.period < flaps.period // 2:
            return True
        return (
            self._active_fault("dead", zone) is not None or self._active_fault("boxes_dead", zone) is not None
        )

    def capacity(self, zone: str) -> float:
        slow = self._active_fault("slow", zone)
        return self.backends[zone] / (slow.slowdown if slow is not None else 1.0)

    def can_reach(self, one: str, other: str) -> bool:
        """Whether relays in one zone get setups through to boxes in another."""
        if self.is_dead(other):
            return False
        if one == other:
            return True
        cut = (
            self._active_fault("cut", one)
            or self._active_fault("cut", other)
            or self._active_fault("cut_one_way", one)
        )
        return cut is None

    def reports_reach(self, one: str, other: str) -> bool:
        """Whether what relays of one zone tell comes to those of the other."""
        if self._active_fault("dead", one) or self._active_fault("dead", other):
            return False
        cut = (
            self._active_fault("cut", one)
            or self._active_fault("cut", other)
            or self._active_fault("cut_one_way", one)
        )
        return one == other or cut is None

    def _restart_voter(self, voter: int) -> None:
        self.cluster.start(voter)
        self.planners[voter] = type(self.planners[voter])(self.regions)

    # -- what goes on ------------------------------------------------------------------------------

    def traffic_shares(self, zone: str) -> dict[str, float]:
        """Where newcomers of this zone go, by the plan that its relays follow and what they see."""
        failing = [other for other in self.names if not self.can_reach(zone, other)]
        plan = self.plans.get(self.followed_plans[zone])
        if plan is not None:
            shares = routing_weights(plan, zone, failing)
            if shares:
                return shares
        # As each relay alone today: the own zone, else all that it reaches.
        if zone not in failing:
            return {zone: 1.0}
        open_to = [other for other in self.names if other not in failing]
        total = sum(self.backends[other] for other in open_to)
        return {other: self.backends[other] / total for other in open_to}

    def demand(self, zone: str) -> float:
        """Tunnels that clients want through this zone's relays. Those of a zone whose relays are dead come to
        the others."""
        there = [other for other in self.names if self._active_fault("dead", other) is None]
        if zone not in there:
            return 0.0
        lost = sum(60 * self.backends[other] * self.load for other in self.names if other not in there)
        return 60 * self.backends[zone] * self.load + lost / len(there)

    def _tick(self) -> None:
        self.simulation.call_later(TICK, self._tick)
        part = TICK / SECOND / CONNECTION_LIFETIME_S
        loads = {zone: self.load_of(zone) for zone in self.names}
        for zone in self.names:
            whole = self.demand(zone)
            there = 0.0
            for other in self.names:
                key = zone, other
                self.connections[key] = 0.0 if self.is_dead(other) else self.connections[key] * (1 - part)
                there += self.connections[key]
            for other, share in self.traffic_shares(zone).items():
                self.connections[zone, other] += max(0.0, whole - there) * share
            if self.simulation.now >= FIRST_FAULT_AT:
                self.overload += max(0.0, loads[zone] - 1.0) * self.backends[zone] * TICK / SECOND
        if self.simulation.now % SECOND == 0:
            self.reports = self._make_reports()

    def load_of(self, zone: str) -> float:
        return sum(self.connections[one, zone] for one in self.names) / 60 / self.capacity(zone)

    def _make_reports(self) -> dict[str, list[RelayReport]]:
        """What relays of each zone say, from now on for a second."""
        reports: dict[str, list[RelayReport]] = {}
        for zone in self.names:
            reports[zone] = []
            for index in range(self.relays):
                liar = self._active_fault("liar", zone) if index == 0 else None
                sights = {}
                for other in self.names:
                    reach = self.can_reach(zone, other)
                    load = self.load_of(other) * (0.95 + 0.1 * self.rng.random())
                    if liar is not None:
                        load, reach = 9.9, False
                    sights[other] = ZoneObservation(
                        int(self.backends[other]) if reach else 0,
                        load if reach else 0.0,
                        0.0 if reach else 1.0,
                        round(self.connections[zone, other] / self.relays),
                        SECOND,
                    )
                total = sum(self.connections[zone, other] for other in self.names)
                reports[zone].append(RelayReport(zone, round(total / self.relays), sights))
        return reports

    def zone_of(self, voter: int) -> str:
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
            # What was seen a while ago must not be taken once a cut heals.
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
                was = before.state(row.zone) if before is not None else State.OPEN
                self.direction_changes[row.zone] += (was in (State.CLOSED, State.LIMITED)) != (
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
        # A delayed old one that comes after a newer one changes nothing.
        self.followed_plans[zone] = max(self.followed_plans[zone], slot)

    def check_plan(self, plan: Plan, before: Plan | None) -> None:
        """What must hold of every plan. Raises BrokenError."""
        names = [row.zone for row in plan.zones]
        if all(row.state is State.CLOSED for row in plan.zones):
            raise InvariantError("a plan closes all")
        for row in plan.zones:
            if sum(row.shares) + row.rejected != 100 or min(*row.shares, row.rejected) < 0:
                raise InvariantError(f"{row.zone}: {row.shares} and {row.rejected} are no whole")
            for other, share in zip(names, row.shares, strict=True):
                if share and plan.state(other) is State.CLOSED:
                    raise InvariantError(f"{other} is closed and has {share} of {row.zone}")
                # What it had of others before may stand until their own have room again.
                if share and other != row.zone and plan.state(other) is not State.OPEN:
                    raise InvariantError(f"{other} is {plan.state(other).name} and has {share} of {row.zone}")
        for place, zone in enumerate(names):
            planned = sum(self.demand(row.zone) * row.shares[place] / 100 for row in plan.zones) / 60
            # Of its own it may have all that stays with it; of others' no more than leaves the headroom.
            foreign = planned - self.demand(zone) / 60 * plan.zones[place].shares[place] / 100
            if foreign > 0.01 and planned > self.backends[zone] * (1 - HEADROOM) * 1.12:
                raise InvariantError(
                    f"{zone} is planned over its room: {planned:.1f} of {self.backends[zone]:.0f} boxes"
                )

    def run(self) -> Fleet:
        """Raises BrokenError."""
        over = max((fault.end for fault in self.faults), default=FIRST_FAULT_AT)
        self.simulation.run(over)
        while True:
            self.simulation.run(self.simulation.now + SECOND)
            plan = self.plans.get(max(self.plans, default=0))
            settled = plan is None or all(row.state is State.OPEN for row in plan.zones)
            if settled and len(set(self.followed_plans.values())) == 1:
                break
            if self.simulation.now > over + AGREEMENT_TIMEOUT:
                raise InvariantError(
                    f"{AGREEMENT_TIMEOUT // SECOND} s after the last fault {self.followed_plans}, "
                    f"{plan and plan.reason}"
                )
        self.agreement_time = (self.simulation.now - over) / SECOND
        return self


def draw_faults(zones: int, seed: int, kinds: Sequence[str] = FAULT_KINDS) -> tuple[Fault, ...]:
    """One or two, by seed alone; never of one zone at once."""
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
