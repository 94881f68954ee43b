"""What a file for `cedarledge scale run` may say, checked into immutable values; times are seconds."""

from __future__ import annotations

from importlib.resources import files
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from cedarledge.operator.tables import BadFileError, read_file

Sizes = Annotated[tuple[Annotated[int, Meta(ge=2, le=5000)], ...], Meta(max_length=16)]
Span = Annotated[float, Meta(ge=1, le=600)]
Seeds = Annotated[int, Meta(ge=1, le=100)]


class MembershipPart(msgspec.Struct, frozen=True):
    """Members in virtual time."""

    sizes: Sizes = ()
    seeds: Seeds = 2
    calm_s: Span = 15.0
    loss: Annotated[float, Meta(ge=0, le=0.5)] = 0.0
    changing: bool = True  # records change all the time, as connections come and go
    most_samples_over: Annotated[int, Meta(ge=2)] = 460  # above this size one seed is played


class ViewPart(msgspec.Struct, frozen=True):
    """Memory of one member's view."""

    sizes: Sizes = ()


class QuorumPart(msgspec.Struct, frozen=True):
    """Decisions of the voting register."""

    voters: Annotated[tuple[Annotated[int, Meta(ge=3, le=7)], ...], Meta(max_length=3)] = ()
    seeds: Seeds = 5
    decisions: Annotated[int, Meta(ge=1, le=10_000)] = 100
    delay_ms: Annotated[float, Meta(ge=0, le=1000)] = 1.0
    loss: Annotated[float, Meta(ge=0, le=0.5)] = 0.0

    def __post_init__(self) -> None:
        for count in self.voters:
            if count % 2 == 0:
                raise ValueError(f"voters: 3, 5 or 7, got {count}")


class ProbingPart(msgspec.Struct, frozen=True):
    """The policy's probes; relays grow before `fixed_backends`, backends under `fixed_relays`."""

    relays: Sizes = ()
    backends: Sizes = ()
    fixed_relays: Annotated[int, Meta(ge=1, le=5000)] = 460
    fixed_backends: Annotated[int, Meta(ge=1, le=5000)] = 100
    seeds: Seeds = 3
    calm_s: Span = 60.0


class HollowPart(msgspec.Struct, frozen=True):
    """Relays without clients on loopback sockets."""

    sizes: Sizes = ()
    processes: Annotated[int, Meta(ge=1, le=32)] = 6
    backends: Annotated[int, Meta(ge=1, le=5000)] = 24
    start_s: Span = 1.0  # all start within this
    settle_s: Span = 10.0  # from the first start to the calm span
    settle_s_per_member: Annotated[float, Meta(ge=0, le=1)] = 0.1
    calm_s: Span = 15.0
    change_s: Span = 20.0  # how long a change is waited for
    repeats: Seeds = 1


class ComparePart(msgspec.Struct, frozen=True):
    """Hollow relays against relay processes, at small sizes."""

    sizes: Annotated[tuple[Annotated[int, Meta(ge=2, le=32)], ...], Meta(max_length=4)] = ()
    repeats: Seeds = 2
    backends: Annotated[int, Meta(ge=1, le=64)] = 8
    settle_s: Span = 12.0
    calm_s: Span = 15.0


class RelayPart(msgspec.Struct, frozen=True):
    """One relay process with clients: connections at rest, and lines delivered a second."""

    connections: Annotated[tuple[Annotated[int, Meta(ge=10, le=9000)], ...], Meta(max_length=16)] = ()
    deliveries: Annotated[tuple[Annotated[int, Meta(ge=10, le=20_000)], ...], Meta(max_length=16)] = ()
    connections_for_deliveries: Annotated[int, Meta(ge=10, le=9000)] = 1000
    line_bytes: Annotated[int, Meta(ge=32, le=4000)] = 120
    backends: Annotated[int, Meta(ge=1, le=64)] = 8
    settle_s: Annotated[float, Meta(ge=0, le=60)] = 3.0
    calm_s: Span = 10.0
    repeats: Seeds = 1


class ScaleScenario(msgspec.Struct, frozen=True):
    """One file. A part without sizes is not played."""

    title: Annotated[str, Meta(min_length=1)]
    about: str = ""
    limit_s: Annotated[float, Meta(ge=1, le=7200)] = 3600.0  # nothing new is begun past it
    membership: MembershipPart = MembershipPart()
    view: ViewPart = ViewPart()
    quorum: QuorumPart = QuorumPart()
    probing: ProbingPart = ProbingPart()
    hollow: HollowPart = HollowPart()
    compare: ComparePart = ComparePart()
    relay: RelayPart = RelayPart()


def shipped_scenarios() -> dict[str, Path]:
    """The scenarios that come with the package, by name."""
    folder = Path(str(files("cedarledge.scale") / "scenarios"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def load_scale_scenario(name_or_path: str) -> ScaleScenario:
    """A shipped scenario by its name, or a file. Raises BadFileError."""
    known = shipped_scenarios()
    path = known.get(name_or_path, Path(name_or_path))
    if name_or_path not in known and not path.exists():
        listed = ", ".join(known)
        raise BadFileError([f"{name_or_path}: no such file, and no scenario of that name; known: {listed}"])
    return read_file(path, ScaleScenario)
