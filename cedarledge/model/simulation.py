"""Discrete-event simulation of state machines on one virtual clock and one simulated network.

`docs/model.md` describes how to add a state machine. Times are ns since the start of the simulation. The seed
is the only source of randomness: two simulations with the same seed and the same calls run identically.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple, Protocol

from cedarledge.terms import MS

# Datagrams that the kernel's receive buffer holds for a process that does not read; later ones are dropped.
MAX_UNREAD_DATAGRAMS = 200


class StateMachine(Protocol):
    """Code under simulation, without I/O and clock. It acts by calling methods of its Node."""

    def received(self, now: int, data: bytes) -> None:
        """Handles a datagram; `now` is the time of the node's own clock, ns."""
        ...

    def timer_expired(self, now: int, token: int) -> None:
        """Handles the timer that was set with `token`; `now` is the time of the node's own clock, ns."""
        ...


class Link(NamedTuple):
    """Properties of the network in one direction between two nodes.

    The defaults describe a healthy link within one network. Delays are ns. Probabilities are between 0 and 1
    and are drawn anew for each datagram, and for each copy of a duplicated one in the case of `reorder`.
    """

    cut: bool = False
    loss: float = 0.0
    delay: int = MS
    jitter: int = 0
    duplication: float = 0.0  # probability that a datagram arrives twice
    reorder: float = 0.0  # probability of an extra delay below `reorder_delay`, so that later ones overtake
    reorder_delay: int = 50 * MS


HEALTHY_LINK = Link()


class Node:
    """Host of one state machine: its address, its timers, and the state of its simulated process."""

    def __init__(self, simulation: Simulation, address: str) -> None:
        """Creates a node without a process; it runs once `machine` is set."""
        self.simulation = simulation
        self.address = address
        self.machine: StateMachine | None = None
        # Counts the processes that were killed here; timers of an earlier process are ignored.
        self.generation = 0
        # Difference between this node's clock and the simulation's, ns: processes need not agree on the time.
        self.clock_offset = 0
        self.paused = False
        self._unread_datagrams: list[bytes] = []
        self._pending_timers: list[int] = []
        self.sent = self.sent_bytes = 0
        self.largest_datagram = 0

    def send(self, address: str, data: bytes) -> None:
        """Sends a datagram into the network and counts it."""
        self.sent += 1
        self.sent_bytes += len(data)
        self.largest_datagram = max(self.largest_datagram, len(data))
        self.simulation.transmit(self.address, address, data)

    def set_timer(self, delay: int, token: int) -> None:
        """Calls the machine's `timer_expired` with `token` after `delay` ns, unless its process is killed."""
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
        """The time of this node's own clock, ns."""
        return self.simulation.now + self.clock_offset

    def deliver(self, data: bytes) -> None:
        """Hands a datagram to the machine, or buffers it while the process is paused.

        Without a process it is dropped.
        """
        if self.machine is None:
            return
        if not self.paused:
            self.simulation.on_receive(self, data)
            self.machine.received(self.now, data)
            self.simulation.on_action(self)
        elif len(self._unread_datagrams) < MAX_UNREAD_DATAGRAMS:
            self._unread_datagrams.append(data)

    def pause(self) -> None:
        """Stops the process as SIGSTOP does: datagrams and timers wait."""
        self.paused = True

    def resume(self) -> None:
        """Continues the process as SIGCONT does.

        Waiting datagrams are handled before expired timers, as the relay's event loop does it.
        """
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
        """Ends the process as SIGKILL does: its state, its timers and its unread datagrams are lost."""
        self.machine = None
        self.generation += 1
        self.paused = False
        self._unread_datagrams, self._pending_timers = [], []


def _do_nothing(*_: Any) -> None:
    pass


class Simulation:
    """The virtual clock, the event queue and the network between nodes."""

    def __init__(self, seed: int, link: Link = HEALTHY_LINK) -> None:
        """`link` is used between all nodes for which `set_link` sets no other one."""
        self.now = 0
        self.rng = random.Random(seed)
        self.default_link = link
        self.links: dict[tuple[str, str], Link] = {}
        self.nodes_by_address: dict[str, Node] = {}
        # Takes source, target and data of a datagram and returns the delays of its copies, an empty list to
        # drop it, or None to apply the link.
        self.delivery_override: Callable[[str, str, bytes], list[int] | None] | None = None
        self.on_action: Callable[[Node], None] = _do_nothing  # after each event that a machine handled
        self.on_receive: Callable[[Node, bytes], None] = _do_nothing  # before a machine gets a datagram
        self.event_count = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def node(self, address: str) -> Node:
        """Returns the node at this address, which is created if there is none."""
        return self.nodes_by_address.setdefault(address, Node(self, address))

    def call_later(self, delay: int, callback: Callable[..., None], *args: Any) -> None:
        """Calls `callback` after `delay` ns. Calls of the same time run in the order of their scheduling."""
        self._sequence += 1
        heappush(self._heap, (self.now + delay, self._sequence, callback, args))

    def call_at(self, when: int, callback: Callable[..., None], *args: Any) -> None:
        """Calls `callback` at the time `when`, ns; at once if it is in the past."""
        self.call_later(max(0, when - self.now), callback, *args)

    def set_link(self, source: str, target: str, link: Link | None) -> None:
        """Sets the link from `source` to `target`; None restores the default link."""
        if link is None:
            self.links.pop((source, target), None)
        else:
            self.links[source, target] = link

    def transmit(self, source: str, target: str, data: bytes) -> None:
        """Schedules the delivery of a datagram as the link decides; unknown targets get nothing."""
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
        """Runs all events up to and including the time `until`, ns, and sets the clock to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heappop(heap)
            callback(*args)
            self.event_count += 1
        self.now = until
