"""The operator file: settings by those who run a relay, beside the configuration by the platform."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cedarledge.operator.tables import read_file

# Tables that take effect only at the start. Each has a switch `on`, which is off by default.
RESTART_ONLY = ("peers",)
BackendName = Annotated[str, Meta(min_length=1, max_length=256)]


class LogTable(msgspec.Struct, frozen=True):
    """Settings of the log."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    form: Literal["text", "json"] = "text"
    # Categories of tunnel and backend events that are logged, one line each.
    events: tuple[
        Literal["arrived", "setup", "opened", "answered", "moved", "ended", "list", "probe"], ...
    ] = ()
    # Size of the buffer for a reader that has stopped reading; beyond it lines are dropped and counted.
    waiting_kb: Annotated[int, Meta(ge=4, le=16384)] = 256

    def __post_init__(self) -> None:
        """Refuses events that the log level would hide."""
        if self.events and self.level in ("warning", "error"):
            raise ValueError(f"events: they are logged at 'info', which level = {self.level!r} hides")


class BackendsTable(msgspec.Struct, frozen=True):
    """Backends that operators treat differently. The outer name of this table is `boxes`."""

    # Names of backends that get no new connections; open ones stay. Ignored if it names every ready backend.
    aside: Annotated[tuple[BackendName, ...], Meta(max_length=1000)] = ()

    def __post_init__(self) -> None:
        """Refuses a backend name that occurs twice."""
        for name in self.aside:
            if self.aside.count(name) > 1:
                raise ValueError(f"aside: {name!r} is there twice")


class ObserversTable(msgspec.Struct, frozen=True):
    """Limits for observers of events. The outer name of this table is `hearers`."""

    # Share of each second that an observer may use; one that uses more is excluded for `left_out_s`.
    most_share: Annotated[float, Meta(ge=0.001, le=0.5)] = 0.05
    left_out_s: Annotated[float, Meta(ge=1, le=3600)] = 30.0


class PeersTable(msgspec.Struct, frozen=True):
    """Membership among the relays of a fleet. Takes effect only at the start."""

    on: bool = False
    fleet: Annotated[str, Meta(max_length=64, pattern="^[ -~]*$")] = (
        ""  # relays with another value are ignored
    )
    listen: Annotated[str, Meta(max_length=21)] = (
        ""  # UDP; a loopback or private address, as peers are not authenticated
    )
    told: Annotated[str, Meta(max_length=21)] = ""  # address for the others, if not `listen`
    seeds: Annotated[tuple[Annotated[str, Meta(max_length=21)], ...], Meta(max_length=64)] = ()
    region: Annotated[str, Meta(max_length=64, pattern="^[ -~]*$")] = ""
    probe_every_ms: Annotated[int, Meta(ge=100, le=10_000)] = 500

    def __post_init__(self) -> None:
        """Refuses settings that are switched on and incomplete, and addresses that are not private."""
        if not self.on:
            return
        # Imported only here: a relay without peers doesn't need the peers package.
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
    """All tables of the file. Each has defaults, so an empty file is valid."""

    log: LogTable = LogTable()
    boxes: BackendsTable = BackendsTable()
    hearers: ObserversTable = ObserversTable()
    peers: PeersTable = PeersTable()

    def enabled_tables(self) -> list[str]:
        """Returns the names of the tables that are off by default and on in this file."""
        return [name for name in RESTART_ONLY if getattr(self, name).on]

    def changed_restart_only(self, other: OperatorFile) -> list[str]:
        """Returns the names of the tables that differ in `other` and take effect only at the start."""
        return [name for name in RESTART_ONLY if getattr(self, name) != getattr(other, name)]


def read_operator_file(path: str | Path) -> OperatorFile:
    """Reads and checks an operator file. Raises BadFileError (tables.py) with a line for each problem."""
    return read_file(path, OperatorFile)
