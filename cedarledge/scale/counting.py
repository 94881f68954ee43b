"""Membership state machine and shell, as relays run them, with counters of datagrams."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from cedarledge.peers.machine import Membership
from cedarledge.peers.messages import MetadataValue
from cedarledge.peers.shell import Shell
from cedarledge.terms import MS


class Traffic(msgspec.Struct):
    """Number and bytes of the datagrams that one relay has sent and received so far."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


def changing_load() -> dict[str, MetadataValue]:
    """Returns the metadata of a relay whose connections open and close continuously; changes with time."""
    load = 90_000 + time.monotonic_ns() // MS % 7_000
    return {"tunnels": load, "newcomers": round(load / 1800, 1)}


class CountingMembership(Membership):
    """Counts the datagrams that it receives."""

    def __init__(self, host: Any, *arguments: Any, **keywords: Any) -> None:
        """Takes the arguments of Membership; the host is a CountingShell, whose counters it shares."""
        super().__init__(host, *arguments, **keywords)
        self.traffic = host.traffic

    def received(self, now: int, data: bytes) -> None:
        """Counts a datagram and processes it."""
        self.traffic.received += 1
        self.traffic.received_bytes += len(data)
        super().received(now, data)


class CountingShell(Shell):
    """Counts the datagrams that it sends."""

    def __init__(self, *arguments: Any) -> None:
        """Takes the arguments of Shell."""
        super().__init__(*arguments)
        self.traffic = Traffic()

    def send(self, address: str, data: bytes) -> None:
        """Counts a datagram and sends it, also if the shell then drops it."""
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(data)
        super().send(address, data)
