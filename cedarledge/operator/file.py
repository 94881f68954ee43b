"""The operator file: what those who run a relay may set, beside what the platform tells it."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cedarledge.operator.tables import read_file

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


class OperatorFile(msgspec.Struct, frozen=True):
    """All tables. Each has defaults, and an empty file is a good one."""

    log: LogTable = LogTable()
    boxes: BoxesTable = BoxesTable()
    hearers: HearersTable = HearersTable()


def read_operator_file(path: str | Path) -> OperatorFile:
    """Raises BadFileError (tables.py), with a line for each problem."""
    return read_file(path, OperatorFile)
