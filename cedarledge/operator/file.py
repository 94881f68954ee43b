"""The operator file: what those who run a relay may set, beside what the platform tells it."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cedarledge.operator.tables import read_file

# Tables that are read at the start alone, each with a switch of its own, which ships off.
RESTART_ONLY = ("peers",)
BoxName = Annotated[str, Meta(min_length=1, max_length=256)]


class LogTable(msgspec.Struct, frozen=True):
    """What is logged, and how."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    form: Literal["text", "json"] = "text"
    # A line for each thing of these sorts that happens to a tunnel or a box.
    events: tuple[
        Literal["arrived", "setup", "opened", "answered", "moved", "ended", "list", "probe"], ...
    ] = ()
    # So much may wait for a reader that has stopped reading; past it lines are dropped and counted.
    waiting_kb: Annotated[int, Meta(ge=4, le=16384)] = 256

    def __post_init__(self) -> None:
        if self.events and self.level in ("warning", "error"):
            raise ValueError(f"events: they are logged at 'info', which level = {self.level!r} hides")


class BoxesTable(msgspec.Struct, frozen=True):
    """Boxes that operators treat in a way of their own."""

    # Nothing new goes there; who is there stays. A list that names every ready box is not followed.
    aside: Annotated[tuple[BoxName, ...], Meta(max_length=1000)] = ()

    def __post_init__(self) -> None:
        for name in self.aside:
            if self.aside.count(name) > 1:
                raise ValueError(f"aside: {name!r} is there twice")


class HearersTable(msgspec.Struct, frozen=True):
    """What those that listen to what happens may cost."""

    # Of a second; one that takes more is left out for a while.
    most_share: Annotated[float, Meta(ge=0.001, le=0.5)] = 0.05
    left_out_s: Annotated[float, Meta(ge=1, le=3600)] = 30.0


class PeersTable(msgspec.Struct, frozen=True):
    """Relays that know each other. Takes effect at the start alone."""

    on: bool = False
    fleet: Annotated[str, Meta(max_length=64, pattern="^[ -~]*$")] = ""  # who has another one is no peer
    listen: Annotated[str, Meta(max_length=21)] = ""  # UDP; loopback or private, as there is no sign-in
    told: Annotated[str, Meta(max_length=21)] = ""  # where others find it, if not at `listen`
    seeds: Annotated[tuple[Annotated[str, Meta(max_length=21)], ...], Meta(max_length=64)] = ()
    region: Annotated[str, Meta(max_length=64, pattern="^[ -~]*$")] = ""
    probe_every_ms: Annotated[int, Meta(ge=100, le=10_000)] = 500

    def __post_init__(self) -> None:
        if not self.on:
            return
        # Only here: a relay without peers needs nothing of theirs.
        from cedarledge.peers.messages import parse_private_address

        if not self.fleet:
            raise ValueError("fleet: missing, and peers are on")
        if not self.listen:
            raise ValueError("listen: missing, and peers are on")
        for name, addresses in (("listen", (self.listen,)), ("told", (self.told,)), ("seeds", self.seeds)):
            for address in filter(None, addresses):
                try:
                    parse_private_address(address)
                except ValueError as why:
                    expected = "an IPv4 address and a port, loopback or private"
                    raise ValueError(f"{name}: expected {expected}, got {address!r}: {why}") from why


class OperatorFile(msgspec.Struct, frozen=True):
    """All tables. Each has defaults, and an empty file is a good one."""

    log: LogTable = LogTable()
    boxes: BoxesTable = BoxesTable()
    hearers: HearersTable = HearersTable()
    peers: PeersTable = PeersTable()

    def enabled_tables(self) -> list[str]:
        """What ships switched off and is on here."""
        return [name for name in RESTART_ONLY if getattr(self, name).on]

    def changed_restart_only(self, other: OperatorFile) -> list[str]:
        """Tables that differ though they take effect at the start alone."""
        return [name for name in RESTART_ONLY if getattr(self, name) != getattr(other, name)]


def read_operator_file(path: str | Path) -> OperatorFile:
    """Raises BadFileError (tables.py), with a line for each problem."""
    return read_file(path, OperatorFile)
