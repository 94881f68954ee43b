"""Emulated discovery: one address for each relay, lists and watches over HTTP/1.1, and faults of
discovery."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from twisted.internet.protocol import Protocol, ServerFactory
from twisted.python.failure import Failure

from cedarledge.standins.event_log import ListDelivery
from cedarledge.standins.plan import (
    RELOCATED_PORT_OFFSET,
    ScheduledEvent,
    box_address,
    box_proxy_address,
    discovery_address,
)
from cedarledge.standins.process_context import Emulator, ProcessContext
from cedarledge.terms import MS, SECOND

# Changes that are kept for watches; a watch from an older revision gets the complete list.
MAX_CHANGES = 512
MAX_HEAD = 8 << 10
# How far back the revisions go in mode `back`.
REVISION_STEP_BACK = 3
# A relay must know a change after this time, unless discovery itself fails to deliver it.
DELIVERY_DEADLINE = 6 * SECOND


class DiscoveryConnection(Protocol):
    """A connection of one relay to discovery."""

    transport: Any

    def __init__(self, discovery: Discovery, relay: int) -> None:
        """`relay` is the one whose address was connected to."""
        self.discovery = discovery
        self.relay = relay
        self.rest = b""
        self.since = -1  # revision of the watch that waits; -1: none
        self.answer_count = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection for answers to watches."""
        self.transport.setTcpNoDelay(True)
        self.discovery.connections[self] = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads requests, which have no body; a head that is too long resets the connection."""
        self.rest += data
        if len(self.rest) > MAX_HEAD:
            self.transport.abortConnection()
            return
        while b"\r\n\r\n" in self.rest:
            head, _, self.rest = self.rest.partition(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode("ascii", "replace")
            self.discovery.request_received(self, parse_qs(urlsplit(target).query))

    def connectionLost(self, _reason: Failure) -> None:  # noqa: N802
        """Unregisters the connection."""
        self.discovery.connections.pop(self, None)

    def respond(self, status: str, body: bytes, cut: bool = False) -> None:
        """Writes a response; with `cut` only two thirds of it, followed by the end of the connection."""
        self.answer_count += 1
        self.since = -1
        response = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status.encode(), len(body), body)
        self.transport.write(response[: len(response) * 2 // 3] if cut else response)
        if cut:
            self.transport.loseConnection()


class DiscoveryFactory(ServerFactory):
    """Accepts the connections of one relay."""

    noisy = False

    def __init__(self, discovery: Discovery, relay: int) -> None:
        """`relay` is the one whose address is listened on."""
        self.discovery = discovery
        self.relay = relay

    def buildProtocol(self, _addr: Any) -> DiscoveryConnection:  # noqa: N802
        """Returns the protocol of a new connection."""
        return DiscoveryConnection(self.discovery, self.relay)


class Discovery(Emulator):
    """The list of boxes, its history, and its delivery to relays."""

    def __init__(self, context: ProcessContext, begin_unix_ms: int) -> None:
        """`begin_unix_ms` is the wall-clock time of the start of the run."""
        super().__init__(context)
        plan = context.plan
        self.begin_unix_ms = begin_unix_ms
        self.revision = 40
        self.phases = {index: "up" for index, box in enumerate(plan.boxes) if box.at_start}
        self.started: dict[int, int] = {}  # Unix time in ms, by box
        self.port_offsets: dict[int, int] = {}
        self.history: list[tuple[int, int]] = []  # revision, box
        self.connections: dict[DiscoveryConnection, None] = {}
        self.delay = 0  # of every answer, in ns
        # The last revision that was delivered to each relay.
        self.delivered = dict.fromkeys(range(plan.relays), self.revision)
        self.mode = ""  # down, back, repeat, cut

    def open(self) -> None:
        """Starts to listen, before the relays start."""
        for relay in range(self.plan.relays):
            self.reactor.listenTCP(
                self.port, DiscoveryFactory(self, relay), interface=discovery_address(relay)
            )

    def begin(self) -> None:
        """Sets timers for the scheduled events; called at the start of the run."""
        for event in self.plan.events:
            if event.target == "list":
                self.timers.after(event.at - self.now(), self._apply, event)

    def _apply(self, event: ScheduledEvent) -> None:
        if event.action == "late":
            self.delay = int(event.size)
        elif event.action == "mode":
            self.mode = {0: "", 1: "down", 2: "back", 3: "repeat", 4: "cut"}[int(event.size)]
            if self.mode == "down":
                for connection in list(self.connections):
                    connection.transport.abortConnection()
        else:
            self._change_phase(event)

    def _change_phase(self, event: ScheduledEvent) -> None:
        self.revision += 1
        if event.action == "up":
            # The start time of the box, which may be well before it is listed.
            self.started[event.index] = self.begin_unix_ms + int(event.size) // MS
            self.port_offsets[event.index] = RELOCATED_PORT_OFFSET if event.relay > 0 else 0
        self.phases[event.index] = event.action
        self.history = [*self.history, (self.revision, event.index)][-MAX_CHANGES:]
        for connection in [connection for connection in self.connections if connection.since >= 0]:
            self._answer(connection, connection.since)
        self.timers.after(DELIVERY_DEADLINE, self._delivery_due, self.revision, event.index, event.action)

    def _delivery_due(self, revision: int, box: int, phase: str) -> None:
        """Logs a change as delivered to relays that have not asked for it in time.

        Otherwise a relay could avoid the rule about drains by not asking.
        """
        if self.mode not in ("down", "cut") and self.phases[box] == phase:
            for relay, delivered in self.delivered.items():
                if delivered < revision:
                    self.event_log.write(ListDelivery(self.now(), relay, box, phase, revision))

    def request_received(self, connection: DiscoveryConnection, query: dict[str, list[str]]) -> None:
        """Answers a list request or a watch; a watch of the current revision waits for a change or its
        timeout."""
        if self.mode == "down":
            connection.respond("503 Service Unavailable", b"")
            return
        if "since" not in query:
            self._answer(connection, -1)
            return
        since = int(query["since"][0])
        if since != self.revision:
            self._answer(connection, since)
            return
        connection.since = since
        self.timers.after(
            min(60_000, int(query["timeout_ms"][0])) * MS,
            self._watch_timed_out,
            connection,
            connection.answer_count,
        )

    def _watch_timed_out(self, connection: DiscoveryConnection, answer_count: int) -> None:
        if connection in self.connections and connection.answer_count == answer_count:
            self._answer(connection, connection.since)

    def _answer(self, connection: DiscoveryConnection, since: int) -> None:
        connection.since = -1
        if self.delay:
            self.timers.after(self.delay, self._write, connection, since)
        else:
            self._write(connection, since)

    def _write(self, connection: DiscoveryConnection, since: int) -> None:
        if connection not in self.connections:
            return
        if self.mode == "down":
            connection.respond("503 Service Unavailable", b"")
            return
        oldest = self.history[0][0] if self.history else self.revision + 1
        complete = since < 0 or since > self.revision or since + 1 < min(oldest, self.revision + 1)
        if complete:
            boxes = [box for box, phase in self.phases.items() if phase != "removed"]
        else:
            boxes = list(dict.fromkeys(box for revision, box in self.history if revision > since))
        sent_revision = self.revision - (REVISION_STEP_BACK if self.mode == "back" else 0)
        body = json.dumps(
            {
                "revision": sent_revision,
                "complete": complete,
                "members": [self.entry(box, connection.relay) for box in boxes],
            }
        ).encode()
        cut = self.mode == "cut"
        if not cut:
            for box in boxes:
                self.event_log.write(
                    ListDelivery(self.now(), connection.relay, box, self.phases[box], self.revision)
                )
            self.delivered[connection.relay] = self.revision
        connection.respond("200 OK", body, cut)
        if self.mode == "repeat" and not cut:
            # Repeats the response without a request for it.
            connection.respond("200 OK", body)

    def entry(self, box: int, relay: int) -> dict[str, Any]:
        """Returns the list entry of a box as one relay gets it."""
        plan = self.plan.boxes[box]
        offset = self.port_offsets.get(box, 0)
        # A box that restarted at another address is reached without the proxy.
        proxied = relay in self.plan.proxied_relays and not offset
        return {
            "id": plan.name,
            "host_port": f"{(box_proxy_address if proxied else box_address)(box, relay)}:"
            f"{self.port + offset}",
            "locality": plan.zone,
            "flavor": plan.kind,
            "cell": plan.cell,
            "phase": self.phases[box],
            "size": 1.0,
            "up_since_ms": self.started.get(box, 0),
        }

    def initial_list(self, relay: int) -> dict[str, Any]:
        """Returns the list that the rig passes to a relay at its start, and logs it as delivered."""
        self.delivered[relay] = self.revision
        for box in {box for _, box in self.history if self.phases[box] != "removed"}:
            self.event_log.write(ListDelivery(self.now(), relay, box, self.phases[box], self.revision))
        return {
            "revision": self.revision,
            "complete": True,
            "members": [self.entry(box, relay) for box, phase in self.phases.items() if phase != "removed"],
        }
