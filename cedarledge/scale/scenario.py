"""Schema and loader of scenario files (TOML) for `cedarledge scale run`. Times are in seconds.

The field names are the keys of the files.
"""

from __future__ import annotations

from importlib.resources import files
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from cedarledge.operator.tables import BadFileError, read_file

Sizes = Annotated[tuple[Annotated[int, Meta(ge=2, le=5000)], ...], Meta(max_length=16)]
Seconds = Annotated[float, Meta(ge=1, le=600)]
Repetitions = Annotated[int, Meta(ge=1, le=100)]


class MembershipPart(msgspec.Struct, frozen=True):
    """Membership protocol in virtual time, at several fleet sizes.

    `seeds` is the number of runs per size, each with a seed of its own; `calm_s` is the length of the
    measurement period, during which no member fails.
    """

    sizes: Sizes = ()
    seeds: Repetitions = 2
    calm_s: Seconds = 15.0
    loss: Annotated[float, Meta(ge=0, le=0.5)] = 0.0
    changing: bool = True  # member records change continuously, as with connections that open and close
    most_samples_over: Annotated[int, Meta(ge=2)] = 460  # larger sizes run with one seed only


class ViewPart(msgspec.Struct, frozen=True):
    """Memory that one member's view of the fleet takes."""

    sizes: Sizes = ()


class QuorumPart(msgspec.Struct, frozen=True):
    """Cost of decisions of the quorum (the replicated register of the voters), in virtual time."""

    voters: Annotated[tuple[Annotated[int, Meta(ge=3, le=7)], ...], Meta(max_length=3)] = ()
    seeds: Repetitions = 5
    decisions: Annotated[int, Meta(ge=1, le=10_000)] = 100
    delay_ms: Annotated[float, Meta(ge=0, le=1000)] = 1.0
    loss: Annotated[float, Meta(ge=0, le=0.5)] = 0.0

    def __post_init__(self) -> None:
        """Raises ValueError for an even number of voters."""
        for count in self.voters:
            if count % 2 == 0:
                raise ValueError(f"voters: 3, 5 or 7, got {count}")


class ProbingPart(msgspec.Struct, frozen=True):
    """Probes of the balancing policy, in virtual time.

    The sizes in `relays` run with `fixed_backends` backends, those in `backends` with `fixed_relays` relays.
    """

    relays: Sizes = ()
    backends: Sizes = ()
    fixed_relays: Annotated[int, Meta(ge=1, le=5000)] = 460
    fixed_backends: Annotated[int, Meta(ge=1, le=5000)] = 100
    seeds: Repetitions = 3
    calm_s: Seconds = 60.0


class HollowPart(msgspec.Struct, frozen=True):
    """Hollow relays (relays without client traffic, many in one process) on loopback sockets."""

    sizes: Sizes = ()
    processes: Annotated[int, Meta(ge=1, le=32)] = 6
    backends: Annotated[int, Meta(ge=1, le=5000)] = 24
    start_s: Seconds = 1.0  # the starts are spread over this period
    settle_s: Seconds = 10.0  # from the first start to the measurement period
    settle_s_per_member: Annotated[float, Meta(ge=0, le=1)] = 0.1
    calm_s: Seconds = 15.0
    change_s: Seconds = 20.0  # timeout until a change is known to all relays
    repeats: Repetitions = 1


class ComparePart(msgspec.Struct, frozen=True):
    """Comparison of hollow relays with real relay processes, at small sizes."""

    sizes: Annotated[tuple[Annotated[int, Meta(ge=2, le=32)], ...], Meta(max_length=4)] = ()
    repeats: Repetitions = 2
    backends: Annotated[int, Meta(ge=1, le=64)] = 8
    settle_s: Seconds = 12.0
    calm_s: Seconds = 15.0


class RelayPart(msgspec.Struct, frozen=True):
    """One relay process with clients: the cost of idle connections and of delivering lines.

    `connections` are the sizes of the runs with idle connections. `deliveries` are the rates in lines per
    second of the runs that deliver, each over `connections_for_deliveries` connections.
    """

    connections: Annotated[tuple[Annotated[int, Meta(ge=10, le=9000)], ...], Meta(max_length=16)] = ()
    deliveries: Annotated[tuple[Annotated[int, Meta(ge=10, le=20_000)], ...], Meta(max_length=16)] = ()
    connections_for_deliveries: Annotated[int, Meta(ge=10, le=9000)] = 1000
    line_bytes: Annotated[int, Meta(ge=32, le=4000)] = 120
    backends: Annotated[int, Meta(ge=1, le=64)] = 8
    settle_s: Annotated[float, Meta(ge=0, le=60)] = 3.0
    calm_s: Seconds = 10.0
    repeats: Repetitions = 1


class ScaleScenario(msgspec.Struct, frozen=True):
    """One scenario file. A part without sizes does not run."""

    title: Annotated[str, Meta(min_length=1)]
    about: str = ""
    limit_s: Annotated[float, Meta(ge=1, le=7200)] = 3600.0  # no further size starts after this
    membership: MembershipPart = MembershipPart()
    view: ViewPart = ViewPart()
    quorum: QuorumPart = QuorumPart()
    probing: ProbingPart = ProbingPart()
    hollow: HollowPart = HollowPart()
    compare: ComparePart = ComparePart()
    relay: RelayPart = RelayPart()


def shipped_scenarios() -> dict[str, Path]:
    """Returns the paths of the scenarios that are shipped with the package, by name."""
    folder = Path(str(files("cedarledge.scale") / "scenarios"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def load_scale_scenario(name_or_path: str) -> ScaleScenario:
    """Loads a shipped scenario by name or a file by path. Raises BadFileError if it is missing or invalid."""
    known = shipped_scenarios()
    path = known.get(name_or_path, Path(name_or_path))
    if name_or_path not in known and not path.exists():
        listed = ", ".join(known)
        raise BadFileError([f"{name_or_path}: neither a file nor a shipped scenario; shipped: {listed}"])
    return read_file(path, ScaleScenario)
