"""A real relay that counts its membership datagrams: python -m cedarledge.scale.counted_relay FILE.

It runs the same program as `cedarledge relay --file`, with two differences. It writes its counters to the
file named by the environment variable SCALE_COUNTS. Since it is measured without clients, the load in its
metadata is made up and changes continuously, as it would with clients.
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
from cedarledge.scale.counting import CountingMembership, CountingShell, changing_load
from cedarledge.terms import MS

WRITE_INTERVAL = 500 * MS


class _CounterWritingShell(CountingShell):
    """Writes its counters to a file every WRITE_INTERVAL."""

    def __init__(
        self, reactor: Any, timers: Any, listen: str, read_metadata: Callable[[], dict[str, MetadataValue]]
    ) -> None:
        """Adds a changing load to the metadata of `read_metadata`."""
        super().__init__(reactor, timers, listen, lambda: read_metadata() | changing_load())

    def join(self, machine: Any) -> None:
        """Joins the fleet and starts writing the counters."""
        super().join(machine)
        self._write()

    def _write(self) -> None:
        path = Path(os.environ["SCALE_COUNTS"])
        temporary_path = path.with_suffix(".part")
        temporary_path.write_bytes(msgspec.json.encode(self.traffic))
        temporary_path.replace(path)
        self.timers.after(WRITE_INTERVAL, self._write)


def main() -> int:
    """Runs the relay with the counting classes in place of its own, and returns its exit code."""
    fleet.Shell = _CounterWritingShell  # type: ignore[misc]
    fleet.Membership = CountingMembership  # type: ignore[misc]
    return start(sys.argv[1])


if __name__ == "__main__":
    sys.exit(main())
