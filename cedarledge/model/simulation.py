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
MAX_UNREAD_DATAGRAMS = 200


class StateMachine(Protocol):
    """What a world runs. It acts by calling the Seat that it was made with."""

    def received(self, now: int, data: bytes) -> None: ...
    def timer_expired(self, now: int, token: int) -> None: ...


class Link(NamedTuple):
    """One direction between two places; the defaults are a whole one on one network. Shares are from 0 to
    1."""

    cut: bool = False
    loss: float = 0.0
    delay: int = MS
    jitter: int = 0
    duplication: float = 0.0  # sent on twice
    reorder: float = 0.0  # held back by `held` more, so that others overtake
    reorder_delay: int = 50 * MS


HEALTHY_LINK = Link()


class Node:
    """One machine's place in the world: its address, its host, and whether its process runs."""

    def __init__(self, simulation: Simulation, address: str) -> None:
        self.simulation = simulation
        self.address = address
        self.machine: StateMachine | None = None
        self.generation = 0  # of the processes at this place; what was due for an earlier one is void
        self.clock_offset = (
            0  # how far its clock is from the world's: no two processes need agree on the time
        )
        self.paused = False
        self._unread_datagrams: list[bytes] = []
        self._pending_timers: list[int] = []
        self.sent = self.sent_bytes = 0
        self.largest_datagram = 0

    def send(self, address: str, data: bytes) -> None:
        self.sent += 1
        self.sent_bytes += len(data)
        self.largest_datagram = max(self.largest_datagram, len(data))
        self.simulation.transmit(self.address, address, data)

    def set_timer(self, delay: int, token: int) -> None:
        self.simulation.call_later(delay, self._timer_expired, self.generation, token)

    def _timer_expired(self, generation: int, token: int) -> None:
        if generation != self.generation or self.machine is None:
            return
        if self.paused:
            self._pending_timers.append(token)
        else:
            self.machine.timer_expired(self.now, token)
            self.simulation.on_action(self)

    @property
    def now(self) -> int:
        return self.simulation.now + self.clock_offset

    def deliver(self, data: bytes) -> None:
        if self.machine is None:
            return
        if not self.paused:
            self.simulation.on_receive(self, data)
            self.machine.received(self.now, data)
            self.simulation.on_action(self)
        elif len(self._unread_datagrams) < MAX_UNREAD_DATAGRAMS:
            self._unread_datagrams.append(data)

    def pause(self) -> None:
        """SIGSTOP."""
        self.paused = True

    def resume(self) -> None:
        """SIGCONT. What has come is read before what was due, as the shells do."""
        self.paused = False
        unread_datagrams, self._unread_datagrams, pending_timers, self._pending_timers = (
            self._unread_datagrams,
            [],
            self._pending_timers,
            [],
        )
        for data in unread_datagrams:
            self.deliver(data)
        for token in pending_timers:
            self._timer_expired(self.generation, token)

    def kill(self) -> None:
        """SIGKILL: all that the process knew is gone."""
        self.machine = None
        self.generation += 1
        self.paused = False
        self._unread_datagrams, self._pending_timers = [], []


def _do_nothing(*_: Any) -> None:
    pass


class Simulation:
    """The clock and the network."""

    def __init__(self, seed: int, link: Link = HEALTHY_LINK) -> None:
        self.now = 0
        self.rng = random.Random(seed)
        self.default_link = link
        self.links: dict[tuple[str, str], Link] = {}
        self.nodes_by_address: dict[str, Node] = {}
        # May decide each datagram's fate in place of the lanes: None for theirs, else the delays of its
        # copies.
        self.delivery_override: Callable[[str, str, bytes], list[int] | None] | None = None
        self.on_action: Callable[[Node], None] = _do_nothing  # after each thing that a machine did
        self.on_receive: Callable[[Node, bytes], None] = _do_nothing  # before it reads a datagram
        self.event_count = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def node(self, address: str) -> Node:
        """The place at this address."""
        return self.nodes_by_address.setdefault(address, Node(self, address))

    def call_later(self, delay: int, callback: Callable[..., None], *args: Any) -> None:
        self._sequence += 1
        heappush(self._heap, (self.now + delay, self._sequence, callback, args))

    def call_at(self, when: int, callback: Callable[..., None], *args: Any) -> None:
        self.call_later(max(0, when - self.now), callback, *args)

    def set_link(self, source: str, target: str, link: Link | None) -> None:
        """None: as usual again."""
        if link is None:
            self.links.pop((source, target), None)
        else:
            self.links[source, target] = link

    def transmit(self, source: str, target: str, data: bytes) -> None:
        node = self.nodes_by_address.get(target)
        if node is None:
            return
        delays = self.delivery_override(source, target, data) if self.delivery_override is not None else None
        if delays is None:
            delays = self._delays(self.links.get((source, target), self.default_link))
        for delay in delays:
            self.call_later(delay, node.deliver, data)

    def _delays(self, link: Link) -> list[int]:
        rng = self.rng
        if link.cut or (link.loss and rng.random() < link.loss):
            return []
        delays = []
        for _ in range(2 if link.duplication and rng.random() < link.duplication else 1):
            delay = link.delay + (rng.randrange(link.jitter) if link.jitter else 0)
            if link.reorder and rng.random() < link.reorder:
                delay += rng.randrange(link.reorder_delay)
            delays.append(delay)
        return delays

    def run(self, until: int) -> None:
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heappop(heap)
            callback(*args)
            self.event_count += 1
        self.now = until
