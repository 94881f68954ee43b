"""The schema of scenario files, which are validated into immutable values.

Times are in seconds unless a name ends in `_ms`. Field names are the keys of the files.
"""

from __future__ import annotations

import contextlib
from importlib.resources import files
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cedarledge.operator.file import OperatorFile
from cedarledge.operator.tables import BadFileError, read_raw, read_tables
from cedarledge.standins.plan import MAX_BOXES, MAX_RELAYS

Fraction = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
FaultKind = Literal[
    "slow",
    "hang",
    "errors",
    "neighbour",
    "hot_key",
    "crash",
    "drain",
    "grow",
    "late_list",
    "no_list",
    "lying_list",
    "partition",
    "kill",
    "roll",
    "storm",
    "rude",
    "elsewhere",
    "late_up",
    "frozen",
    "pause",
    "die_again",
    "zone_lost",
    "double",
    "peers_cut",
    "peers_one_way",
    "peers_deaf",
    "peers_loss",
    "peers_delay",
    "peers_twice",
    "peers_rate",
    "way_cut",
    "way_one_way",
    "way_delay",
    "way_loss",
    "way_rate",
    "way_stall",
    "way_unread",
    "clock_step",
    "signals",
    "system_calls",
]
# Fault kinds whose boxes restart without state.
RESTARTING_KINDS = frozenset(("crash", "drain", "elsewhere"))


class Fault(msgspec.Struct, frozen=True):
    """One injected fault: its kind, time, duration, extent and magnitude."""

    kind: FaultKind
    start: NonNegative
    length: Positive = 8.0
    share: Fraction = 0.25  # of the boxes, relays or clients that the kind affects
    # One value, or a range to draw from.
    size: Annotated[tuple[float, ...], Meta(min_length=1, max_length=2)] = (1.0,)
    reach: Fraction = 0.3  # share of the boxes whose links to the affected relays have the fault
    to: Literal["boxes", "list"] = "boxes"  # which links of the relays, for the `way_` kinds
    period: NonNegative = 0.0  # the fault alternates, on for half a period and off for half; 0: always on


class Profile(msgspec.Struct, frozen=True):
    """One request class: how its clients behave and what they expect of the relay."""

    name: Annotated[str, Meta(min_length=1, max_length=60, pattern="^[a-z0-9-]+$")]
    share: Positive  # of all clients, relative to the other profiles
    effect: Literal["pure", "token", "side_effect"] = "pure"
    group: Literal["all", "zone", "cell"] = "all"
    window: Positive = 2.0
    setup_goal: Positive = 0.3
    client_timeout: Annotated[float, Meta(ge=0.2, le=10)] = 1.5
    message_goal: Positive = 0.15
    credit: NonNegative = 1.0
    weight: Positive = 1.0  # load of an open connection, relative to the other profiles


PROFILES = (
    Profile("live", 0.30, credit=3.0, client_timeout=1.2),
    Profile("map", 0.28, credit=1.0, client_timeout=1.2, weight=1.4),
    Profile("state", 0.22, effect="token", credit=2.0, setup_goal=0.8, client_timeout=3.0),
    Profile("booking", 0.20, effect="side_effect", credit=2.0, setup_goal=0.8, client_timeout=3.0),
)


class Clients(msgspec.Struct, frozen=True):
    """Behaviour of all clients."""

    line_every: Positive = 1.0  # interval of a client's messages
    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    backoff: NonNegative = 0.1
    come_back: Positive = 3.0  # mean delay until a client returns after its last retry
    keys: Annotated[int, Meta(ge=1)] = 400  # number of distinct keys


class BoxKind(msgspec.Struct, frozen=True):
    """One type of emulated backend."""

    name: str
    share: Positive  # of all boxes, relative to the other types
    cores: Positive = 2.0
    speed: Positive = 1.0  # of one core
    spread: Fraction = 0.1  # speeds vary by up to this share within the type
    cap: Annotated[int, Meta(ge=1)] = 1500  # most open connections


class Boxes(msgspec.Struct, frozen=True):
    """Behaviour of all boxes. A cold box that is overloaded for too long fails and restarts."""

    message_ms: Positive = 8.0  # processing time of a message on an idle core of speed 1
    setup_ms: Positive = 4.0  # work of a new connection on one core of speed 1
    round_trip_ms: NonNegative = 2.0  # time of a setup on top of its work
    queue_s: Positive = 1.0  # backlog of work beyond which new connections are rejected
    refresh_s: Positive = 0.8  # interval of load reports
    behind_s: NonNegative = 0.2  # delay of load reports
    cold_from: Fraction = 0.35  # share of its capacity that a box has right after its start
    warm_within_s: Positive = 8.0  # until it has its full capacity
    fall_multiple: Positive = 3.0  # a cold box fails if the load is this multiple of its capacity
    fall_span_s: Positive = 1.5  # for this long
    fallen_for_s: Positive = 3.0  # and restarts after this time
    move_after_s: Positive = 6.0  # from the start of a drain until the box sends its clients away
    per_cell: Annotated[int, Meta(ge=1)] = 6  # boxes
    zones: Annotated[int, Meta(ge=1, le=16)] = 2
    kind: tuple[BoxKind, ...] = (BoxKind("full", 0.67), BoxKind("lite", 0.33, speed=0.6))


class Zones(msgspec.Struct, frozen=True):
    """Round-trip times between the zones that `box.zones` counts."""

    regions: Annotated[int, Meta(ge=1, le=16)] = 1
    trip_ms: Annotated[float, Meta(ge=0, le=1000)] = 0.0
    region_trip_ms: Annotated[float, Meta(ge=0, le=1000)] = 0.0
    home: bool = False  # each client has a home zone and prefers its relays


class Scenario(msgspec.Struct, frozen=True):
    """The contents of one scenario file."""

    title: Annotated[str, Meta(min_length=1)]
    about: str = ""
    name: str = ""
    seconds: Annotated[float, Meta(ge=4, le=3600)] = 24.0
    warm_up: NonNegative = 6.0  # service is measured from then on; rules are checked throughout
    relays: Annotated[int, Meta(ge=1, le=MAX_RELAYS)] = 2
    boxes: Annotated[int, Meta(ge=1, le=MAX_BOXES)] = 12
    rate: Positive = 30.0  # new clients per second
    life: Positive = 12.0  # mean time that a client stays
    load: Positive = 0.45  # of the fleet relative to its capacity, once all initial clients are connected
    drain_grace: Positive = 0.25
    sockets: Annotated[int, Meta(ge=128)] = 4096
    probes: bool = True
    profile: Annotated[tuple[Profile, ...], Meta(min_length=1)] = PROFILES
    clients: Clients = Clients()
    box: Boxes = Boxes()
    zones: Zones = Zones()
    fault: tuple[Fault, ...] = ()
    # Contents of each relay's operator file. If peers are on, the rig adds their addresses.
    operator: OperatorFile = OperatorFile()

    def __post_init__(self) -> None:
        """Checks constraints that involve several fields. Raises ValueError."""
        if self.warm_up >= self.seconds:
            raise ValueError(f"warm_up: {self.warm_up:g} s is not shorter than the run, {self.seconds:g} s")
        if self.zones.regions > self.box.zones:
            raise ValueError(f"zones.regions: {self.zones.regions} of {self.box.zones} zones")
        names = [profile.name for profile in self.profile]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"profile: {name!r} is defined twice")
        for number, fault in enumerate(self.fault):
            if fault.kind.startswith("peers_") and not self.operator.peers.on:
                raise ValueError(f"fault[{number}].kind: {fault.kind!r} is nothing without operator.peers.on")
            if fault.start >= self.seconds:
                raise ValueError(
                    f"fault[{number}].start: {fault.start:g} s is past the end, {self.seconds:g} s"
                )


def without_operator(scenario: Scenario) -> Scenario:
    """Returns the scenario without its operator file and without faults between peers, which need it."""
    return msgspec.structs.replace(
        scenario,
        operator=OperatorFile(),
        fault=tuple(fault for fault in scenario.fault if not fault.kind.startswith("peers_")),
    )


def shipped_scenarios() -> dict[str, Path]:
    """Returns the paths of the scenarios that come with the package, by name."""
    folder = Path(str(files("cedarledge.rig") / "scenarios"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def load_scenario(name_or_path: str) -> Scenario:
    """Returns a shipped scenario by its name, or one from a file. Raises BadFileError."""
    shipped = shipped_scenarios()
    path = shipped.get(name_or_path, Path(name_or_path))
    if name_or_path not in shipped and not path.exists():
        raise BadFileError(
            [f"{name_or_path}: no such file, and no scenario of that name; `rig list` shows the names"]
        )
    raw = read_raw(path)
    with contextlib.suppress(KeyError, TypeError, AttributeError):
        if raw["operator"]["peers"].get("on") is True:
            raw["operator"]["peers"] = {"fleet": "rig", "listen": "127.0.0.1:1"} | raw["operator"]["peers"]
    scenario = read_tables(raw, Scenario)
    return msgspec.structs.replace(scenario, name=scenario.name or path.stem)
