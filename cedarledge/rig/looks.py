"""Asks the relays of a run whom they know, as staff would, and writes it into the run's book."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from cedarledge.peers.messages import FORMAT, Kind, Message, decode_view, encode
from cedarledge.standins.event_log import MembershipView
from cedarledge.standins.plan import membership_sampler_address, peer_address
from cedarledge.terms import MS

if TYPE_CHECKING:
    from cedarledge.rig.run import Run

LOOK_EVERY = 250 * MS


class Looks(DatagramProtocol):
    """One socket that asks all of them in turn."""

    def __init__(self, run: Run, fleet: str) -> None:
        self.run = run
        self.fleet = fleet
        self.names = {f"n{relay}": relay for relay in range(run.plan.relays)}
        # A relay is known by its address: two may have one name.
        self.relays = {peer_address(relay): relay for relay in range(run.plan.relays)}
        self.held: dict[int, dict[str, str]] = {}  # by relay, the parts of the view that is being told

    def open(self) -> None:
        self.run.reactor.listenUDP(
            self.run.port, self, interface=membership_sampler_address(), maxPacketSize=65536
        )
        self._look()

    def _look(self) -> None:
        for relay in range(self.run.plan.relays):
            self.held.pop(relay, None)
            self._ask(relay, 0)
        self.run.timers.after(LOOK_EVERY, self._look)

    def _ask(self, relay: int, first: int) -> None:
        own = f"{membership_sampler_address()}:{self.run.port}"
        asked = Message(FORMAT, self.fleet, Kind.SHOW, "staff", own, 0, 0, first)
        self.transport.write(encode(asked), (peer_address(relay), self.run.port))

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        try:
            part = decode_view(data)
        except msgspec.MsgspecError:
            return
        relay = self.relays[addr[0]]
        held = self.held.setdefault(relay, {})
        if part.first != len(held):
            return
        held |= {row.name: row.state for row in part.rows}
        if len(held) < part.total and part.rows:
            self._ask(relay, len(held))
            return
        self.held.pop(relay)
        self.run.book.write(
            MembershipView(self.run.now(), relay, {self.names[name]: state for name, state in held.items()})
        )
