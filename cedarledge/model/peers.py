"""Fleets of peers in virtual time: troubles drawn by seed, what must hold at every step and at the end,
figures."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from cedarledge.model.world import WHOLE, Lane, Seat, World
from cedarledge.peers.machine import SILENCE_DURATION, Member, Membership, ProbeTiming
from cedarledge.peers.messages import MAX_DATAGRAM_BYTES, State, decode, is_newer
from cedarledge.terms import MS, SECOND

FAULTS = (
    "kill",
    "restart",
    "stop",
    "halves",
    "one_way",
    "deaf",
    "loss",
    "slow",
    "all_anew",
    "moved",
    "doubled",
    "churn",
)
START, TROUBLE = SECOND, 15 * SECOND
# Once the faults are over all views agree within this, and a little for each member.
AGREE, AGREE_EACH = 45 * SECOND, 150 * MS
# Past this many members what holds at every step is looked at in every so many steps: it costs members each
# time.
SMALL, NOW_AND_THEN = 32, 200
# From here on members know each other from the start.
LARGE = 128


class BrokenError(Exception):
    """Something that must hold does not."""


class Trouble(NamedTuple):
    """One fault: what, from when to when in ns, and whom it is about, as places in the fleet."""

    kind: str
    start: int
    end: int
    who: tuple[int, ...]

    def __str__(self) -> str:
        span = f"from {self.start / SECOND:.1f} s to {self.end / SECOND:.1f} s"
        return f"{self.kind} {span} about {list(self.who)}"


class Place(Seat):
    """A seat whose machine is a Membership, and what was seen of it."""

    def __init__(self, world: World, fleet: Fleet, number: int, address: str, name: str) -> None:
        super().__init__(world, address)
        self.fleet = fleet
        self.number = number
        self.name = name
        self.seen: dict[str, tuple[Member, int, int, int]] = {}

    @property
    def peers(self) -> Membership | None:
        return self.machine  # type: ignore[return-value]

    def begin(self, incarnation: int = 0) -> None:
        world = self.world
        self.seen = {}
        self.ahead = world.chance.randrange(10 * SECOND)
        seeds = self.fleet.seeds()
        self.machine = Membership(
            self,
            "model",
            self.name,
            self.address,
            seeds,
            ProbeTiming(),
            world.chance.getrandbits(60),
            incarnation,
        )
        self.machine.start(self.now)
        self.machine.set_metadata(
            self.now, zone=f"zone-{self.number % 3 + 1}", version="0", tunnels=self.number
        )

    def changed(self, name: str, before: State | None, after: State | None, why: str) -> None:
        self.fleet.changed(self, name, before, after, why)

    def name_conflict(self, address: str) -> None:
        self.fleet.note(f"{self.name} at {self.address} keeps silent for {address}")


class Fleet:
    """One world of peers, with its troubles."""

    def __init__(
        self,
        size: int,
        seed: int,
        troubles: Sequence[Trouble] = (),
        lane: Lane = WHOLE,
        incarnation: int = 0,
        history: bool = False,
        settled: bool = False,
    ) -> None:
        """`settled`: all know each other from the start, which takes long to play in a large fleet."""
        self.size = size
        self.seed = seed
        self.world = World(seed, lane)
        self.chance = random.Random(seed * 31 + 7)
        self.history: list[str] | None = [] if history else None
        self.incarnation = incarnation
        self.places: list[Place] = []
        self.killed: dict[str, int] = {}  # names of those that are down, and since when
        self.first_seen: dict[str, int] = {}
        self.detected: list[int] = []  # first time that anybody held a killed one dead, after the kill
        self.all_seen: list[int] = []  # until the last live one did
        self.false_suspicions = self.false_deaths = 0
        self.troubled = False
        self.agreed: int | None = None
        self.troubles = tuple(troubles)
        self._looks = 0
        self.world.acted = self.check  # type: ignore[assignment]
        if history:
            self.world.reads = self.read  # type: ignore[assignment]
        for number in range(size):
            self._add(number, f"relay-{number}")
            if not settled:
                self.world.at(self.chance.randrange(START), self.places[number].begin, incarnation)
        if settled:
            self._acquaint()
        for trouble in troubles:
            self.world.at(trouble.start, getattr(self, "_" + trouble.kind), trouble)

    def _acquaint(self) -> None:
        for place in self.places:
            place.begin(self.incarnation)
        rows = [place.peers.own_update() for place in self.places]
        for place in self.places:
            for news in rows:
                if news.name != place.name:
                    place.peers._apply_update(news)
            place.peers._broadcasts.clear()

    def address(self, number: int) -> str:
        return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000"

    def _add(self, number: int, name: str) -> Place:
        place = Place(self.world, self, number, self.address(number), name)
        self.world.seats[place.address] = place
        self.places.append(place)
        return place

    def seeds(self) -> tuple[str, ...]:
        """What the operators' file names: the first three, and one that lives where all those have ended."""
        first = tuple(place.address for place in self.places[:3])
        return first + tuple(place.address for place in self.living()[-1:] if place.address not in first)

    def note(self, text: str) -> None:
        if self.history is not None:
            self.history.append(f"{self.world.now / SECOND:9.3f} {text}")

    def read(self, seat: Place, data: bytes) -> None:
        message = decode(data)
        told = ", ".join(
            f"{news.name}:{news.state.name.lower()}@{news.incarnation}" for news in message.updates
        )
        self.note(f"{seat.name} reads {message.kind.name} of {message.name}@{message.incarnation} [{told}]")

    # -- troubles ----------------------------------------------------------------------------------

    def _kill(self, trouble: Trouble) -> None:
        for number in trouble.who:
            place = self.places[number]
            self.note(f"{place.name} is killed")
            place.end()
            self.killed[place.name] = self.world.now
            self.first_seen.pop(place.name, None)

    def _start(self, number: int) -> None:
        place = self.places[number]
        # It may have come back elsewhere by now; two of one name are a trouble of their own.
        if not self._lives(place.name):
            self.note(f"{place.name} starts")
            self.killed.pop(place.name, None)
            place.begin(self.incarnation)

    def _restart(self, trouble: Trouble) -> None:
        """Faster than it could be suspected, a few times."""
        for turn in range(3):
            self.world.after(turn * (trouble.end - trouble.start) // 3, self._kill, trouble)
            for number in trouble.who:
                self.world.after(turn * (trouble.end - trouble.start) // 3 + 150 * MS, self._start, number)

    def _stop(self, trouble: Trouble) -> None:
        for number in trouble.who:
            self.places[number].stop()
            self.world.at(trouble.end, self.places[number].go_on)

    def _lanes(self, trouble: Trouble, pairs: Iterable[tuple[int, int]], lane: Lane) -> None:
        for source, target in pairs:
            key = self.address(source), self.address(target)
            self.world.set_lane(*key, lane)
            self.world.at(trouble.end, self.world.set_lane, *key, None)

    def _every(self) -> Iterable[tuple[int, int]]:
        return ((one, other) for one in range(self.size) for other in range(self.size) if one != other)

    def _halves(self, trouble: Trouble) -> None:
        inside = set(trouble.who)
        self._lanes(
            trouble,
            ((one, other) for one, other in self._every() if (one in inside) != (other in inside)),
            Lane(cut=True),
        )

    def _one_way(self, trouble: Trouble) -> None:
        inside = set(trouble.who)
        self._lanes(
            trouble,
            ((one, other) for one, other in self._every() if one in inside and other not in inside),
            Lane(cut=True),
        )

    def _deaf(self, trouble: Trouble) -> None:
        self._lanes(
            trouble, ((one, other) for one, other in self._every() if other in trouble.who), Lane(cut=True)
        )

    def _loss(self, trouble: Trouble) -> None:
        self._lanes(trouble, self._every(), Lane(loss=0.3, twice=0.05))

    def _slow(self, trouble: Trouble) -> None:
        self._lanes(trouble, self._every(), Lane(delay=200 * MS, jitter=20 * MS, reorder=0.1, held=200 * MS))

    def _all_anew(self, trouble: Trouble) -> None:
        everybody = trouble._replace(who=tuple(range(self.size)))
        self._kill(everybody)
        for number in everybody.who:
            self.world.after(self.chance.randrange(SECOND), self._start, number)

    def _moved(self, trouble: Trouble) -> None:
        """The name comes back at another address."""
        self._kill(trouble)
        for number in trouble.who:
            self.world.after(trouble.end - trouble.start, self._elsewhere, self.places[number].name)

    def _elsewhere(self, name: str) -> None:
        if not self._lives(name):
            self._anew(name)

    def _lives(self, name: str) -> bool:
        return any(place.name == name for place in self.living())

    def _anew(self, name: str) -> Place:
        place = self._add(len(self.places), name)
        self.killed.pop(name, None)
        place.begin(self.incarnation)
        return place

    def _doubled(self, trouble: Trouble) -> None:
        for number in trouble.who:
            if self.places[number].machine is not None:
                self.world.at(trouble.end, self._end_double, self._anew(self.places[number].name))

    def _end_double(self, place: Place) -> None:
        place.end()
        if not self._lives(place.name):
            self.killed[place.name] = self.world.now

    def _churn(self, trouble: Trouble) -> None:
        """A twentieth of the fleet a minute ends and is replaced by others."""
        every = 60 * SECOND * 20 // self.size
        for turn in range(max(1, (trouble.end - trouble.start) // every)):
            self.world.after(turn * every, self._replace_one)

    def _replace_one(self) -> None:
        living = [place for place in self.places if place.machine is not None]
        if len(living) > 2:
            self._kill(Trouble("kill", 0, 0, (self.chance.choice(living).number,)))
            self._anew(f"relay-{len(self.places)}")

    # -- what is seen ------------------------------------------------------------------------------

    def living(self) -> list[Place]:
        return [place for place in self.places if place.machine is not None]

    def changed(self, place: Place, name: str, before: State | None, after: State | None, why: str) -> None:
        self.note(
            f"{place.name} holds {name} {after.name.lower() if after is not None else 'forgotten'} ({why})"
        )
        if after is State.DEAD and name in self.killed:
            if name not in self.first_seen:
                self.first_seen[name] = self.world.now
                self.detected.append(self.world.now - self.killed[name])
            self.world.after(0, self._all_know, name)
        elif name not in self.killed:
            # Once for each accuser, not for everybody who hears of it.
            self.false_suspicions += after is State.SUSPECT and why == f"by {place.name}"
            self.false_deaths += after is State.DEAD

    def _all_know(self, name: str) -> None:
        since = self.killed.get(name)
        for place in self.living():
            member = place.peers.members.get(name)
            if since is None or (member is not None and member.state < State.DEAD):
                return
        if self.first_seen.get(name, -1) >= 0:
            self.first_seen[name] = -1
            self.all_seen.append(self.world.now - since)

    def check(self, place: Place) -> None:
        """What holds at every step. Raises BrokenError."""
        self._looks += 1
        if place.largest > MAX_DATAGRAM_BYTES:
            raise BrokenError(f"{place.name} sent {place.largest} bytes")
        if self.size > SMALL and self._looks % NOW_AND_THEN:
            return
        peers = place.peers
        if peers is None:
            return
        if place.name in peers.members:
            raise BrokenError(f"{place.name} is a member of its own view")
        for name, member in peers.members.items():
            now = (member, member.incarnation, member.instance_id, int(member.state))
            seen = place.seen.get(name)
            place.seen[name] = now
            if seen is None or seen[0] is not member or seen[1:] == now[1:]:
                continue
            if is_newer(seen[1], now[1]) or (seen[1] == now[1] and seen[2:] > now[2:]):
                raise BrokenError(f"{place.name}: {name} went back from {seen[1:]} to {now[1:]}")

    def disagreement(self) -> str:
        """What keeps the live ones' views from being one and true; empty where nothing does."""
        living = self.living()
        names = {place.name for place in living}
        for place in living:
            peers = place.peers
            if peers.silent:
                return f"{place.name} is silent"
            there = {member.name for member in peers.members.values() if member.state is State.ALIVE}
            if there != names - {place.name}:
                return (
                    f"{place.name} at {place.address} misses {sorted(names - there - {place.name})[:5]}, "
                    f"holds {sorted(there - names)[:5]} alive that are not there"
                )
        if len({place.peers.digest() for place in living}) > 1:
            return "live relays' views differ"
        return ""

    def run(self) -> Fleet:
        """Plays all, then waits for agreement. Raises BrokenError."""
        over = max((trouble.end for trouble in self.troubles), default=TROUBLE)
        self.world.run(over)
        within = AGREE + AGREE_EACH * self.size
        if any(trouble.kind == "doubled" for trouble in self.troubles):
            within += 2 * SILENCE_DURATION
        while self.disagreement():
            if self.world.now >= over + within:
                raise BrokenError(f"{within / SECOND:.0f} s after the last fault: {self.disagreement()}")
            self.world.run(self.world.now + 250 * MS)
        self.agreed = self.world.now - over
        # A view that is right must stay so.
        deaths = self.false_deaths
        self.world.run(self.world.now + 10 * SECOND)
        if self.false_deaths > deaths:
            raise BrokenError("after agreement a live one was held dead")
        return self

    def bytes_per_s(self) -> float:
        """Sent by one relay, the mean over the run."""
        return sum(place.sent_bytes for place in self.places) / len(self.places) / (self.world.now / SECOND)


def draw(size: int, seed: int, kinds: Sequence[str] = FAULTS) -> tuple[Trouble, ...]:
    """One to three troubles for a fleet, by seed alone."""
    chance = random.Random(seed * 1009 + 3)
    troubles = []
    start = TROUBLE
    for _ in range(chance.randint(1, 3)):
        kind = chance.choice(kinds)
        length = chance.randrange(1 * SECOND, 25 * SECOND)
        if kind == "stop":
            length = chance.choice((2, 10, 30)) * SECOND
        many = {"halves": size // 2, "one_way": max(1, size // 3), "kill": max(1, size // 5)}.get(kind, 1)
        who = tuple(sorted(chance.sample(range(size), min(size - 1, many))))
        troubles.append(Trouble(kind, start, start + length, who))
        # The next may come in the middle of this one, or long after.
        start += chance.choice((0, length // 2, length + 20 * SECOND))
    return tuple(troubles)


def play(size: int, seed: int, kinds: Sequence[str] = FAULTS) -> dict[str, Any]:
    """One seed: its figures, or under `broken` what did not hold, and the shortest history that was found."""
    troubles = draw(size, seed, kinds)
    try:
        fleet = Fleet(size, seed, troubles, settled=size >= LARGE).run()
    except BrokenError as why:
        return {"seed": seed, "broken": str(why), "history": shortest(size, seed, troubles)}
    return {
        "seed": seed,
        "agree_s": fleet.agreed / SECOND,
        "detect_s": [span / SECOND for span in fleet.detected],
        "all_know_s": [span / SECOND for span in fleet.all_seen],
        "false_suspicions": fleet.false_suspicions,
        "false_deaths": fleet.false_deaths,
        "bytes_per_s": fleet.bytes_per_s(),
        "steps": fleet.world.steps,
        "faults": [trouble.kind for trouble in troubles],
    }


def shortest(size: int, seed: int, troubles: tuple[Trouble, ...]) -> list[str]:
    """The troubles cut down for as long as the run stays broken, and the end of what happened then."""

    def broken(kept: tuple[Trouble, ...], count: int) -> Fleet | None:
        fleet = Fleet(count, seed, kept, history=True, settled=count >= LARGE)
        try:
            fleet.run()
        except BrokenError as why:
            fleet.note(f"BROKEN: {why}")
            return fleet
        return None

    best = broken(troubles, size)
    again = True
    while again:
        again = False
        fewer = [troubles[:place] + troubles[place + 1 :] for place in range(len(troubles))]
        shorter = [tuple(row._replace(end=row.start + (row.end - row.start) // 2) for row in troubles)]
        for kept in fewer + shorter:
            if min((row.end - row.start for row in kept), default=SECOND) < 100 * MS:
                continue
            found = broken(kept, size)
            if found is not None:
                best, troubles, again = found, kept, True
                break
    return [*map(str, troubles), *(best.history[-60:] if best is not None else ())]
