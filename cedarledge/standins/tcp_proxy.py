"""The ways from relays to boxes and to discovery: each connection passes here, and the schedule can hold up,
slow down or stop what it carries, in each direction by itself.

Only relays that a fault is about have their connections pass; the others' go straight. What is passed on
comes in order and whole, as over TCP: a way that is cut holds it all back, ends of connections too, until it
is whole again."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import msgspec
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory
from twisted.python.failure import Failure
from zope.interface import implementer

from cedarledge.standins.plan import (
    LIST,
    ScheduledEvent,
    box_address,
    box_proxy_address,
    discovery_address,
    discovery_proxy_address,
)
from cedarledge.standins.process_context import Player, ProcessContext
from cedarledge.terms import MS, SECOND

OUT, BACK = "out", "back"
# As long as a system waits before it sends again what was lost.
SENT_AGAIN = 200 * MS


class Way(msgspec.Struct):
    """One direction between one relay and one box, or discovery."""

    cut: bool = False
    delay: int = 0
    jitter: int = 0
    loss: float = 0.0  # of what is written at once; it comes again, and holds up what is behind it
    far: int = 0  # between zones
    rate: int = 0  # bytes a second; 0: as they come
    stall: bool = False  # the next line's first half still passes, then nothing
    unread: bool = False  # taken by nobody: the sender's system fills up


class Flow:
    """What one connection carries in one direction."""

    def __init__(self, ways: Ways, way: Way, source: End, sink: End) -> None:
        self.ways = ways
        self.way = way
        self.source = source
        self.sink = sink
        # When each piece may pass; None ends the connection, as it was ended.
        self.queue: deque[tuple[int, bytes | None]] = deque()
        self.how = ""
        self.free_at = 0  # by the rate
        self.stalled = self.armed = False

    def push(self, data: bytes | None) -> None:
        way, chance = self.way, self.ways.chance
        delay = way.far + way.delay + (chance.randrange(way.jitter) if way.jitter else 0)
        if way.loss and chance.random() < way.loss:
            delay += SENT_AGAIN
        self.queue.append((self.ways.now() + delay, data))
        self.pump()

    def changed(self) -> None:
        """The way is not what it was."""
        self.stalled = False
        transport = self.source.transport
        if transport is not None and not self.source.over:
            (transport.pauseProducing if self.way.unread else transport.resumeProducing)()
        self.pump()

    def pump(self) -> None:
        way = self.way
        while self.queue and self.sink.transport is not None and not (way.cut or way.unread or self.stalled):
            now = self.ways.now()
            due = max(self.queue[0][0], self.free_at)
            if due > now:
                if not self.armed:
                    self.armed = True
                    self.ways.timers.after(due - now, self._again)
                return
            _, data = self.queue.popleft()
            if data is None:
                self.sink.end(self.how)
                return
            if way.stall:
                # In mid-line, so that a reader is left with a part of one.
                half = data.find(b"\r\n") // 2
                if half > 0:
                    self.sink.transport.write(data[:half])
                    self.queue.appendleft((now, data[half:]))
                    self.stalled = True
                    return
            if way.rate:
                some = max(1, way.rate // 20)
                if len(data) > some:
                    self.queue.appendleft((now, data[some:]))
                    data = data[:some]
                self.free_at = now + len(data) * SECOND // way.rate
            self.sink.transport.write(data)

    def _again(self) -> None:
        self.armed = False
        self.pump()


@implementer(IHalfCloseableProtocol)
class End(Protocol):
    """One end of a connection that passes here."""

    transport: Any = None

    def __init__(self) -> None:
        self.flow: Flow  # of what comes in here
        self.over = False

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.joined()

    def joined(self) -> None:
        """The far end is there: what waited for it may pass."""
        if self.flow.way.unread:
            self.transport.pauseProducing()
        self.flow.sink.flow.pump()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.flow.push(data)

    def readConnectionLost(self) -> None:  # noqa: N802
        self.flow.how = "half"
        self.flow.push(None)

    def writeConnectionLost(self) -> None:  # noqa: N802
        pass

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self.over = True
        self.flow.ways.ended(self)
        self.flow.how = "end" if reason.check(ConnectionDone) else "reset"
        self.flow.push(None)

    def end(self, how: str) -> None:
        if self.over or self.transport is None:
            return
        if how == "half":
            self.transport.loseWriteConnection()
        elif how == "end":
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()


class NearEnd(End):
    """The relay's; it makes the far one."""

    def __init__(self, ways: Ways, relay: int, box: int, target: tuple[str, int]) -> None:
        super().__init__()
        self.target = target
        far = End()
        self.flow = Flow(ways, ways.ways[relay, box, OUT], self, far)
        far.flow = Flow(ways, ways.ways[relay, box, BACK], far, self)

    def joined(self) -> None:
        super().joined()
        ways = self.flow.ways
        ways.flows += [self.flow, self.flow.sink.flow]
        ways.reactor.connectTCP(*self.target, Reach(self), timeout=2)


class Reach(ClientFactory):
    noisy = False

    def __init__(self, near: NearEnd) -> None:
        self.near = near

    def buildProtocol(self, _addr: Any) -> End:  # noqa: N802
        return self.near.flow.sink

    def clientConnectionFailed(self, _connector: Any, _reason: Failure) -> None:  # noqa: N802
        # A moment later than over a straight way: the relay's connect has been taken by then.
        self.near.end("reset")


class Gate(ServerFactory):
    noisy = False

    def __init__(self, ways: Ways, relay: int, box: int, target: tuple[str, int]) -> None:
        self.ways = ways
        self.place = relay, box
        self.target = target

    def buildProtocol(self, _addr: Any) -> NearEnd:  # noqa: N802
        return NearEnd(self.ways, *self.place, self.target)


class Ways(Player):
    """All ways that a fault is about, and the schedule's acts on them."""

    def __init__(self, stage: ProcessContext) -> None:
        super().__init__(stage)
        self.chance = random.Random(self.plan.seed * 103 + 9)
        self.flows: list[Flow] = []
        boxes = [*range(len(self.plan.boxes)), LIST]
        self.ways = {
            (relay, box, to): Way(far=self._far(relay, box))
            for relay in self.plan.proxied_relays
            for box in boxes
            for to in (OUT, BACK)
        }

    def _far(self, relay: int, box: int) -> int:
        zones = self.plan.zones
        return (
            0 if box == LIST else zones.one_way_delay(zones.zone_of_relay(relay), self.plan.boxes[box].zone)
        )

    def open(self) -> None:
        for relay in self.plan.proxied_relays:
            self._gate(relay, LIST, discovery_proxy_address(relay), discovery_address(relay))
            for box in range(len(self.plan.boxes)):
                self._gate(relay, box, box_proxy_address(box, relay), box_address(box, relay))

    def _gate(self, relay: int, box: int, here: str, there: str) -> None:
        self.reactor.listenTCP(self.port, Gate(self, relay, box, (there, self.port)), interface=here)

    def begin(self) -> None:
        for act in self.plan.events:
            if act.target == "way":
                self.timers.after(act.at - self.now(), self._played, act)

    def _played(self, act: ScheduledEvent) -> None:
        to, _, what = act.action.partition(".")
        way = self.ways[act.relay, act.index, to]
        if what == "delay":
            way.jitter = int(act.size) // 2
        # The field says what it is: a flag, a share, or ns or bytes.
        setattr(way, what, type(getattr(way, what))(act.size))
        for flow in self.flows:
            if flow.way is way:
                flow.changed()

    def ended(self, end: End) -> None:
        if end.over and end.flow.sink.over:
            for flow in (end.flow, end.flow.sink.flow):
                if flow in self.flows:
                    self.flows.remove(flow)
