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
MAX_RELAYS, MAX_BOXES = 2000, 2000
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


class BoxSettings(
    msgspec.Struct,
    frozen=True,
    rename={
        "message_time": "message",
        "setup_time": "setup",
        "max_backlog": "queue",
        "report_interval": "refresh",
        "report_delay": "behind",
        "warmup_duration": "warm_within",
        "overload_multiple": "fall_multiple",
        "overload_duration": "fall_span",
        "restart_delay": "fallen_for",
    },
):
    """How every box works; times in ns."""

    message_time: int  # a message's time on an idle core of speed 1.0
    setup_time: int  # work of a new connection, on one core of speed 1.0
    round_trip: int  # what a setup takes beside that work
    max_backlog: int  # of work, past which a new connection is turned away
    report_interval: int  # how often the report is made anew
    report_delay: int  # how late a report is
    cold_from: float
    warmup_duration: int
    overload_multiple: float
    overload_duration: int
    restart_delay: int
    move_after: int  # a draining box sends its clients away from then on


class ScheduledEvent(
    msgspec.Struct, frozen=True, rename={"target": "who", "action": "what", "index": "which"}
):
    """One thing that the schedule has happen. Who plays it follows from `who`."""

    at: int
    target: str  # box, list, relay, clients, lane, way
    action: str
    index: int = -1
    size: float = 0.0
    relay: int = -1


class ZoneLayout(
    msgspec.Struct, frozen=True, rename={"zone_delay": "between_zones", "region_delay": "between_regions"}
):
    """How far zones are from each other; one way, in ns. Relays and boxes are in one each, clients may be."""

    names: tuple[str, ...]
    regions: int = 1
    zone_delay: int = 0  # of one region
    region_delay: int = 0
    home: bool = False  # clients have a zone, and are dealt to its relays while any is there

    def zone_of_relay(self, relay: int) -> str:
        return self.names[relay % len(self.names)]

    def region_of_zone(self, zone: str) -> int:
        return self.names.index(zone) * self.regions // len(self.names)

    def one_way_delay(self, one: str, other: str) -> int:
        if one == other or not (self.zone_delay or self.region_delay):
            return 0
        return (
            self.zone_delay if self.region_of_zone(one) == self.region_of_zone(other) else self.region_delay
        )


class ClientSettings(
    msgspec.Struct,
    frozen=True,
    rename={
        "arrival_rate": "rate",
        "initial_clients": "standing",
        "ramp_up": "ramp",
        "mean_lifetime": "life",
        "message_interval": "line_every",
        "max_retries": "retries",
        "return_delay": "come_back",
        "key_count": "keys",
        "health_check_interval": "front_every",
        "health_check_timeout": "front_after",
    },
):
    """How every client behaves; times in ns."""

    arrival_rate: float  # newcomers a second, all processes together
    initial_clients: int  # come within `ramp` at the start
    ramp_up: int
    mean_lifetime: int  # mean
    message_interval: int
    max_retries: int
    backoff: int
    return_delay: int  # after the last retry
    key_count: int
    health_check_interval: int  # how often the front asks a relay for its PONG
    health_check_timeout: int  # how long a relay must be silent to be taken out


class Plan(
    msgspec.Struct,
    frozen=True,
    rename={
        "measured_from": "judged_from",
        "box_settings": "box_terms",
        "client_settings": "client_terms",
        "events": "acts",
        "proxied_relays": "on_ways",
    },
):
    """One run, whole. Equal scenario, sizes and seed give an equal plan."""

    scenario: str
    seed: int
    seconds: float
    measured_from: float  # service counts from here on; the rules count throughout
    relays: int
    boxes: tuple[BoxPlan, ...]
    profiles: tuple[ProfilePlan, ...]
    box_settings: BoxSettings
    client_settings: ClientSettings
    events: tuple[ScheduledEvent, ...]
    faults: tuple[tuple[str, float, float], ...]  # name, from, to in seconds: for the report alone
    drain_grace: int
    sockets: int
    memory_mb: int
    settings: dict[str, Any]
    zones: ZoneLayout
    operator: dict[str, Any] = {}  # the relays' operator file, whole; empty: they have none

    proxied_relays: tuple[int, ...] = ()  # relays whose connections pass the ways, as a fault is about those

    @property
    def peers_enabled(self) -> bool:
        return bool(self.operator) and self.operator["peers"]["on"]


class ProcessSpec(msgspec.Struct, frozen=True, rename={"event_log": "book"}):
    """What one process of the run is told: the plan, its part of it, and when and where."""

    plan: Plan
    role: str  # boxes, clients
    part: int  # of `parts` processes of this role
    parts: int
    port: int
    begin: int  # monotonic ns of the run's start
    begin_unix_ms: int
    event_log: str  # path of its book


def _loopback(net: int, number: int) -> str:
    """The address with this number in 127.NET.0.0/16 and the networks behind it."""
    over, rest = divmod(number, HOSTS_PER_NET)
    return f"127.{net + over}.{rest >> 8}.{rest & 255}"


def box_address(box: int, relay: int) -> str:
    return _loopback(BOX_NET, relay * MAX_BOXES + box)


def relay_address(relay: int) -> str:
    return _loopback(RELAY_NET, relay + 1)


def peer_address(relay: int) -> str:
    """Where a relay's peers' socket is; the lane before it is what the others are told."""
    return _loopback(PEER_NET, relay + 1)


def peer_proxy_address(relay: int) -> str:
    return _loopback(PEER_LANE_NET, relay + 1)


def box_proxy_address(box: int, relay: int) -> str:
    """Where a relay on the ways is told that the box is."""
    return _loopback(WAY_NET, relay * MAX_BOXES + box)


def discovery_proxy_address(relay: int) -> str:
    return _loopback(DISCOVERY_WAY_NET, relay + 1)


def membership_sampler_address() -> str:
    return "127.12.0.1"


def discovery_address(relay: int) -> str:
    return _loopback(DISCOVERY_NET, relay + 1)
