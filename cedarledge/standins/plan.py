"""What a run of the stand-in fleet consists of: plain values that go from the rig to its processes as JSON.

Times are whole ns after the run's start; boxes, relays and profiles are indices into the plan's tables.
"""

from __future__ import annotations

from typing import Any

import msgspec

# Where the stand-ins listen. Every box has an address for each relay, so that what a relay does, and whether
# it is cut off from a box, can be told without trusting what it says: from 127.20.0.0 on those of the first
# relay's boxes, behind them the second's. Relays and discovery have one address each.
LIST = -1  # in a box's place: discovery
RELAY_NET, DISCOVERY_NET, PEER_NET, PEER_LANE_NET, DISCOVERY_WAY_NET = 8, 9, 10, 11, 13
BOX_NET, WAY_NET = 20, 100
MOST_RELAYS, MOST_BOXES = 2000, 2000
HOSTS_PER_NET = 1 << 16
# A box that comes back elsewhere under its old id listens this many ports further on.
OTHER_PORT = 1
# The id of a tunnel that no usual client sent begins so: a box that sees one was sent what no client may
# send.
BAD_ID = "x-bad-"


class ProfilePlan(msgspec.Struct, frozen=True):
    """One profile: how its clients behave, what they ask for, and what the relay is told of it."""

    name: str
    share: float  # of all clients
    effect: str  # as the settings name it: pure, token, side_effect
    group: str  # all, zone, cell
    window: int
    setup_goal: int
    client_timeout: int
    message_goal: int
    credit: float
    load: float  # cores that an open connection keeps busy


class BoxPlan(msgspec.Struct, frozen=True):
    """One feed box."""

    name: str
    cell: int
    zone: str
    kind: str
    cores: float
    speed: float  # of one core, 1.0 usual
    cap: int  # connections
    at_start: bool  # part of the list from the beginning


class BoxTerms(msgspec.Struct, frozen=True):
    """How every box works; times in ns."""

    message: int  # a message's time on an idle core of speed 1.0
    setup: int  # work of a new connection, on one core of speed 1.0
    round_trip: int  # what a setup takes beside that work
    queue: int  # of work, past which a new connection is turned away
    refresh: int  # how often the report is made anew
    behind: int  # how late a report is
    cold_from: float
    warm_within: int
    fall_multiple: float
    fall_span: int
    fallen_for: int
    move_after: int  # a draining box sends its clients away from then on


class Act(msgspec.Struct, frozen=True):
    """One thing that the schedule has happen. Who plays it follows from `who`."""

    at: int
    who: str  # box, list, relay, clients, lane, way
    what: str
    which: int = -1
    size: float = 0.0
    relay: int = -1


class ZoneTerms(msgspec.Struct, frozen=True):
    """How far zones are from each other; one way, in ns. Relays and boxes are in one each, clients may be."""

    names: tuple[str, ...]
    regions: int = 1
    between_zones: int = 0  # of one region
    between_regions: int = 0
    home: bool = False  # clients have a zone, and are dealt to its relays while any is there

    def of_relay(self, relay: int) -> str:
        return self.names[relay % len(self.names)]

    def region(self, zone: str) -> int:
        return self.names.index(zone) * self.regions // len(self.names)

    def one_way(self, one: str, other: str) -> int:
        if one == other or not (self.between_zones or self.between_regions):
            return 0
        return self.between_zones if self.region(one) == self.region(other) else self.between_regions


class ClientTerms(msgspec.Struct, frozen=True):
    """How every client behaves; times in ns."""

    rate: float  # newcomers a second, all processes together
    standing: int  # come within `ramp` at the start
    ramp: int
    life: int  # mean
    line_every: int
    retries: int
    backoff: int
    come_back: int  # after the last retry
    keys: int
    front_every: int  # how often the front asks a relay for its PONG
    front_after: int  # how long a relay must be silent to be taken out


class Plan(msgspec.Struct, frozen=True):
    """One run, whole. Equal scenario, sizes and seed give an equal plan."""

    scenario: str
    seed: int
    seconds: float
    judged_from: float  # service counts from here on; the rules count throughout
    relays: int
    boxes: tuple[BoxPlan, ...]
    profiles: tuple[ProfilePlan, ...]
    box_terms: BoxTerms
    client_terms: ClientTerms
    acts: tuple[Act, ...]
    faults: tuple[tuple[str, float, float], ...]  # name, from, to in seconds: for the report alone
    drain_grace: int
    sockets: int
    memory_mb: int
    settings: dict[str, Any]
    zones: ZoneTerms
    operator: dict[str, Any] = {}  # the relays' operator file, whole; empty: they have none

    on_ways: tuple[int, ...] = ()  # relays whose connections pass the ways, as a fault is about those

    @property
    def peers(self) -> bool:
        return bool(self.operator) and self.operator["peers"]["on"]


class Post(msgspec.Struct, frozen=True):
    """What one process of the run is told: the plan, its part of it, and when and where."""

    plan: Plan
    role: str  # boxes, clients
    part: int  # of `parts` processes of this role
    parts: int
    port: int
    begin: int  # monotonic ns of the run's start
    begin_unix_ms: int
    book: str  # path of its book


def _loopback(net: int, number: int) -> str:
    """The address with this number in 127.NET.0.0/16 and the networks behind it."""
    over, rest = divmod(number, HOSTS_PER_NET)
    return f"127.{net + over}.{rest >> 8}.{rest & 255}"


def box_address(box: int, relay: int) -> str:
    return _loopback(BOX_NET, relay * MOST_BOXES + box)


def relay_address(relay: int) -> str:
    return _loopback(RELAY_NET, relay + 1)


def peer_address(relay: int) -> str:
    """Where a relay's peers' socket is; the lane before it is what the others are told."""
    return _loopback(PEER_NET, relay + 1)


def peer_lane_address(relay: int) -> str:
    return _loopback(PEER_LANE_NET, relay + 1)


def box_way_address(box: int, relay: int) -> str:
    """Where a relay on the ways is told that the box is."""
    return _loopback(WAY_NET, relay * MOST_BOXES + box)


def discovery_way_address(relay: int) -> str:
    return _loopback(DISCOVERY_WAY_NET, relay + 1)


def asker_address() -> str:
    return "127.12.0.1"


def discovery_address(relay: int) -> str:
    return _loopback(DISCOVERY_NET, relay + 1)
