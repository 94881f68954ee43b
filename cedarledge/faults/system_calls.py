"""Has system calls of chosen processes fail, or fall short, as their Linux pages document."""

from __future__ import annotations

import struct
from collections.abc import Collection
from pathlib import Path

from cedarledge.faults.preload import PRELOAD, build

KINDS = ("accept", "socket", "connect", "send", "recv", "epoll_wait", "epoll_ctl", "close")
COUNTS = struct.Struct(f"={len(KINDS)}Q")
MILLION = 1_000_000


class SystemCallFaults:
    """Failures by seed, at one rate for all calls, in the processes that are started with its environment."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        rate: float,
        kinds: Collection[str] = KINDS,
        library: Path | None = None,
    ) -> None:
        """`rate` is the share of calls of these kinds that fail, 0 to 1. The folder, which gets the library
        if none is given, has to outlive those processes."""
        self._library = library or build("system_calls", folder)
        self._counts = folder / "system_calls.counts"
        self._counts.write_bytes(bytes(COUNTS.size))
        self._settings = f"{seed}:{round(rate * MILLION)}:{sum(1 << KINDS.index(kind) for kind in kinds)}"

    def environment(self) -> dict[str, str]:
        """What a process has to be started with."""
        return {
            PRELOAD: str(self._library),
            "CEDARLEDGE_SYSTEM_CALLS": self._settings,
            "CEDARLEDGE_SYSTEM_CALLS_COUNTS": str(self._counts),
        }

    def counts(self) -> dict[str, int]:
        """How many calls of each kind failed so far."""
        return dict(zip(KINDS, COUNTS.unpack(self._counts.read_bytes()), strict=True))
