"""The membership machine and its shell as relays run them, counting datagrams."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from cedarledge.peers.machine import Membership
from cedarledge.peers.messages import MetadataValue
from cedarledge.peers.shell import Shell
from cedarledge.terms import MS


class Traffic(msgspec.Struct):
    """Datagrams of one relay so far."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


def changing_load() -> dict[str, MetadataValue]:
    """What a relay tells of its connections where they come and go all the time."""
    load = 90_000 + time.monotonic_ns() // MS % 7_000
    return {"tunnels": load, "newcomers": round(load / 1800, 1)}


class CountingPeers(Membership):
    """Counts what it is handed."""

    def __init__(self, host: Any, *arguments: Any, **named: Any) -> None:
        super().__init__(host, *arguments, **named)
        self.traffic = host.traffic

    def received(self, now: int, data: bytes) -> None:
        self.traffic.received += 1
        self.traffic.received_bytes += len(data)
        super().received(now, data)


class CountingShell(Shell):
    """Counts what it sends."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.traffic = Traffic()

    def send(self, address: str, data: bytes) -> None:
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(data)
        super().send(address, data)
