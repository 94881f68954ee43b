"""Starts the optional features of a relay that work across the fleet.

Imported only by `cedarledge relay --file`, and only if the operator file enables one; `run` never imports it.
"""

from __future__ import annotations

import json
import os
import re
from hashlib import blake2b
from typing import Any

from loguru import logger

from cedarledge import __version__
from cedarledge.net.config import BadConfigError, RelayConfig
from cedarledge.net.interfaces import Observer
from cedarledge.net.relay import Relay
from cedarledge.operator.file import OperatorFile, PeersTable
from cedarledge.peers.machine import Membership, ProbeTiming
from cedarledge.peers.messages import PRINTABLE_ASCII, MetadataValue
from cedarledge.peers.shell import Shell
from cedarledge.terms import MS, SECOND

# Settings of the platform that differ between the relays of one fleet.
PER_RELAY_SETTINGS = ("me", "zone")
# Requests are counted over windows of this length.
RATE_WINDOW = 4 * SECOND


class ArrivalRate(Observer):
    """Client requests per second, over the last complete window."""

    def __init__(self) -> None:
        """Starts at a rate of 0; the first window begins with the first `read`."""
        self._since = self._count = 0
        self.rate = 0.0

    def arrived(self, now: int, tunnel_id: int, profile: int, returning: bool) -> None:
        """Counts a request."""
        self._count += 1

    def read(self, now: int) -> float:
        """Returns requests per second. Closes the window once it is long enough; `now` is ns."""
        span = now - self._since
        if span >= RATE_WINDOW:
            self.rate = round(self._count * SECOND / span, 1) if self._since else 0.0
            self._since, self._count = now, 0
        return self.rate


def settings_digest(settings: dict[str, Any]) -> str:
    """Returns a digest that is equal for relays with the same settings, apart from per-relay ones."""
    shared = {name: value for name, value in settings.items() if name not in PER_RELAY_SETTINGS}
    return blake2b(json.dumps(shared, sort_keys=True).encode(), digest_size=6).hexdigest()


def start_features(relay: Relay, config: RelayConfig, wanted: OperatorFile) -> None:
    """Starts each feature that the operator file enables. Raises BadConfigError."""
    logger.info("on by the operator file: {}", ", ".join(wanted.enabled_tables()))
    if wanted.peers.on:
        start_membership(relay, config, wanted.peers)


def start_membership(relay: Relay, config: RelayConfig, table: PeersTable) -> Membership:
    """Starts membership on the relay's reactor.

    Raises BadConfigError for a relay name that does not fit into a datagram.
    """
    if not re.fullmatch(PRINTABLE_ASCII, config.name) or not 0 < len(config.name) <= 64:
        raise BadConfigError(
            f"peers are on, and the relay's name is not 1 to 64 printable ASCII characters: {config.name!r}"
        )
    arrival_rate = ArrivalRate()
    relay.add_observer(arrival_rate)
    zone = str(config.settings.get("zone") or "").encode("ascii", "replace").decode()[:64]
    digest = settings_digest(config.settings)

    def read_metadata() -> dict[str, MetadataValue]:
        state = "leaving" if relay.service.stopping else "away" if relay.service.why_not_ready() else "ready"
        return {
            "state": state,
            "zone": zone,
            "region": table.region,
            "version": __version__,
            "settings": digest,
            "tunnels": relay.tunnels.table.used,
            "newcomers": arrival_rate.read(relay.clock()),
        }

    reactor = relay.context.reactor
    shell = Shell(reactor, relay.timers, table.listen, read_metadata)
    timing = ProbeTiming(int(table.probe_every_ms * MS), int(table.probe_every_ms * MS * 2 // 5))
    # Not the configured seed: a relay restarted with the same configuration needs a different instance id.
    seed = int.from_bytes(os.urandom(8), "big")
    machine = Membership(
        shell, table.fleet, config.name, table.told or table.listen, table.seeds, timing, seed
    )
    shell.join(machine)
    reactor.addSystemEventTrigger("before", "shutdown", shell.leave)
    return machine
