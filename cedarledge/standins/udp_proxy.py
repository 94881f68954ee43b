"""Fault injection for the UDP traffic between relays: drops, delays, duplicates and reorders datagrams.

Other relays reach a relay's membership socket only at an address of this process, which recognizes a sender
by its source address. So each direction can be disturbed by itself, without a firewall and without
privileges.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from cedarledge.standins.event_log import PeerTraffic
from cedarledge.standins.plan import ScheduledEvent, peer_address, peer_proxy_address
from cedarledge.standins.process_context import Emulator, ProcessContext
from cedarledge.standins.tcp_proxy import TcpProxy
from cedarledge.terms import MS, SECOND

# The longest extra delay of a datagram that is reordered.
REORDER_DELAY = 200 * MS
# Datagrams that would wait longer than this for a link with limited bandwidth are dropped, as a router does.
MAX_QUEUE_DELAY = 300 * MS


class Link(msgspec.Struct):
    """One direction between two relays. Scheduled events set `cut`, `loss`, `delay`, `twice` and `rate` by
    name."""

    cut: bool = False
    loss: float = 0.0  # share of datagrams that are dropped
    delay: int = 0
    twice: float = 0.0  # share of datagrams that are duplicated
    reordered: float = 0.0  # share of datagrams that are delayed further
    rate: float = 0.0  # bytes a second; 0: unlimited
    free_at: int = 0  # when `rate` allows the next datagram
    zone_delay: int = 0


class ProxySocket(DatagramProtocol):
    """The socket at which the other relays reach one relay."""

    def __init__(self, proxy: UdpProxy, relay: int) -> None:
        """`relay` is the one that datagrams are forwarded to."""
        self.proxy = proxy
        self.relay = relay

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        """Passes a datagram to the proxy."""
        self.proxy.forward(self, data, addr)


class UdpProxy(Emulator):
    """All links between relays, and the scheduled events that concern them; it also runs the TCP proxy."""

    def __init__(self, context: ProcessContext, part: int, parts: int) -> None:
        """`part` and `parts` are 0 and 1: one process has all links."""
        super().__init__(context)
        assert (part, parts) == (0, 1), "one process has all links between relays"
        relays = range(self.plan.relays)
        self.random = random.Random(self.plan.seed * 101 + 5)
        self.senders = {peer_address(relay): relay for relay in relays}
        zones = self.plan.zones
        self.links = {
            (one, other): Link(
                zone_delay=zones.one_way_delay(zones.zone_of_relay(one), zones.zone_of_relay(other))
            )
            for one in relays
            for other in relays
            if one != other
        }
        self.sockets = [ProxySocket(self, relay) for relay in relays]
        self.tcp_proxy = TcpProxy(context)
        self.bytes = [0] * self.plan.relays
        self.datagrams = [0] * self.plan.relays

    def open(self) -> None:
        """Starts to listen, before the relays start."""
        self.tcp_proxy.open()
        if not self.plan.peers_enabled:
            return
        for socket in self.sockets:
            self.reactor.listenUDP(
                self.port, socket, interface=peer_proxy_address(socket.relay), maxPacketSize=65536
            )

    def begin(self) -> None:
        """Sets timers for the scheduled events; called at the start of the run."""
        self.tcp_proxy.begin()
        for event in self.plan.events:
            if event.target == "lane":
                self.timers.after(event.at - self.now(), self._apply, event)

    def _apply(self, event: ScheduledEvent) -> None:
        link = self.links[event.index, event.relay]
        if event.action == "cut":
            link.cut = bool(event.size)
        elif event.action == "delay":
            link.delay = int(event.size * SECOND)
            link.reordered = 0.1 if event.size else 0.0
        else:
            setattr(link, event.action, event.size)

    def forward(self, socket: ProxySocket, data: bytes, addr: Any) -> None:
        """Forwards a datagram to the socket's relay, or drops it, as the link from its sender requires."""
        sender = self.senders.get(addr[0])
        if sender is None or sender == socket.relay:
            return
        self.bytes[sender] += len(data)
        self.datagrams[sender] += 1
        link = self.links[sender, socket.relay]
        rng = self.random
        if link.cut or rng.random() < link.loss:
            return
        if link.rate:
            link.free_at = max(link.free_at, self.now()) + int(len(data) * SECOND / link.rate)
            if link.free_at - self.now() > MAX_QUEUE_DELAY:
                link.free_at -= int(len(data) * SECOND / link.rate)
                return
        for _ in range(2 if rng.random() < link.twice else 1):
            delay = (
                link.zone_delay
                + link.delay
                + (rng.randrange(REORDER_DELAY) if rng.random() < link.reordered else 0)
            )
            if link.rate:
                delay += link.free_at - self.now()
            if delay:
                self.timers.after(delay, self._send, socket, data)
            else:
                self._send(socket, data)

    def _send(self, socket: ProxySocket, data: bytes) -> None:
        if socket.transport is not None:
            socket.transport.write(data, (peer_address(socket.relay), self.port))

    def summary(self) -> dict[str, Any]:
        """Returns the progress that the worker reports every second."""
        return {"datagrams": sum(self.datagrams)}

    def close(self) -> None:
        """Logs the traffic of each relay at the end of the run."""
        for relay, (size, count) in enumerate(zip(self.bytes, self.datagrams, strict=True)):
            self.event_log.write(PeerTraffic(relay, size, count))
