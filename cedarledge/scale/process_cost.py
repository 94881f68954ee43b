"""Processor time and memory of a process, read from /proc."""

from __future__ import annotations

import os
from pathlib import Path

PAGE = os.sysconf("SC_PAGE_SIZE")


def processor_ns(pid: int | str = "self") -> int:
    """Returns the processor time of a process in ns, without that of threads that have ended."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks)


def resident_bytes(pid: int | str = "self") -> int:
    """Returns the resident memory of a process in bytes, including pages shared with other processes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
