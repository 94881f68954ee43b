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
from cedarledge.model.peers import BrokenError
from cedarledge.model.votes import Register
from cedarledge.terms import MS, SECOND

KINDS = ("dead", "boxes_dead", "cut", "cut_one_way", "slow", "flaps", "liar", "voters_lost")
TICK, LOOKS = 100 * MS, 250 * MS
TROUBLE, LIFE = 10 * SECOND, 8.0
# Once the faults are over all follow one plan, in which every zone is open, within this. A zone that came
# and went is away for as long as its planner lets it at most.
AGREE = MAX_RETURN_DELAY + 60 * SECOND


class Trouble(NamedTuple):
    kind: str
    start: int
    end: int
    zone: int
    size: float = 4.0  # how many times slower
    period: int = 0


class Fleet:
    """`zones` zones of two regions, `relays` in each; the first `voters` relays, zone by zone, vote."""

    def __init__(
        self,
        zones: int,
        relays: int,
        voters: int,
        seed: int,
        troubles: Sequence[Trouble] = (),
        load: float = 0.5,
        planner: type[Planner] = Planner,
    ) -> None:
        self.chance = random.Random(seed * 53 + 11)
        self.register = Register(voters, seed)
        self.world = self.register.world
        self.names = [f"z{number}" for number in range(zones)]
        self.regions = {name: f"r{number * 2 // zones}" for number, name in enumerate(self.names)}
        self.relays = relays
        self.boxes = {name: float(self.chance.randint(6, 12)) for name in self.names}
        self.load = load
        self.troubles = troubles
        self.planners = [planner(self.regions) for _ in range(voters)]
        # Tunnels by whose clients they are and where they stand.
        self.tunnels = {(one, other): 0.0 for one in self.names for other in self.names}
        for name in self.names:
            self.tunnels[name, name] = 60 * self.boxes[name] * load
        self.plans: dict[int, Plan] = {}
        self.follows = dict.fromkeys(self.names, 0)  # the number of the plan that a zone's relays follow
        self.history: list[tuple[float, int, str]] = []
        self.refused = self.over = self.crossing = 0.0
        self.directions = dict.fromkeys(self.names, 0)
        self.decided: float | None = None
        self.told = self._tell()
        self.register.held = self._held  # type: ignore[method-assign]
        self.register.agrees = self._agrees  # type: ignore[method-assign]
        self.world.after(TICK, self._tick)
        for voter in range(voters):
            self.world.after(LOOKS + voter * 40 * MS, self._look, voter)
        for trouble in troubles:
            if trouble.kind == "voters_lost":
                for voter in range(voters // 2 + 1):
                    self.world.at(trouble.start, self.register.end, voter, False)
                    self.world.at(trouble.end, self._voter_back, voter)

    # -- troubles ----------------------------------------------------------------------------------

    def _on(self, kind: str, zone: str) -> Trouble | None:
        now = self.world.now
        for trouble in self.troubles:
            if (
                trouble.kind == kind
                and self.names[trouble.zone] == zone
                and trouble.start <= now < trouble.end
            ):
                return trouble
        return None

    def dead(self, zone: str) -> bool:
        flaps = self._on("flaps", zone)
        if flaps is not None and (self.world.now - flaps.start) % flaps.period < flaps.period // 2:
            return True
        return self._on("dead", zone) is not None or self._on("boxes_dead", zone) is not None

    def able(self, zone: str) -> float:
        slow = self._on("slow", zone)
        return self.boxes[zone] / (slow.size if slow is not None else 1.0)

    def reaches(self, one: str, other: str) -> bool:
        """Whether relays in one zone get setups through to boxes in another."""
        if self.dead(other):
            return False
        if one == other:
            return True
        cut = self._on("cut", one) or self._on("cut", other) or self._on("cut_one_way", one)
        return cut is None

    def speaks(self, one: str, other: str) -> bool:
        """Whether what relays of one zone tell comes to those of the other."""
        if self._on("dead", one) or self._on("dead", other):
            return False
        cut = self._on("cut", one) or self._on("cut", other) or self._on("cut_one_way", one)
        return one == other or cut is None

    def _voter_back(self, voter: int) -> None:
        self.register.start(voter)
        self.planners[voter] = type(self.planners[voter])(self.regions)

    # -- what goes on ------------------------------------------------------------------------------

    def share(self, zone: str) -> dict[str, float]:
        """Where newcomers of this zone go, by the plan that its relays follow and what they see."""
        failing = [other for other in self.names if not self.reaches(zone, other)]
        plan = self.plans.get(self.follows[zone])
        if plan is not None:
            shares = routing_weights(plan, zone, failing)
            if shares:
                return shares
        # As each relay alone today: the own zone, else all that it reaches.
        if zone not in failing:
            return {zone: 1.0}
        open_to = [other for other in self.names if other not in failing]
        total = sum(self.boxes[other] for other in open_to)
        return {other: self.boxes[other] / total for other in open_to}

    def asked(self, zone: str) -> float:
        """Tunnels that clients want through this zone's relays. Those of a zone whose relays are dead come to
        the others."""
        there = [other for other in self.names if self._on("dead", other) is None]
        if zone not in there:
            return 0.0
        lost = sum(60 * self.boxes[other] * self.load for other in self.names if other not in there)
        return 60 * self.boxes[zone] * self.load + lost / len(there)

    def _tick(self) -> None:
        self.world.after(TICK, self._tick)
        part = TICK / SECOND / LIFE
        loads = {zone: self.load_of(zone) for zone in self.names}
        for zone in self.names:
            whole = self.asked(zone)
            there = 0.0
            for other in self.names:
                key = zone, other
                self.tunnels[key] = 0.0 if self.dead(other) else self.tunnels[key] * (1 - part)
                there += self.tunnels[key]
            for other, share in self.share(zone).items():
                self.tunnels[zone, other] += max(0.0, whole - there) * share
            if self.world.now >= TROUBLE:
                self.over += max(0.0, loads[zone] - 1.0) * self.boxes[zone] * TICK / SECOND
        if self.world.now % SECOND == 0:
            self.told = self._tell()

    def load_of(self, zone: str) -> float:
        return sum(self.tunnels[one, zone] for one in self.names) / 60 / self.able(zone)

    def _tell(self) -> dict[str, list[RelayReport]]:
        """What relays of each zone say, from now on for a second."""
        told: dict[str, list[RelayReport]] = {}
        for zone in self.names:
            told[zone] = []
            for number in range(self.relays):
                liar = self._on("liar", zone) if number == 0 else None
                sights = {}
                for other in self.names:
                    reach = self.reaches(zone, other)
                    load = self.load_of(other) * (0.95 + 0.1 * self.chance.random())
                    if liar is not None:
                        load, reach = 9.9, False
                    sights[other] = ZoneObservation(
                        int(self.boxes[other]) if reach else 0,
                        load if reach else 0.0,
                        0.0 if reach else 1.0,
                        round(self.tunnels[zone, other] / self.relays),
                        SECOND,
                    )
                total = sum(self.tunnels[zone, other] for other in self.names)
                told[zone].append(RelayReport(zone, round(total / self.relays), sights))
        return told

    def zone_of(self, voter: int) -> str:
        return self.names[voter % len(self.names)]

    def _tellers(self, voter: int) -> list[RelayReport]:
        zone = self.zone_of(voter)
        return [teller for other in self.names if self.speaks(other, zone) for teller in self.told[other]]

    def _agrees(self, voter: int, value: bytes) -> bool:
        plan = msgspec.msgpack.decode(value, type=Plan)
        return self.planners[voter].approves(self.world.now, plan, self._tellers(voter))

    def _look(self, voter: int) -> None:
        self.world.after(LOOKS, self._look, voter)
        seat, zone = self.register.places[voter], self.zone_of(voter)
        if seat.machine is None or self._on("dead", zone):
            return
        plan = self.planners[voter].propose_change(self.world.now, self._tellers(voter))
        if plan is None:
            # What was seen a while ago must not be taken once a cut heals.
            seat.voter.withdraw()
        else:
            seat.voter.propose(msgspec.msgpack.encode(plan))

    def _held(self, voter: int, number: int, value: bytes) -> None:
        Register.held(self.register, voter, number, value)
        plan = msgspec.msgpack.decode(value, type=Plan)
        before = self.plans.get(max((known for known in self.plans if known < number), default=0))
        if number not in self.plans:
            self.plans[number] = plan
            self.check(plan, before)
            self.history.append((self.world.now / SECOND, number, plan.reason))
            for row in plan.zones:
                was = before.state(row.zone) if before is not None else State.OPEN
                self.directions[row.zone] += (was in (State.CLOSED, State.LIMITED)) != (
                    row.state in (State.CLOSED, State.LIMITED)
                )
                if self.decided is None and row.state is not State.OPEN:
                    self.decided = (self.world.now - min(row.start for row in self.troubles)) / SECOND
        self.planners[voter].adopt(self.world.now, plan)
        for zone in self.names:
            if self.speaks(self.zone_of(voter), zone):
                self.world.after(self.chance.randrange(300 * MS), self._hears, zone, number)

    def _hears(self, zone: str, number: int) -> None:
        # A delayed old one that comes after a newer one changes nothing.
        self.follows[zone] = max(self.follows[zone], number)

    def check(self, plan: Plan, before: Plan | None) -> None:
        """What must hold of every plan. Raises BrokenError."""
        names = [row.zone for row in plan.zones]
        if all(row.state is State.CLOSED for row in plan.zones):
            raise BrokenError("a plan closes all")
        for row in plan.zones:
            if sum(row.shares) + row.rejected != 100 or min(*row.shares, row.rejected) < 0:
                raise BrokenError(f"{row.zone}: {row.shares} and {row.rejected} are no whole")
            for other, share in zip(names, row.shares, strict=True):
                if share and plan.state(other) is State.CLOSED:
                    raise BrokenError(f"{other} is closed and has {share} of {row.zone}")
                # What it had of others before may stand until their own have room again.
                if share and other != row.zone and plan.state(other) is not State.OPEN:
                    raise BrokenError(f"{other} is {plan.state(other).name} and has {share} of {row.zone}")
        for place, zone in enumerate(names):
            asked = sum(self.asked(row.zone) * row.shares[place] / 100 for row in plan.zones) / 60
            # Of its own it may have all that stays with it; of others' no more than leaves the headroom.
            foreign = asked - self.asked(zone) / 60 * plan.zones[place].shares[place] / 100
            if foreign > 0.01 and asked > self.boxes[zone] * (1 - HEADROOM) * 1.12:
                raise BrokenError(
                    f"{zone} is planned over its room: {asked:.1f} of {self.boxes[zone]:.0f} boxes"
                )

    def run(self) -> Fleet:
        """Raises BrokenError."""
        over = max((trouble.end for trouble in self.troubles), default=TROUBLE)
        self.world.run(over)
        while True:
            self.world.run(self.world.now + SECOND)
            plan = self.plans.get(max(self.plans, default=0))
            settled = plan is None or all(row.state is State.OPEN for row in plan.zones)
            if settled and len(set(self.follows.values())) == 1:
                break
            if self.world.now > over + AGREE:
                raise BrokenError(
                    f"{AGREE // SECOND} s after the last fault {self.follows}, {plan and plan.reason}"
                )
        self.agreed = (self.world.now - over) / SECOND
        return self


def draw(zones: int, seed: int, kinds: Sequence[str] = KINDS) -> tuple[Trouble, ...]:
    """One or two, by seed alone; never of one zone at once."""
    chance = random.Random(seed * 17 + 5)
    troubles = []
    for zone in chance.sample(range(zones), chance.randint(1, min(2, zones - 2) if zones > 3 else 1)):
        kind = chance.choice(kinds)
        start = TROUBLE + chance.randrange(15 * SECOND)
        troubles.append(
            Trouble(
                kind,
                start,
                start + chance.randrange(3 * SECOND, 40 * SECOND),
                zone,
                chance.uniform(3, 8),
                chance.choice((2, 6, 20)) * SECOND,
            )
        )
    return tuple(troubles)


def play(zones: int, relays: int, voters: int, seed: int, planner: type[Planner] = Planner) -> dict[str, Any]:
    troubles = draw(zones, seed)
    load = random.Random(seed).choice((0.3, 0.5, 0.6, 0.75))
    try:
        fleet = Fleet(zones, relays, voters, seed, troubles, load, planner).run()
    except BrokenError as why:
        return {"seed": seed, "broken": str(why), "history": [str(trouble) for trouble in troubles]}
    return {
        "seed": seed,
        "kinds": [trouble.kind for trouble in troubles],
        "plans": len(fleet.plans),
        "agree_s": fleet.agreed,
        "decided_s": fleet.decided,
        "over": fleet.over,
        "direction_changes": max(fleet.directions.values()),
    }
