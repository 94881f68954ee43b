"""Stand-in discovery: an address for each relay, lists and watches over HTTP/1.1, and what goes wrong."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from twisted.internet.protocol import Protocol, ServerFactory
from twisted.python.failure import Failure

from cedarledge.standins.event_log import ListDelivery
from cedarledge.standins.plan import (
    OTHER_PORT,
    ScheduledEvent,
    box_address,
    box_proxy_address,
    discovery_address,
)
from cedarledge.standins.process_context import Player, ProcessContext
from cedarledge.terms import MS, SECOND

# Changes that are kept for watches; a watch from before them is given the whole list.
MOST_CHANGES = 512
LONGEST_HEAD = 8 << 10
# How far back a lying discovery's revisions go.
STEP_BACK = 3
# What there is to tell counts as told by then, unless it is discovery itself that does not tell it.
TOLD_BY = 6 * SECOND


class DiscoveryLink(Protocol):
    transport: Any

    def __init__(self, discovery: Discovery, relay: int) -> None:
        self.discovery = discovery
        self.relay = relay
        self.rest = b""
        self.since = -1  # of the watch that waits
        self.turn = 0

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.discovery.links[self] = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.rest += data
        if len(self.rest) > LONGEST_HEAD:
            self.transport.abortConnection()
            return
        while b"\r\n\r\n" in self.rest:
            head, _, self.rest = self.rest.partition(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode("ascii", "replace")
            self.discovery.asked(self, parse_qs(urlsplit(target).query))

    def connectionLost(self, _reason: Failure) -> None:  # noqa: N802
        self.discovery.links.pop(self, None)

    def say(self, status: str, body: bytes, cut: bool = False) -> None:
        self.turn += 1
        self.since = -1
        answer = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status.encode(), len(body), body)
        self.transport.write(answer[: len(answer) * 2 // 3] if cut else answer)
        if cut:
            self.transport.loseConnection()


class DiscoveryPort(ServerFactory):
    noisy = False

    def __init__(self, discovery: Discovery, relay: int) -> None:
        self.discovery = discovery
        self.relay = relay

    def buildProtocol(self, _addr: Any) -> DiscoveryLink:  # noqa: N802
        return DiscoveryLink(self.discovery, self.relay)


class Discovery(Player):
    """The list, its history, and how it is told."""

    def __init__(self, stage: ProcessContext, begin_unix_ms: int) -> None:
        super().__init__(stage)
        plan = stage.plan
        self.begin_unix_ms = begin_unix_ms
        self.revision = 40
        self.phases = {index: "up" for index, box in enumerate(plan.boxes) if box.at_start}
        self.started: dict[int, int] = {}
        self.shifts: dict[int, int] = {}
        self.history: list[tuple[int, int]] = []  # revision, box
        self.links: dict[DiscoveryLink, None] = {}
        self.late = 0  # ns that every answer waits
        self.heard = dict.fromkeys(range(plan.relays), self.revision)  # what each relay was told last
        self.mode = ""  # down, back, repeat, cut

    def open(self) -> None:
        for relay in range(self.plan.relays):
            self.reactor.listenTCP(self.port, DiscoveryPort(self, relay), interface=discovery_address(relay))

    def begin(self) -> None:
        for act in self.plan.events:
            if act.target == "list":
                self.timers.after(act.at - self.now(), self._played, act)

    def _played(self, act: ScheduledEvent) -> None:
        if act.action == "late":
            self.late = int(act.size)
        elif act.action == "mode":
            self.mode = {0: "", 1: "down", 2: "back", 3: "repeat", 4: "cut"}[int(act.size)]
            if self.mode == "down":
                for link in list(self.links):
                    link.transport.abortConnection()
        else:
            self._changed(act)

    def _changed(self, act: ScheduledEvent) -> None:
        self.revision += 1
        if act.action == "up":
            # When it started, which may be a while before it is told of.
            self.started[act.index] = self.begin_unix_ms + int(act.size) // MS
            self.shifts[act.index] = OTHER_PORT if act.relay > 0 else 0
        self.phases[act.index] = act.action
        self.history = [*self.history, (self.revision, act.index)][-MOST_CHANGES:]
        for link in [link for link in self.links if link.since >= 0]:
            self._answer(link, link.since)
        self.timers.after(TOLD_BY, self._must_know, self.revision, act.index, act.action)

    def _must_know(self, revision: int, box: int, phase: str) -> None:
        """A relay that has not asked for so long counts as told: it may not shut its ears."""
        if self.mode not in ("down", "cut") and self.phases[box] == phase:
            for relay, heard in self.heard.items():
                if heard < revision:
                    self.book.write(ListDelivery(self.now(), relay, box, phase, revision))

    def asked(self, link: DiscoveryLink, query: dict[str, list[str]]) -> None:
        if self.mode == "down":
            link.say("503 Service Unavailable", b"")
            return
        if "since" not in query:
            self._answer(link, -1)
            return
        since = int(query["since"][0])
        if since != self.revision:
            self._answer(link, since)
            return
        link.since = since
        self.timers.after(min(60_000, int(query["timeout_ms"][0])) * MS, self._waited, link, link.turn)

    def _waited(self, link: DiscoveryLink, turn: int) -> None:
        if link in self.links and link.turn == turn:
            self._answer(link, link.since)

    def _answer(self, link: DiscoveryLink, since: int) -> None:
        link.since = -1
        if self.late:
            self.timers.after(self.late, self._write, link, since)
        else:
            self._write(link, since)

    def _write(self, link: DiscoveryLink, since: int) -> None:
        if link not in self.links:
            return
        if self.mode == "down":
            link.say("503 Service Unavailable", b"")
            return
        oldest = self.history[0][0] if self.history else self.revision + 1
        whole = since < 0 or since > self.revision or since + 1 < min(oldest, self.revision + 1)
        if whole:
            boxes = [box for box, phase in self.phases.items() if phase != "removed"]
        else:
            boxes = list(dict.fromkeys(box for revision, box in self.history if revision > since))
        told = self.revision - (STEP_BACK if self.mode == "back" else 0)
        body = json.dumps(
            {"revision": told, "complete": whole, "members": [self.entry(box, link.relay) for box in boxes]}
        ).encode()
        cut = self.mode == "cut"
        if not cut:
            for box in boxes:
                self.book.write(ListDelivery(self.now(), link.relay, box, self.phases[box], self.revision))
            self.heard[link.relay] = self.revision
        link.say("200 OK", body, cut)
        if self.mode == "repeat" and not cut:
            # The same answer once more, for which nobody has asked.
            link.say("200 OK", body)

    def entry(self, box: int, relay: int) -> dict[str, Any]:
        plan = self.plan.boxes[box]
        shift = self.shifts.get(box, 0)
        # One that came back elsewhere is reached straight.
        way = relay in self.plan.proxied_relays and not shift
        return {
            "id": plan.name,
            "host_port": f"{(box_proxy_address if way else box_address)(box, relay)}:{self.port + shift}",
            "locality": plan.zone,
            "flavor": plan.kind,
            "cell": plan.cell,
            "phase": self.phases[box],
            "size": 1.0,
            "up_since_ms": self.started.get(box, 0),
        }

    def initial_list(self, relay: int) -> dict[str, Any]:
        """The list as the rig hands it to a relay at its start, which counts as told like any."""
        self.heard[relay] = self.revision
        for box in {box for _, box in self.history if self.phases[box] != "removed"}:
            self.book.write(ListDelivery(self.now(), relay, box, self.phases[box], self.revision))
        return {
            "revision": self.revision,
            "complete": True,
            "members": [self.entry(box, relay) for box, phase in self.phases.items() if phase != "removed"],
        }
