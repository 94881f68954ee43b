"""Makes socket system calls of selected processes fail, or transfer less, as the Linux manual documents."""

from __future__ import annotations

import struct
from collections.abc import Collection
from pathlib import Path

from cedarledge.faults.preload import PRELOAD, compile_library

# In the order of `enum kind` in system_calls.c: a kind's index is its bit in the settings and its counter.
KINDS = ("accept", "socket", "connect", "send", "recv", "epoll_wait", "epoll_ctl", "close")
COUNTERS_FORMAT = struct.Struct(f"={len(KINDS)}Q")
MILLION = 1_000_000


class SystemCallFaults:
    """Seeded random failures, at one rate for all kinds, in processes started with its environment."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        rate: float,
        kinds: Collection[str] = KINDS,
        library: Path | None = None,
    ) -> None:
        """`rate` is the share of calls of these kinds that fail, 0 to 1.

        The file of counters, and the library unless one is given, are written to `folder`, which has to exist
        as long as the processes run. Raises PreloadBuildError.
        """
        self._library = library or compile_library("system_calls", folder)
        self._counters_path = folder / "system_calls.counts"
        self._counters_path.write_bytes(bytes(COUNTERS_FORMAT.size))
        self._settings = f"{seed}:{round(rate * MILLION)}:{sum(1 << KINDS.index(kind) for kind in kinds)}"

    def environment(self) -> dict[str, str]:
        """Returns the environment variables that enable the faults in a process started with them."""
        return {
            PRELOAD: str(self._library),
            "CEDARLEDGE_SYSTEM_CALLS": self._settings,
            "CEDARLEDGE_SYSTEM_CALLS_COUNTS": str(self._counters_path),
        }

    def counts(self) -> dict[str, int]:
        """Returns the number of failures injected so far, by kind of call."""
        return dict(zip(KINDS, COUNTERS_FORMAT.unpack(self._counters_path.read_bytes()), strict=True))
