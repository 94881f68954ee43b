"""Samples the relays' views of the fleet's membership during a run and writes them to the run's event log."""

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

SAMPLE_INTERVAL = 250 * MS


class MembershipSampler(DatagramProtocol):
    """Requests every relay's view over one UDP socket, as `cedarledge peers` does."""

    def __init__(self, run: Run, fleet: str) -> None:
        """Takes the run and the fleet's name, which the requests carry."""
        self.run = run
        self.fleet = fleet
        self.relays_by_name = {f"n{relay}": relay for relay in range(run.plan.relays)}
        # Replies are matched to relays by address, since two relays may have the same name.
        self.relays_by_address = {peer_address(relay): relay for relay in range(run.plan.relays)}
        self.partial_views: dict[int, dict[str, str]] = {}  # by relay: states by member name, received so far

    def open(self) -> None:
        """Opens the socket and starts sampling."""
        self.run.reactor.listenUDP(
            self.run.port, self, interface=membership_sampler_address(), maxPacketSize=65536
        )
        self._sample()

    def _sample(self) -> None:
        for relay in range(self.run.plan.relays):
            self.partial_views.pop(relay, None)
            self._request_view(relay, 0)
        self.run.timers.after(SAMPLE_INTERVAL, self._sample)

    def _request_view(self, relay: int, first: int) -> None:
        own_address = f"{membership_sampler_address()}:{self.run.port}"
        request = Message(FORMAT, self.fleet, Kind.SHOW, "staff", own_address, 0, 0, first)
        self.transport.write(encode(request), (peer_address(relay), self.run.port))

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        """Adds a part of a relay's view; requests the next part or, after the last, logs the whole view."""
        try:
            part = decode_view(data)
        except msgspec.MsgspecError:
            return
        relay = self.relays_by_address[addr[0]]
        states = self.partial_views.setdefault(relay, {})
        if part.first != len(states):
            return
        states |= {row.name: row.state for row in part.rows}
        if len(states) < part.total and part.rows:
            self._request_view(relay, len(states))
            return
        self.partial_views.pop(relay)
        self.run.event_log.write(
            MembershipView(
                self.run.now(), relay, {self.relays_by_name[name]: state for name, state in states.items()}
            )
        )
