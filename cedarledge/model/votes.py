"""Voters in virtual time: random troubles, and every order of a few messages between three of them."""

from __future__ import annotations

import copy
import random
from typing import Any, NamedTuple

from cedarledge.failover.votes import Voter, decode
from cedarledge.model.peers import BrokenError
from cedarledge.model.world import Lane, Seat, World
from cedarledge.terms import MS, SECOND

# After the last fault a new value is held by all within this.
AGREE = 25 * SECOND
TROUBLED = 30 * SECOND
KINDS = ("cut", "loss", "slow", "stop", "crash", "forget", "forget_all", "flap")


class Place(Seat):
    """A voter's seat; its memory outlasts its process if `lasts`."""

    def __init__(self, world: World, register: Register, number: int) -> None:
        super().__init__(world, f"v{number}")
        self.register = register
        self.number = number
        self.memory: bytes | None = None

    def begin(self) -> None:
        # What relays that are no voters have heard outlasts all voters.
        heard = max(self.register.values, default=0)
        seed = self.world.chance.getrandbits(60)
        voter = self.register.kind(self, self.number, self.register.count, seed, self.memory, heard)
        self.machine = Bound(voter)
        voter.start()

    @property
    def voter(self) -> Voter:
        return self.machine.voter  # type: ignore[union-attr]

    # -- the machine's host ------------------------------------------------------------------------

    def send(self, place: int, data: bytes) -> None:  # type: ignore[override]
        super().send(f"v{place}", data)

    def persist(self, memory: bytes) -> None:
        self.memory = memory

    def approves(self, value: bytes) -> bool:
        return self.register.agrees(self.number, value)

    def chosen(self, number: int, value: bytes) -> None:
        self.register.held(self.number, number, value)


class Bound(NamedTuple):
    """A voter as the world calls it: it asks for no time."""

    voter: Voter

    def received(self, _now: int, data: bytes) -> None:
        self.voter.received(data)

    def timer_expired(self, _now: int, token: int) -> None:
        self.voter.timer_expired(token)


class Register:
    """All voters of one world, and what was ever held."""

    def __init__(self, count: int, seed: int, kind: type[Voter] = Voter) -> None:
        self.count = count
        self.kind = kind
        self.world = World(seed)
        self.chance = random.Random(seed * 77 + 1)
        self.values: dict[int, bytes] = {}
        self.latest: dict[int, int] = {}  # by place, of the life that runs
        self.proposed = 0
        self.places = [Place(self.world, self, number) for number in range(count)]
        for place in self.places:
            self.world.seats[place.address] = place
            place.begin()

    def held(self, place: int, number: int, value: bytes) -> None:
        if self.values.setdefault(number, value) != value:
            raise BrokenError(f"number {number} is {self.values[number]!r} and, at voter {place}, {value!r}")
        if number <= self.latest.get(place, 0):
            raise BrokenError(f"voter {place} went back from {self.latest[place]} to {number}")
        self.latest[place] = number

    def agrees(self, place: int, value: bytes) -> bool:
        return True

    def propose(self, place: int) -> None:
        self.proposed += 1
        seat = self.places[place]
        if seat.machine is not None and not seat.stopped:
            seat.voter.propose(b"plan %d" % self.proposed)

    def end(self, place: int, remembers: bool) -> None:
        seat = self.places[place]
        seat.end()
        self.latest.pop(place, None)
        if not remembers:
            seat.memory = None

    def start(self, place: int) -> None:
        if self.places[place].machine is None:
            self.places[place].begin()

    # -- troubles ----------------------------------------------------------------------------------

    def trouble(self) -> None:
        """One, drawn."""
        chance, world = self.chance, self.world
        kind = chance.choice(KINDS)
        length = chance.randrange(100 * MS, 6 * SECOND)
        one = chance.randrange(self.count)
        if kind in ("cut", "loss", "slow"):
            lane = {
                "cut": Lane(cut=True),
                "loss": Lane(loss=0.4, twice=0.2),
                "slow": Lane(delay=300 * MS, jitter=400 * MS, reorder=0.3, held=3 * SECOND, twice=0.1),
            }[kind]
            for other in range(self.count):
                for pair in ((one, other), (other, one)):
                    if kind != "cut" or chance.random() < 0.6:
                        key = f"v{pair[0]}", f"v{pair[1]}"
                        world.set_lane(*key, lane)
                        world.after(length, world.set_lane, *key, None)
        elif kind == "stop":
            self.places[one].stop()
            world.after(length, self.places[one].go_on)
        elif kind == "forget_all":
            for place in range(self.count):
                self.end(place, False)
                world.after(chance.randrange(SECOND), self.start, place)
        elif kind == "flap":
            # Twenty times in a minute is one each 3 s.
            for turn in range(4):
                world.after(turn * 3 * SECOND, self.end, one, chance.random() < 0.5)
                world.after(turn * 3 * SECOND + chance.randrange(SECOND), self.start, one)
        else:
            self.end(one, kind == "crash")
            world.after(length, self.start, one)

    def run(self) -> Register:
        """Raises BrokenError."""
        world, chance = self.world, self.chance
        while world.now < TROUBLED:
            world.run(world.now + chance.randrange(400 * MS))
            for place in range(self.count):
                if chance.random() < 0.15:
                    self.propose(place)
            if chance.random() < 0.1:
                self.trouble()
        # The longest trouble that was drawn ends by itself.
        world.run(TROUBLED + 14 * SECOND)
        for place in range(self.count):
            self.start(place)
        over = world.now
        self.propose(0)
        while len({(seat.voter.chosen_slot, seat.voter.chosen_value) for seat in self.places}) > 1 or (
            self.places[0].voter._requested is not None
        ):
            if world.now > over + AGREE:
                told = [(seat.voter.chosen_slot, seat.voter.floor) for seat in self.places]
                raise BrokenError(f"{AGREE // SECOND} s after the last fault voters hold {told}")
            world.run(world.now + 100 * MS)
            if len(self.values) and world.now - over > 5 * SECOND and self.places[0].voter._requested is None:
                # Whoever missed the word hears of it with the next number.
                self.propose(0)
        self.agreed = world.now - over
        return self


def play(count: int, seed: int, kind: type[Voter] = Voter) -> dict[str, Any]:
    try:
        register = Register(count, seed, kind).run()
    except BrokenError as why:
        return {"seed": seed, "broken": str(why), "history": []}
    return {
        "seed": seed,
        "agree_s": register.agreed / SECOND,
        "plans": len(register.values),
        "messages": sum(place.sent for place in register.places),
    }


# -- every order of a few messages -----------------------------------------------------------------


class Still:
    """Chance that never varies: waits don't matter where every order is played."""

    def randrange(self, *_: int) -> int:
        return 0

    def getrandbits(self, _bits: int) -> int:
        return 0


class Hand(NamedTuple):
    """One voter's host in an exploration; what it does is written down."""

    place: int
    table: Table

    def send(self, place: int, data: bytes) -> None:
        self.table.sent.add((place, data))

    def set_timer(self, _delay: int, token: int) -> None:
        pass

    def persist(self, memory: bytes) -> None:
        self.table.kept[self.place] = memory

    def approves(self, value: bytes) -> bool:
        return True

    def chosen(self, number: int, value: bytes) -> None:
        if self.table.values.setdefault(number, value) != value:
            raise BrokenError(f"number {number} is {self.table.values[number]!r} and {value!r}")


class Table:
    """One state: voters, messages ever sent, memories, what was held. A message stays where it is, so it may
    come late, again, behind others, or never."""

    def __init__(self, kind: type[Voter], lives: int) -> None:
        self.kind = kind
        self.sent: set[tuple[int, bytes]] = set()
        self.kept: list[bytes | None] = [None, None, None]
        self.values: dict[int, bytes] = {}
        self.crashes = lives
        self.voters = [self._voter(place, place + 1) for place in range(3)]
        for voter in self.voters:
            voter.floor = 0  # as after a first start that all saw

    def _voter(self, place: int, life: int) -> Voter:
        voter = self.kind(Hand(place, self), place, 3, 0, self.kept[place])
        voter.rng, voter.instance_id = Still(), life  # type: ignore[assignment]
        return voter

    def copy(self) -> Table:
        new = copy.copy(self)
        new.sent, new.kept = set(self.sent), list(self.kept)
        new.values = dict(self.values)
        new.voters = []
        for voter in self.voters:
            twin = copy.copy(voter)
            twin.host = Hand(voter.voter_id, new)
            twin._statuses, twin._promises, twin._accepts = (
                dict(voter._statuses),
                dict(voter._promises),
                set(voter._accepts),
            )
            twin._timers = dict(voter._timers)
            new.voters.append(twin)
        return new

    def key(self) -> tuple[Any, ...]:
        voters = tuple(
            (
                v.instance_id,
                v.chosen_slot,
                v.chosen_value,
                v.promised,
                v.accepted_ballot,
                v.accepted_value,
                v.floor,
                v._requested,
                v._round,
                v._ballot,
                frozenset(v._promises),
                frozenset(v._accepts),
                v._round_value,
                v._collecting_promises,
                v._status_round,
                frozenset(v._statuses),
                tuple(v._previous_instances),
                frozenset(v._timers),
            )
            for v in self.voters
        )
        return voters, frozenset(self.sent), tuple(self.kept), self.crashes

    def moves(self) -> list[tuple[str, int, Any]]:
        moves: list[tuple[str, int, Any]] = [("comes", place, data) for place, data in sorted(self.sent)]
        for voter in self.voters:
            if voter._round < 2 and voter._status_round < 4:
                moves += [("wakes", voter.voter_id, name) for name in sorted(voter._timers)]
        if self.crashes:
            moves += [(how, 2, None) for how in ("crashes", "forgets")]
        return moves

    def move(self, how: str, place: int, data: Any) -> None:
        voter = self.voters[place]
        if how == "comes":
            voter.received(data)
        elif how == "wakes":
            voter.timer_expired(voter._timers[data])
        else:
            self.crashes -= 1
            if how == "forgets":
                self.kept[place] = None
            self.voters[place] = self._voter(place, voter.instance_id + 10)
            self.voters[place].start()


def explore(
    depth: int, crashes: int = 1, kind: type[Voter] = Voter, most: int = 3_000_000
) -> tuple[int, list[str]]:
    """Three voters, two that propose, every order up to so many moves: how many states, and the shortest
    history that breaks, if one does. Breadth first, so that it is the shortest."""
    first = Table(kind, crashes)
    for place in (0, 1):
        first.voters[place].propose(b"plan of %d" % place)
    level: list[tuple[Table, tuple[str, ...]]] = [(first, ())]
    seen = {first.key()}
    for _ in range(depth):
        following = []
        for table, history in level:
            for how, place, data in table.moves():
                new = table.copy()
                said = f"{how} at {place}: {decode(data) if how == 'comes' else data}"
                try:
                    new.move(how, place, data)
                except BrokenError as why:
                    return len(seen), [*history, said, str(why)]
                key = new.key()
                if key not in seen:
                    seen.add(key)
                    following.append((new, (*history, said)))
        level = following
        if len(seen) > most:
            raise MemoryError(f"over {most} states at depth {_ + 1}")
    return len(seen), []
