"""The clients' side: the listener, PING, OPEN and its answers, MOVE."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from loguru import logger
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from cedarledge.net.config import Address
from cedarledge.net.lines import figure
from cedarledge.net.links import Link, Means
from cedarledge.terms import MS, SECOND

# How long a connection may stand without a whole first line.
FIRST_LINE_WITHIN = 10 * SECOND
# Connections that are not tunnels yet, or no longer, and probes: what tunnels must leave free.
SPARE_LINKS = 48
WAIT = re.compile(rb"(?:^|(?<=,))d=(\d{1,9})(?=,|$)")


class MalformedError(Exception):
    """A line that is no OPEN as the protocol has it."""


class Opening(NamedTuple):
    """What an OPEN line asks for."""

    line: bytes
    profile: str
    key: str
    wait: int  # how long the client waits for UP; 0: not said
    group: str | None
    tenant: str | None
    hint: float | None
    returning: bool
    at: str | None  # the backend that held it before

    def head(self, wait: int) -> bytes:
        """The line for a backend: unchanged, but for how long the relay will wait."""
        if self.at is not None:
            return self.line
        start, found, names = self.line.rpartition(b" ")
        return start + found + WAIT.sub(b"d=%d" % max(1, wait // MS), names, count=1)


def read_opening(line: bytes) -> Opening:
    try:
        words = line.decode("ascii").split(" ")
        if len(words) != 4 or words[0] != "OPEN" or not words[1] or not words[2]:
            raise MalformedError("not OPEN with an id, a key and a list of values")
        told = dict(pair.split("=", 1) for pair in words[3].split(","))
        at = told.get("at")
        if at is None and not WAIT.search(line.rpartition(b" ")[2]):
            raise MalformedError("no time to wait in d")
        return Opening(line, told["c"], words[2], int(told.get("d", 0)) * MS, told.get("g"), told.get("t"),
                       figure(told["h"]) if "h" in told else None, "1" in (told.get("r"), told.get("again")),
                       at)
    except UnicodeDecodeError as why:
        raise MalformedError("bytes past ASCII") from why
    except KeyError as why:
        raise MalformedError(f"no value {why}") from why
    except ValueError as why:
        raise MalformedError(f"not a list of values: {why}") from why


class Taker(Protocol):
    """Where the clients' side takes what comes; tun is the handle that arrived gave."""

    def arrived(self, client: ClientLink, opening: Opening) -> int: ...
    def lines_on(self, tun: int, lines: list[bytes]) -> None: ...
    def client_ended(self, tun: int, abrupt: bool) -> None: ...


class ClientLink(Link):
    """One client's connection: first lines that are no tunnel yet, then the tunnel's client end."""

    peer = "client"

    def __init__(self, means: Means, taker: Taker, on_gone: Callable[[], None]) -> None:
        super().__init__(means)
        self.taker = taker
        self.on_gone = on_gone
        self.tun = -1

    def came_up(self) -> None:
        self.due_in(FIRST_LINE_WITHIN, self.finish)

    def lines_came(self, lines: list[bytes]) -> None:
        while lines and self.tun < 0 and not self.ending:
            self._first_line(lines.pop(0))
        if lines and not self.ending:
            self.taker.lines_on(self.tun, lines)

    def _first_line(self, line: bytes) -> None:
        if line == b"PING":
            self.send_line(b"PONG")
            self.due_in(FIRST_LINE_WITHIN, self.finish)
            return
        try:
            opening = read_opening(line)
        except MalformedError as why:
            self.bad_input(f"{why}: {line[:80]!r}")
            return
        self.nothing_due()
        self.tun = self.taker.arrived(self, opening)

    def turn_out(self) -> None:
        if self.tun < 0:
            self.fail()
        else:
            super().turn_out()

    def peer_ended(self, abrupt: bool) -> None:
        if self.tun >= 0:
            self.taker.client_ended(self.tun, abrupt)

    def _gone(self) -> None:
        super()._gone()
        self.on_gone()

    # -- the answers, each the last but opened ---------------------------------------------------

    def decline(self, come_back: int) -> None:
        self.send_line(b"BUSY %d" % (come_back // MS) if come_back >= MS else b"BUSY")
        self.finish()

    def fail(self) -> None:
        self.send_line(b"ERR")
        self.finish()

    def move(self) -> None:
        self.send_line(b"MOVE")
        self.finish()


class Listener(ServerFactory):
    """Takes clients in while slots are left; beyond that they wait in the system's queue."""

    noisy = False

    def __init__(self, means: Means, taker: Taker) -> None:
        self.means = means
        self.taker = taker
        self.port: Any = None

    def open(self, address: Address) -> None:
        host, port = address
        self.port = self.means.reactor.listenTCP(port, self, backlog=1024, interface=host)

    def buildProtocol(self, addr: IAddress) -> ClientLink | None:  # noqa: N802
        left = self.means.links.left
        if left <= SPARE_LINKS // 2:
            # Refused here by closing; a socket more might be the one that ends the process.
            logger.warning("no slot is left for a client")
            self.port.stopReading()
            return None
        return ClientLink(self.means, self.taker, self.has_room)

    def has_room(self) -> None:
        if self.means.links.left > SPARE_LINKS and self.port.connected:
            self.port.startReading()
