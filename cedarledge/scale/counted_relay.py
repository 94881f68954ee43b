"""A real relay whose membership datagrams are counted: python -m cedarledge.scale.counted_relay FILE.

It is the program as `cedarledge relay --file` runs it, but for the counters, which it writes to the file that
SCALE_COUNTS names, and for the records that it tells: they change as if connections came and went, since the
relay is measured without clients.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from cedarledge import fleet
from cedarledge.__main__ import start
from cedarledge.peers.messages import MetadataValue
from cedarledge.scale.counting import CountingPeers, CountingShell, changing_load
from cedarledge.terms import MS

WRITE_EVERY = 500 * MS


class _WritingShell(CountingShell):
    """Writes its counters now and then."""

    def __init__(
        self, reactor: Any, timers: Any, listen: str, tells: Callable[[], dict[str, MetadataValue]]
    ) -> None:
        super().__init__(reactor, timers, listen, lambda: tells() | changing_load())

    def join(self, machine: Any) -> None:
        super().join(machine)
        self._write()

    def _write(self) -> None:
        path = Path(os.environ["SCALE_COUNTS"])
        part = path.with_suffix(".part")
        part.write_bytes(msgspec.json.encode(self.traffic))
        part.replace(path)
        self.timers.after(WRITE_EVERY, self._write)


def main() -> int:
    """Runs the relay with counters in place, and gives its exit code."""
    fleet.Shell = _WritingShell  # type: ignore[misc]
    fleet.Membership = CountingPeers  # type: ignore[misc]
    return start(sys.argv[1])


if __name__ == "__main__":
    sys.exit(main())
