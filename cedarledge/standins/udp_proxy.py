"""The ways between relays: each datagram passes here, and is lost, late, doubled or out of order as the
schedule has it.

A relay's peers find it at an address of this process; whoever sends there is known by where he sends from.
So a way can be broken in one direction alone, with no firewall and no rights.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from cedarledge.standins.event_log import PeerTraffic
from cedarledge.standins.plan import ScheduledEvent, peer_address, peer_proxy_address
from cedarledge.standins.process_context import Player, ProcessContext
from cedarledge.standins.tcp_proxy import Ways
from cedarledge.terms import MS, SECOND

# How far back one that is overtaken is held.
HELD = 200 * MS
# What waits longer than this for a slow way is dropped, as by a router.
QUEUED = 300 * MS


class Way(msgspec.Struct):
    """One direction between two relays."""

    cut: bool = False
    loss: float = 0.0
    delay: int = 0
    twice: float = 0.0
    overtaken: float = 0.0
    rate: float = 0.0  # bytes a second; 0: as they come
    free_at: int = 0  # by the rate
    far: int = 0  # between zones


class Door(DatagramProtocol):
    """Where the others reach one relay."""

    def __init__(self, lanes: Lanes, relay: int) -> None:
        self.lanes = lanes
        self.relay = relay

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        self.lanes.carry(self, data, addr)


class Lanes(Player):
    """All of them, and the schedule's acts on them."""

    def __init__(self, stage: ProcessContext, part: int, parts: int) -> None:
        super().__init__(stage)
        assert (part, parts) == (0, 1), "one process has all ways between relays"
        relays = range(self.plan.relays)
        self.chance = random.Random(self.plan.seed * 101 + 5)
        self.senders = {peer_address(relay): relay for relay in relays}
        zones = self.plan.zones
        self.lanes = {
            (one, other): Way(far=zones.one_way_delay(zones.zone_of_relay(one), zones.zone_of_relay(other)))
            for one in relays
            for other in relays
            if one != other
        }
        self.doors = [Door(self, relay) for relay in relays]
        self.ways_to_others = Ways(stage)
        self.bytes = [0] * self.plan.relays
        self.datagrams = [0] * self.plan.relays

    def open(self) -> None:
        self.ways_to_others.open()
        if not self.plan.peers_enabled:
            return
        for door in self.doors:
            self.reactor.listenUDP(
                self.port, door, interface=peer_proxy_address(door.relay), maxPacketSize=65536
            )

    def begin(self) -> None:
        self.ways_to_others.begin()
        for act in self.plan.events:
            if act.target == "lane":
                self.timers.after(act.at - self.now(), self._played, act)

    def _played(self, act: ScheduledEvent) -> None:
        way = self.lanes[act.index, act.relay]
        if act.action == "cut":
            way.cut = bool(act.size)
        elif act.action == "delay":
            way.delay = int(act.size * SECOND)
            way.overtaken = 0.1 if act.size else 0.0
        else:
            setattr(way, act.action, act.size)

    def carry(self, door: Door, data: bytes, addr: Any) -> None:
        sender = self.senders.get(addr[0])
        if sender is None or sender == door.relay:
            return
        self.bytes[sender] += len(data)
        self.datagrams[sender] += 1
        way = self.lanes[sender, door.relay]
        chance = self.chance
        if way.cut or chance.random() < way.loss:
            return
        if way.rate:
            way.free_at = max(way.free_at, self.now()) + int(len(data) * SECOND / way.rate)
            if way.free_at - self.now() > QUEUED:
                way.free_at -= int(len(data) * SECOND / way.rate)
                return
        for _ in range(2 if chance.random() < way.twice else 1):
            delay = way.far + way.delay + (chance.randrange(HELD) if chance.random() < way.overtaken else 0)
            if way.rate:
                delay += way.free_at - self.now()
            if delay:
                self.timers.after(delay, self._pass_on, door, data)
            else:
                self._pass_on(door, data)

    def _pass_on(self, door: Door, data: bytes) -> None:
        if door.transport is not None:
            door.transport.write(data, (peer_address(door.relay), self.port))

    def summary(self) -> dict[str, Any]:
        return {"datagrams": sum(self.datagrams)}

    def close(self) -> None:
        for relay, (size, count) in enumerate(zip(self.bytes, self.datagrams, strict=True)):
            self.book.write(PeerTraffic(relay, size, count))
