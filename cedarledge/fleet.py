"""Joins what relays do in common to one relay. Reached only from `cedarledge relay --file`, and only by an
operator file that has something on; `run` has no way here."""

from __future__ import annotations

import json
import os
import re
from hashlib import blake2b
from typing import Any

from loguru import logger

from cedarledge import __version__
from cedarledge.net.config import BadConfigError, StartingOrders
from cedarledge.net.relay import Relay
from cedarledge.net.seams import Hearer
from cedarledge.operator.file import OperatorFile, PeersTable
from cedarledge.peers.machine import Membership, ProbeTiming
from cedarledge.peers.messages import PRINTABLE_ASCII, MetadataValue
from cedarledge.peers.shell import Shell
from cedarledge.terms import MS, SECOND

# In the platform's settings these differ from relay to relay of one fleet.
PER_RELAY_SETTINGS = ("me", "zone")
# Over how long newcomers are counted.
RATE_WINDOW = 4 * SECOND


class ArrivalRate(Hearer):
    """How many come in a second, over the last whole span."""

    def __init__(self) -> None:
        self._since = self._count = 0
        self.rate = 0.0

    def arrived(self, now: int, tun: int, profile: int, returning: bool) -> None:
        self._count += 1

    def read(self, now: int) -> float:
        span = now - self._since
        if span >= RATE_WINDOW:
            self.rate = round(self._count * SECOND / span, 1) if self._since else 0.0
            self._since, self._count = now, 0
        return self.rate


def settings_digest(settings: dict[str, Any]) -> str:
    """Equal for relays that were told the same."""
    told = {name: value for name, value in settings.items() if name not in PER_RELAY_SETTINGS}
    return blake2b(json.dumps(told, sort_keys=True).encode(), digest_size=6).hexdigest()


def start_features(relay: Relay, orders: StartingOrders, wanted: OperatorFile) -> None:
    logger.info("on by the operator file: {}", ", ".join(wanted.things_on()))
    if wanted.peers.on:
        start_membership(relay, orders, wanted.peers)


def start_membership(relay: Relay, orders: StartingOrders, table: PeersTable) -> Membership:
    if not re.fullmatch(PRINTABLE_ASCII, orders.name) or not 0 < len(orders.name) <= 64:
        raise BadConfigError(
            f"peers are on, and the relay's name is not 1 to 64 plain characters: {orders.name!r}"
        )
    newcomers = ArrivalRate()
    relay.listens(newcomers)
    zone = str(orders.settings.get("zone") or "").encode("ascii", "replace").decode()[:64]
    digest = settings_digest(orders.settings)

    def tells() -> dict[str, MetadataValue]:
        state = "leaving" if relay.service.ending else "away" if relay.service.why_not_ready() else "ready"
        return {
            "state": state,
            "zone": zone,
            "region": table.region,
            "version": __version__,
            "settings": digest,
            "tunnels": relay.tunnels.table.used,
            "newcomers": newcomers.read(relay.clock()),
        }

    reactor = relay.context.reactor
    shell = Shell(reactor, relay.timers, table.listen, tells)
    pace = ProbeTiming(int(table.probe_every_ms * MS), int(table.probe_every_ms * MS * 2 // 5))
    # Not the seed of its orders: a relay that is started again with the same ones must have another life.
    seed = int.from_bytes(os.urandom(8), "big")
    machine = Membership(shell, table.fleet, orders.name, table.told or table.listen, table.seeds, pace, seed)
    shell.join(machine)
    reactor.addSystemEventTrigger("before", "shutdown", shell.leave)
    return machine
