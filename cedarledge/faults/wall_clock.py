"""Steps the wall clock of chosen processes, as an operator or a time service would step a machine's."""

from __future__ import annotations

import os
import struct
from pathlib import Path

from cedarledge.faults.preload import PRELOAD, build

OFFSET = struct.Struct("=q")


class WallClock:
    """The wall clock of all processes that are started with its environment."""

    def __init__(self, folder: Path, library: Path | None = None) -> None:
        """Keeps its offset in the folder, and its library if none is given, which has to outlive those
        processes."""
        self._library = library or build("wall_clock", folder)
        self._path = folder / "wall_clock.offset"
        self._path.write_bytes(OFFSET.pack(0))
        self._file = os.open(self._path, os.O_RDWR | os.O_CLOEXEC)

    def environment(self) -> dict[str, str]:
        """What a process has to be started with to have this clock."""
        return {PRELOAD: str(self._library), "CEDARLEDGE_WALL_CLOCK": str(self._path)}

    @property
    def offset(self) -> int:
        """How far it stands from the system's, in ns."""
        return OFFSET.unpack(os.pread(self._file, OFFSET.size, 0))[0]

    def step(self, by: int) -> None:
        """Steps it by so many ns, forward or back."""
        os.pwrite(self._file, OFFSET.pack(self.offset + by), 0)

    def close(self) -> None:
        os.close(self._file)
