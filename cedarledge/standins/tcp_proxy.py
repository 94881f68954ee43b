"""Fault injection for the TCP connections from relays to boxes and to discovery: delays, throttles or stops
what they carry, in each direction by itself.

Only the connections of relays that a fault or a zone delay concerns go through the proxy; other relays
connect directly. As over TCP, bytes arrive complete and in order: a link that is cut holds back everything,
also the ends of connections, until it is restored.
"""

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
    DISCOVERY,
    ScheduledEvent,
    box_address,
    box_proxy_address,
    discovery_address,
    discovery_proxy_address,
)
from cedarledge.standins.process_context import Emulator, ProcessContext
from cedarledge.terms import MS, SECOND

OUT, BACK = "out", "back"
# Delay of a lost segment, as until the operating system's retransmission.
RETRANSMIT_DELAY = 200 * MS


class Link(msgspec.Struct):
    """One direction between one relay and one box or discovery. Scheduled events set the fields by name."""

    cut: bool = False
    delay: int = 0
    jitter: int = 0
    loss: float = 0.0  # share of writes that are retransmitted, which delays what follows them too
    zone_delay: int = 0
    rate: int = 0  # bytes a second; 0: unlimited
    stall: bool = False  # the first half of the next line passes, then nothing
    unread: bool = False  # nothing is read, so that the sender's buffers fill up


class Flow:
    """The bytes of one connection in one direction."""

    def __init__(self, proxy: TcpProxy, link: Link, source: Endpoint, sink: Endpoint) -> None:
        """Bytes are read from `source` and written to `sink`."""
        self.proxy = proxy
        self.link = link
        self.source = source
        self.sink = sink
        # Pieces with the time at which each may pass; None ends the connection, in the way that `close_kind`
        # says.
        self.queue: deque[tuple[int, bytes | None]] = deque()
        self.close_kind = ""
        self.free_at = 0  # when `rate` allows the next write
        self.stalled = self.timer_set = False

    def push(self, data: bytes | None) -> None:
        """Queues bytes, or the end of the connection (None), with the delay of the link."""
        link, rng = self.link, self.proxy.random
        delay = link.zone_delay + link.delay + (rng.randrange(link.jitter) if link.jitter else 0)
        if link.loss and rng.random() < link.loss:
            delay += RETRANSMIT_DELAY
        self.queue.append((self.proxy.now() + delay, data))
        self.pump()

    def link_changed(self) -> None:
        """Applies a change of the link's settings to this connection."""
        self.stalled = False
        transport = self.source.transport
        if transport is not None and not self.source.over:
            (transport.pauseProducing if self.link.unread else transport.resumeProducing)()
        self.pump()

    def pump(self) -> None:
        """Writes what is due to the sink, and sets a timer for the next piece."""
        link = self.link
        while (
            self.queue and self.sink.transport is not None and not (link.cut or link.unread or self.stalled)
        ):
            now = self.proxy.now()
            due = max(self.queue[0][0], self.free_at)
            if due > now:
                if not self.timer_set:
                    self.timer_set = True
                    self.proxy.timers.after(due - now, self._timer_fired)
                return
            _, data = self.queue.popleft()
            if data is None:
                self.sink.end(self.close_kind)
                return
            if link.stall:
                # Stops in the middle of a line, so that the reader has a part of one.
                half = data.find(b"\r\n") // 2
                if half > 0:
                    self.sink.transport.write(data[:half])
                    self.queue.appendleft((now, data[half:]))
                    self.stalled = True
                    return
            if link.rate:
                chunk = max(1, link.rate // 20)
                if len(data) > chunk:
                    self.queue.appendleft((now, data[chunk:]))
                    data = data[:chunk]
                self.free_at = now + len(data) * SECOND // link.rate
            self.sink.transport.write(data)

    def _timer_fired(self) -> None:
        self.timer_set = False
        self.pump()


@implementer(IHalfCloseableProtocol)
class Endpoint(Protocol):
    """One of the two sockets of a proxied connection."""

    transport: Any = None

    def __init__(self) -> None:
        """The creator sets `flow` before the connection is made."""
        self.flow: Flow  # of the bytes that are read here
        self.over = False

    def connectionMade(self) -> None:  # noqa: N802
        """Disables Nagle's algorithm, which would add delay, and starts forwarding."""
        self.transport.setTcpNoDelay(True)
        self.connection_ready()

    def connection_ready(self) -> None:
        """Writes what the other endpoint has read while this one was connecting."""
        if self.flow.link.unread:
            self.transport.pauseProducing()
        self.flow.sink.flow.pump()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forwards the bytes to the other endpoint."""
        self.flow.push(data)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Forwards the half-close."""
        self.flow.close_kind = "half"
        self.flow.push(None)

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Does nothing: this side was closed by `end`."""
        pass

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Forwards the close or the reset."""
        self.over = True
        self.flow.proxy.endpoint_closed(self)
        self.flow.close_kind = "end" if reason.check(ConnectionDone) else "reset"
        self.flow.push(None)

    def end(self, kind: str) -> None:
        """Closes this endpoint as the other one was closed: `half`, `end` or `reset`."""
        if self.over or self.transport is None:
            return
        if kind == "half":
            self.transport.loseWriteConnection()
        elif kind == "end":
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()


class RelayEndpoint(Endpoint):
    """The endpoint that the relay connected to; it connects the other one to the target."""

    def __init__(self, proxy: TcpProxy, relay: int, box: int, target: tuple[str, int]) -> None:
        """`target` is the host and port of the box or of discovery."""
        super().__init__()
        self.target = target
        target_endpoint = Endpoint()
        self.flow = Flow(proxy, proxy.links[relay, box, OUT], self, target_endpoint)
        target_endpoint.flow = Flow(proxy, proxy.links[relay, box, BACK], target_endpoint, self)

    def connection_ready(self) -> None:
        """Connects to the target."""
        super().connection_ready()
        proxy = self.flow.proxy
        proxy.flows += [self.flow, self.flow.sink.flow]
        proxy.reactor.connectTCP(*self.target, TargetFactory(self), timeout=2)


class TargetFactory(ClientFactory):
    """Connects the second endpoint to the target."""

    noisy = False

    def __init__(self, relay_endpoint: RelayEndpoint) -> None:
        """`relay_endpoint` is reset if the target can't be reached."""
        self.relay_endpoint = relay_endpoint

    def buildProtocol(self, _addr: Any) -> Endpoint:  # noqa: N802
        """Returns the endpoint that the relay's endpoint has created."""
        return self.relay_endpoint.flow.sink

    def clientConnectionFailed(self, _connector: Any, _reason: Failure) -> None:  # noqa: N802
        """Resets the relay's connection."""
        # Slightly later than without a proxy: the relay's connect has succeeded by then.
        self.relay_endpoint.end("reset")


class RelaySideFactory(ServerFactory):
    """Accepts connections of one relay to one box or to discovery."""

    noisy = False

    def __init__(self, proxy: TcpProxy, relay: int, box: int, target: tuple[str, int]) -> None:
        """`target` is the host and port that connections are forwarded to."""
        self.proxy = proxy
        self.link_key = relay, box
        self.target = target

    def buildProtocol(self, _addr: Any) -> RelayEndpoint:  # noqa: N802
        """Returns the endpoint of a new connection."""
        return RelayEndpoint(self.proxy, *self.link_key, self.target)


class TcpProxy(Emulator):
    """All links of the proxied relays, and the scheduled events that concern them."""

    def __init__(self, context: ProcessContext) -> None:
        """Creates the links; `open` starts to listen."""
        super().__init__(context)
        self.random = random.Random(self.plan.seed * 103 + 9)
        self.flows: list[Flow] = []
        boxes = [*range(len(self.plan.boxes)), DISCOVERY]
        self.links = {
            (relay, box, direction): Link(zone_delay=self._zone_delay(relay, box))
            for relay in self.plan.proxied_relays
            for box in boxes
            for direction in (OUT, BACK)
        }

    def _zone_delay(self, relay: int, box: int) -> int:
        zones = self.plan.zones
        return (
            0
            if box == DISCOVERY
            else zones.one_way_delay(zones.zone_of_relay(relay), self.plan.boxes[box].zone)
        )

    def open(self) -> None:
        """Starts to listen, before the relays start."""
        for relay in self.plan.proxied_relays:
            self._listen(relay, DISCOVERY, discovery_proxy_address(relay), discovery_address(relay))
            for box in range(len(self.plan.boxes)):
                self._listen(relay, box, box_proxy_address(box, relay), box_address(box, relay))

    def _listen(self, relay: int, box: int, proxy_host: str, target_host: str) -> None:
        self.reactor.listenTCP(
            self.port, RelaySideFactory(self, relay, box, (target_host, self.port)), interface=proxy_host
        )

    def begin(self) -> None:
        """Sets timers for the scheduled events; called at the start of the run."""
        for event in self.plan.events:
            if event.target == "way":
                self.timers.after(event.at - self.now(), self._apply, event)

    def _apply(self, event: ScheduledEvent) -> None:
        direction, _, field = event.action.partition(".")
        link = self.links[event.relay, event.index, direction]
        if field == "delay":
            link.jitter = int(event.size) // 2
        # The type of the field says what the size is: a flag, a share, or a number of ns or bytes.
        setattr(link, field, type(getattr(link, field))(event.size))
        for flow in self.flows:
            if flow.link is link:
                flow.link_changed()

    def endpoint_closed(self, endpoint: Endpoint) -> None:
        """Forgets a connection once both of its endpoints are closed."""
        if endpoint.over and endpoint.flow.sink.over:
            for flow in (endpoint.flow, endpoint.flow.sink.flow):
                if flow in self.flows:
                    self.flows.remove(flow)
