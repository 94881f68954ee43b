"""Steps the wall clock of selected processes, as an operator or a time service may step a machine's clock."""

from __future__ import annotations

import os
import struct
from pathlib import Path

from cedarledge.faults.preload import PRELOAD, compile_library

OFFSET_FORMAT = struct.Struct("=q")


class WallClock:
    """The wall clock shared by all processes that are started with its environment."""

    def __init__(self, folder: Path, library: Path | None = None) -> None:
        """Writes the offset file, and the library unless one is given, to `folder`.

        The folder has to exist as long as the processes run. Raises PreloadBuildError.
        """
        self._library = library or compile_library("wall_clock", folder)
        self._path = folder / "wall_clock.offset"
        self._path.write_bytes(OFFSET_FORMAT.pack(0))
        self._file = os.open(self._path, os.O_RDWR | os.O_CLOEXEC)

    def environment(self) -> dict[str, str]:
        """Returns the environment variables that give this clock to a process started with them."""
        return {PRELOAD: str(self._library), "CEDARLEDGE_WALL_CLOCK": str(self._path)}

    @property
    def offset(self) -> int:
        """Difference between this clock and the system's wall clock, in ns."""
        return OFFSET_FORMAT.unpack(os.pread(self._file, OFFSET_FORMAT.size, 0))[0]

    def step(self, by: int) -> None:
        """Steps the clock by `by` ns, forward if positive and back if negative."""
        os.pwrite(self._file, OFFSET_FORMAT.pack(self.offset + by), 0)

    def close(self) -> None:
        """Closes the offset file; running processes keep the last offset."""
        os.close(self._file)
