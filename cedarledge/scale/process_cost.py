"""What a process has cost so far, read from /proc."""

from __future__ import annotations

import os
from pathlib import Path

PAGE = os.sysconf("SC_PAGE_SIZE")


def processor_ns(pid: int | str = "self") -> int:
    """Time on a core of all threads that live."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks)


def resident_bytes(pid: int | str = "self") -> int:
    """Resident memory, with what is shared with others."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
