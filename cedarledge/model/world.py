"""One clock, one seeded network, many machines. `docs/model.md` says how a machine is plugged in.

Times are ns after the world's start. Everything hangs on the seed: two worlds told the same do the same.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple, Protocol

from cedarledge.terms import MS

# What a kernel keeps for a process that does not read; the rest is lost.
UNREAD = 200


class Machine(Protocol):
    """What a world runs. It acts by calling the Seat that it was made with."""

    def received(self, now: int, data: bytes) -> None: ...
    def timer_expired(self, now: int, token: int) -> None: ...


class Lane(NamedTuple):
    """One direction between two places; the defaults are a whole one on one network. Shares are from 0 to
    1."""

    cut: bool = False
    loss: float = 0.0
    delay: int = MS
    jitter: int = 0
    twice: float = 0.0  # sent on twice
    reorder: float = 0.0  # held back by `held` more, so that others overtake
    held: int = 50 * MS


WHOLE = Lane()


class Seat:
    """One machine's place in the world: its address, its host, and whether its process runs."""

    def __init__(self, world: World, address: str) -> None:
        self.world = world
        self.address = address
        self.machine: Machine | None = None
        self.turn = 0  # of the processes at this place; what was due for an earlier one is void
        self.ahead = 0  # how far its clock is from the world's: no two processes need agree on the time
        self.stopped = False
        self._unread: list[bytes] = []
        self._due: list[int] = []
        self.sent = self.sent_bytes = 0
        self.largest = 0

    def send(self, address: str, data: bytes) -> None:
        self.sent += 1
        self.sent_bytes += len(data)
        self.largest = max(self.largest, len(data))
        self.world.carry(self.address, address, data)

    def set_timer(self, delay: int, token: int) -> None:
        self.world.after(delay, self._wake, self.turn, token)

    def _wake(self, turn: int, token: int) -> None:
        if turn != self.turn or self.machine is None:
            return
        if self.stopped:
            self._due.append(token)
        else:
            self.machine.timer_expired(self.now, token)
            self.world.acted(self)

    @property
    def now(self) -> int:
        return self.world.now + self.ahead

    def arrives(self, data: bytes) -> None:
        if self.machine is None:
            return
        if not self.stopped:
            self.world.reads(self, data)
            self.machine.received(self.now, data)
            self.world.acted(self)
        elif len(self._unread) < UNREAD:
            self._unread.append(data)

    def stop(self) -> None:
        """SIGSTOP."""
        self.stopped = True

    def go_on(self) -> None:
        """SIGCONT. What has come is read before what was due, as the shells do."""
        self.stopped = False
        unread, self._unread, due, self._due = self._unread, [], self._due, []
        for data in unread:
            self.arrives(data)
        for token in due:
            self._wake(self.turn, token)

    def end(self) -> None:
        """SIGKILL: all that the process knew is gone."""
        self.machine = None
        self.turn += 1
        self.stopped = False
        self._unread, self._due = [], []


def _nothing(*_: Any) -> None:
    pass


class World:
    """The clock and the network."""

    def __init__(self, seed: int, lane: Lane = WHOLE) -> None:
        self.now = 0
        self.chance = random.Random(seed)
        self.usual = lane
        self.lanes: dict[tuple[str, str], Lane] = {}
        self.seats: dict[str, Seat] = {}
        # May decide each datagram's fate in place of the lanes: None for theirs, else the delays of its
        # copies.
        self.fate: Callable[[str, str, bytes], list[int] | None] | None = None
        self.acted: Callable[[Seat], None] = _nothing  # after each thing that a machine did
        self.reads: Callable[[Seat, bytes], None] = _nothing  # before it reads a datagram
        self.steps = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0

    def seat(self, address: str) -> Seat:
        """The place at this address."""
        return self.seats.setdefault(address, Seat(self, address))

    def after(self, delay: int, call: Callable[..., None], *args: Any) -> None:
        self._order += 1
        heappush(self._heap, (self.now + delay, self._order, call, args))

    def at(self, when: int, call: Callable[..., None], *args: Any) -> None:
        self.after(max(0, when - self.now), call, *args)

    def set_lane(self, source: str, target: str, lane: Lane | None) -> None:
        """None: as usual again."""
        if lane is None:
            self.lanes.pop((source, target), None)
        else:
            self.lanes[source, target] = lane

    def carry(self, source: str, target: str, data: bytes) -> None:
        seat = self.seats.get(target)
        if seat is None:
            return
        delays = self.fate(source, target, data) if self.fate is not None else None
        if delays is None:
            delays = self._delays(self.lanes.get((source, target), self.usual))
        for delay in delays:
            self.after(delay, seat.arrives, data)

    def _delays(self, lane: Lane) -> list[int]:
        chance = self.chance
        if lane.cut or (lane.loss and chance.random() < lane.loss):
            return []
        delays = []
        for _ in range(2 if lane.twice and chance.random() < lane.twice else 1):
            delay = lane.delay + (chance.randrange(lane.jitter) if lane.jitter else 0)
            if lane.reorder and chance.random() < lane.reorder:
                delay += chance.randrange(lane.held)
            delays.append(delay)
        return delays

    def run(self, until: int) -> None:
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heappop(heap)
            call(*args)
            self.steps += 1
        self.now = until
