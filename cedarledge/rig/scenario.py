"""What a scenario file may say, checked into immutable values; times here are seconds."""

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

Share = Annotated[float, Meta(ge=0, le=1)]
Above = Annotated[float, Meta(gt=0)]
NotBelow = Annotated[float, Meta(ge=0)]
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
# Kinds whose boxes come back from nothing.
RESTARTS = frozenset(("crash", "drain", "elsewhere"))


class Fault(msgspec.Struct, frozen=True):
    """One trouble: when, for how long, on which part of the fleet, how bad."""

    kind: FaultKind
    start: NotBelow
    length: Above = 8.0
    share: Share = 0.25  # of the boxes, relays or clients it is about
    size: Annotated[tuple[float, ...], Meta(min_length=1, max_length=2)] = (1.0,)  # one figure, or a range
    reach: Share = 0.3  # of the boxes, on whose ways from those relays it is
    to: Literal["boxes", "list"] = "boxes"  # which ways, of those that go to no relay
    period: NotBelow = 0.0  # comes and goes: half of it on, half off; 0: on all the time


class Profile(msgspec.Struct, frozen=True):
    """One profile of clients."""

    name: Annotated[str, Meta(min_length=1, max_length=60, pattern="^[a-z0-9-]+$")]
    share: Above
    effect: Literal["pure", "token", "side_effect"] = "pure"
    group: Literal["all", "zone", "cell"] = "all"
    window: Above = 2.0
    setup_goal: Above = 0.3
    client_timeout: Annotated[float, Meta(ge=0.2, le=10)] = 1.5
    message_goal: Above = 0.15
    credit: NotBelow = 1.0
    weight: Above = 1.0  # load of an open connection, against the others


PROFILES = (
    Profile("live", 0.30, credit=3.0, client_timeout=1.2),
    Profile("map", 0.28, credit=1.0, client_timeout=1.2, weight=1.4),
    Profile("state", 0.22, effect="token", credit=2.0, setup_goal=0.8, client_timeout=3.0),
    Profile("booking", 0.20, effect="side_effect", credit=2.0, setup_goal=0.8, client_timeout=3.0),
)


class Clients(msgspec.Struct, frozen=True):
    """How clients behave."""

    line_every: Above = 1.0
    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    backoff: NotBelow = 0.1
    come_back: Above = 3.0
    keys: Annotated[int, Meta(ge=1)] = 400


class BoxKind(msgspec.Struct, frozen=True):
    """One kind of feed box."""

    name: str
    share: Above
    cores: Above = 2.0
    speed: Above = 1.0
    spread: Share = 0.1  # of speeds within the kind
    cap: Annotated[int, Meta(ge=1)] = 1500


class Boxes(msgspec.Struct, frozen=True):
    """How boxes work."""

    message_ms: Above = 8.0
    setup_ms: Above = 4.0
    round_trip_ms: NotBelow = 2.0
    queue_s: Above = 1.0
    refresh_s: Above = 0.8
    behind_s: NotBelow = 0.2
    cold_from: Share = 0.35
    warm_within_s: Above = 8.0
    fall_multiple: Above = 3.0
    fall_span_s: Above = 1.5
    fallen_for_s: Above = 3.0
    move_after_s: Above = 6.0
    per_cell: Annotated[int, Meta(ge=1)] = 6
    zones: Annotated[int, Meta(ge=1, le=16)] = 2
    kind: tuple[BoxKind, ...] = (BoxKind("full", 0.67), BoxKind("lite", 0.33, speed=0.6))


class Zones(msgspec.Struct, frozen=True):
    """How far the zones of `box.zones` are from each other. A trip goes there and back."""

    regions: Annotated[int, Meta(ge=1, le=16)] = 1
    trip_ms: Annotated[float, Meta(ge=0, le=1000)] = 0.0
    region_trip_ms: Annotated[float, Meta(ge=0, le=1000)] = 0.0
    home: bool = False  # clients have a home zone


class Scenario(msgspec.Struct, frozen=True):
    """One scenario file."""

    title: Annotated[str, Meta(min_length=1)]
    about: str = ""
    name: str = ""
    seconds: Annotated[float, Meta(ge=4, le=3600)] = 24.0
    warm_up: NotBelow = 6.0  # service counts from then on; the rules count throughout
    relays: Annotated[int, Meta(ge=1, le=MAX_RELAYS)] = 2
    boxes: Annotated[int, Meta(ge=1, le=MAX_BOXES)] = 12
    rate: Above = 30.0  # newcomers a second
    life: Above = 12.0  # mean seconds that a client stays
    load: Above = 0.45  # asked of the fleet over what it can do, with everybody there
    drain_grace: Above = 0.25
    sockets: Annotated[int, Meta(ge=128)] = 4096
    probes: bool = True
    profile: Annotated[tuple[Profile, ...], Meta(min_length=1)] = PROFILES
    clients: Clients = Clients()
    box: Boxes = Boxes()
    zones: Zones = Zones()
    fault: tuple[Fault, ...] = ()
    # The operator file of each relay; where peers are on the rig fills in their addresses.
    operator: OperatorFile = OperatorFile()

    def __post_init__(self) -> None:
        if self.warm_up >= self.seconds:
            raise ValueError(f"warm_up: {self.warm_up:g} s leave nothing of {self.seconds:g} s")
        if self.zones.regions > self.box.zones:
            raise ValueError(f"zones.regions: {self.zones.regions} of {self.box.zones} zones")
        names = [profile.name for profile in self.profile]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"profile: {name!r} is there twice")
        for number, fault in enumerate(self.fault):
            if fault.kind.startswith("peers_") and not self.operator.peers.on:
                raise ValueError(f"fault[{number}].kind: {fault.kind!r} is nothing without operator.peers.on")
            if fault.start >= self.seconds:
                raise ValueError(
                    f"fault[{number}].start: {fault.start:g} s is past the end, {self.seconds:g} s"
                )


def without_operator(scenario: Scenario) -> Scenario:
    """The same with nothing on; faults on ways that are not there then are left out."""
    return msgspec.structs.replace(
        scenario,
        operator=OperatorFile(),
        fault=tuple(fault for fault in scenario.fault if not fault.kind.startswith("peers_")),
    )


def shipped_scenarios() -> dict[str, Path]:
    """The scenarios that come with the package, by name."""
    folder = Path(str(files("cedarledge.rig") / "scenarios"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def load_scenario(name_or_path: str) -> Scenario:
    """A shipped scenario by its name, or a file. Raises BadFileError."""
    known = shipped_scenarios()
    path = known.get(name_or_path, Path(name_or_path))
    if name_or_path not in known and not path.exists():
        raise BadFileError(
            [f"{name_or_path}: no such file, and no scenario of that name; `rig list` has them"]
        )
    raw = read_raw(path)
    with contextlib.suppress(KeyError, TypeError, AttributeError):
        if raw["operator"]["peers"].get("on") is True:
            raw["operator"]["peers"] = {"fleet": "rig", "listen": "127.0.0.1:1"} | raw["operator"]["peers"]
    scenario = read_tables(raw, Scenario)
    return msgspec.structs.replace(scenario, name=scenario.name or path.stem)
