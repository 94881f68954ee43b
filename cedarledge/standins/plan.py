"""The plan of a run: plain values that the rig sends to its worker processes as JSON.

Times are whole ns after the start of the run, unless a field says otherwise. Boxes, relays and profiles are
indices into the plan's tables. Fields keep their JSON names by `rename`.
"""

from __future__ import annotations

from typing import Any

import msgspec

# The second byte of the loopback addresses that emulators and relays listen on. Every box has an address for
# each relay, so that traffic can be attributed to a relay, and a relay can be partitioned from a box, without
# trusting what the relay reports: the addresses of the first relay's boxes begin at 127.20.0.0, those of the
# second relay follow. Each relay has one address, and discovery has one for each relay.
DISCOVERY = -1  # stands for discovery where a box index is expected
RELAY_NET, DISCOVERY_NET, PEER_NET, PEER_PROXY_NET, DISCOVERY_PROXY_NET = 8, 9, 10, 11, 13
BOX_NET, BOX_PROXY_NET = 20, 100
MAX_RELAYS, MAX_BOXES = 2000, 2000
HOSTS_PER_NET = 1 << 16
# A box that restarts at another address under its old id listens this many ports further on.
RELOCATED_PORT_OFFSET = 1
# Connection ids of misbehaving clients begin with this. A box that sees one has received a request that the
# relay should have refused.
INVALID_ID_PREFIX = "x-bad-"


class ProfilePlan(msgspec.Struct, frozen=True):
    """One request class: how its clients behave, what they expect, and what the relay is configured with."""

    name: str
    share: float  # of all clients
    effect: str  # as in the settings: pure, token, side_effect
    group: str  # scope of deduplication: all, zone, cell
    window: int  # of deduplication
    setup_goal: int
    client_timeout: int
    message_goal: int
    credit: float  # value of a served second
    load: float  # cores that an open connection keeps busy


class BoxPlan(msgspec.Struct, frozen=True):
    """One emulated backend."""

    name: str
    cell: int
    zone: str
    kind: str
    cores: float
    speed: float  # of one core; 1.0 is the nominal speed
    cap: int  # most connections
    at_start: bool  # in the list from the start of the run


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
    """Parameters that all boxes share; durations in ns."""

    message_time: int  # processor time of a message on an idle core of speed 1.0
    setup_time: int  # processor time of a new connection on a core of speed 1.0
    round_trip: int  # fixed part of a connection's setup time, beside the processor time
    max_backlog: int  # of work; with more, new connections are rejected
    report_interval: int  # how often the load report is updated
    report_delay: int  # age of a load report when it is sent
    cold_from: float  # share of its capacity that a box has right after its start
    warmup_duration: int
    overload_multiple: float  # load over capacity at which a cold box is overloaded
    overload_duration: int  # time at that load after which the box fails
    restart_delay: int  # from such a failure to the restart
    move_after: int  # from the start of a drain until the box sends MOVE to its clients


class ScheduledEvent(
    msgspec.Struct, frozen=True, rename={"target": "who", "action": "what", "index": "which"}
):
    """One event of the schedule. `target` decides which emulator, or the rig, carries it out."""

    at: int
    target: str  # box, list, relay, clients, lane, way
    action: str
    index: int = -1
    size: float = 0.0
    relay: int = -1


class ZoneLayout(
    msgspec.Struct, frozen=True, rename={"zone_delay": "between_zones", "region_delay": "between_regions"}
):
    """Zones and the one-way delay between them in ns. Each relay and box is in one zone, clients may be."""

    names: tuple[str, ...]
    regions: int = 1
    zone_delay: int = 0  # between zones of one region
    region_delay: int = 0
    home: bool = False  # clients have a zone, and are sent to relays of that zone while one is available

    def zone_of_relay(self, relay: int) -> str:
        """Returns the zone of a relay; relays are spread over the zones in turn."""
        return self.names[relay % len(self.names)]

    def region_of_zone(self, zone: str) -> int:
        """Returns the index of a zone's region; each region has consecutive zones."""
        return self.names.index(zone) * self.regions // len(self.names)

    def one_way_delay(self, one: str, other: str) -> int:
        """Returns the delay between two zones in ns."""
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
    """Behaviour that all clients share; durations in ns."""

    arrival_rate: float  # new clients a second, in all processes together
    initial_clients: int  # arrive within `ramp_up` at the start
    ramp_up: int
    mean_lifetime: int
    message_interval: int
    max_retries: int
    backoff: int
    return_delay: int  # after the last retry
    key_count: int
    health_check_interval: int  # between two PINGs of the client-side balancer to a relay
    health_check_timeout: int  # without a PONG for this long a relay gets no new clients


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
    """The complete plan of a run. The same scenario, sizes and seed give the same plan."""

    scenario: str
    seed: int
    seconds: float
    measured_from: float  # in s; the served share is measured from here on, rules are checked throughout
    relays: int
    boxes: tuple[BoxPlan, ...]
    profiles: tuple[ProfilePlan, ...]
    box_settings: BoxSettings
    client_settings: ClientSettings
    events: tuple[ScheduledEvent, ...]
    faults: tuple[tuple[str, float, float], ...]  # name, start and end in s; for the report only
    drain_grace: int
    sockets: int
    memory_mb: int
    settings: dict[str, Any]
    zones: ZoneLayout
    operator: dict[str, Any] = {}  # content of the relays' operator file; empty: they have none

    # Relays whose connections go through the TCP proxy: those that a fault of connections or a zone delay
    # concerns.
    proxied_relays: tuple[int, ...] = ()

    @property
    def peers_enabled(self) -> bool:
        """Whether the relays take part in membership."""
        return bool(self.operator) and self.operator["peers"]["on"]


class ProcessSpec(msgspec.Struct, frozen=True, rename={"event_log": "book"}):
    """What one worker process gets on standard input: the plan, its role and part, and the start of the
    run."""

    plan: Plan
    role: str  # boxes, clients, lanes
    part: int  # of `parts` processes of this role
    parts: int
    port: int
    begin: int  # monotonic ns of the start of the run
    begin_unix_ms: int
    event_log: str  # path


def _loopback(net: int, number: int) -> str:
    """Returns the address with this number in 127.NET.0.0/16 and the networks that follow it."""
    over, rest = divmod(number, HOSTS_PER_NET)
    return f"127.{net + over}.{rest >> 8}.{rest & 255}"


def box_address(box: int, relay: int) -> str:
    """Returns the address at which a box serves one relay."""
    return _loopback(BOX_NET, relay * MAX_BOXES + box)


def relay_address(relay: int) -> str:
    """Returns the address at which a relay serves clients."""
    return _loopback(RELAY_NET, relay + 1)


def peer_address(relay: int) -> str:
    """Returns the address of a relay's membership socket; other relays only know the proxy in front of it."""
    return _loopback(PEER_NET, relay + 1)


def peer_proxy_address(relay: int) -> str:
    """Returns the address of the UDP proxy in front of a relay's membership socket."""
    return _loopback(PEER_PROXY_NET, relay + 1)


def box_proxy_address(box: int, relay: int) -> str:
    """Returns the address of the TCP proxy between a relay and a box."""
    return _loopback(BOX_PROXY_NET, relay * MAX_BOXES + box)


def discovery_proxy_address(relay: int) -> str:
    """Returns the address of the TCP proxy between a relay and discovery."""
    return _loopback(DISCOVERY_PROXY_NET, relay + 1)


def membership_sampler_address() -> str:
    """Returns the address from which the rig asks relays for their view of the members."""
    return "127.12.0.1"


def discovery_address(relay: int) -> str:
    """Returns the address at which discovery serves one relay."""
    return _loopback(DISCOVERY_NET, relay + 1)
