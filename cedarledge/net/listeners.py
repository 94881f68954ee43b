"""A listener that closes idle connections when it runs short of connection slots."""

from __future__ import annotations

import os
import socket
import time
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ServerFactory

from cedarledge.net.config import Address
from cedarledge.net.line_connection import ConnectionContext, LineConnection
from cedarledge.net.transient_errors import RESOURCE_ERRORS

# Connections that Twisted is told to accept in one turn of the reactor, and how many it may accept, as it
# raises that number by 20 after each turn. The spare slots cover these, since an evicted connection frees its
# slot only after the turn.
ACCEPTS_PER_TURN, MAX_ACCEPTS_PER_TURN = 4, 24
BACKLOG = 1024
# Attempts to open a listener while resources of the machine run short, and the seconds between two of them.
LISTEN_ATTEMPTS, LISTEN_RETRY_DELAY_S = 20, 0.05


class EvictingListener(ServerFactory):
    """Accepts connections, and aborts idle ones when slots run short.

    Evicted first are connections that have had their answer, then those without a complete request, the one
    whose last byte (or whose connect) is longest ago first. By the age of the connection alone, a legitimate
    client that writes slowly would be among the first to go when many connections arrive. Connections that
    have sent nothing do not go before those that have sent part of a request: the newest one, whose request
    has arrived but was not read yet, would be the first of them.
    """

    noisy = False

    def __init__(self, context: ConnectionContext, spare_slots: int) -> None:
        """Takes the slots from `context`; `open` starts to listen.

        With no more than `spare_slots` free, each new connection evicts an idle one.
        """
        self.context = context
        self.spare_slots = spare_slots
        self.port: Any = None
        # Idle connections, each set in the order in which they were marked so.
        self.answered: dict[LineConnection, None] = {}  # answered, and the peer has not closed its side
        self.waiting: dict[LineConnection, None] = {}  # no complete request has arrived
        self.evicted: set[LineConnection] = set()  # aborted, their slots not free yet

    def open(self, address: Address, inherited: int | None = None) -> None:
        """Listens on a new socket, or on the socket that this process inherited as descriptor `inherited`."""
        if inherited is None:
            self.port = self._listen(*address)
        else:
            os.set_blocking(inherited, False)
            # The reactor duplicates the descriptor. The inherited one stays open, since SIGHUP checks it
            # again.
            self.port = self.context.reactor.adoptStreamPort(inherited, socket.AF_INET, self)
        self.port.numberAccepts = ACCEPTS_PER_TURN

    def _listen(self, host: str, port: int) -> Any:
        """Opens the port, and retries while resources of the machine run short.

        It blocks in between, as nothing is served yet. Raises CannotListenError.
        """
        for _ in range(LISTEN_ATTEMPTS - 1):
            try:
                return self.context.reactor.listenTCP(port, self, backlog=BACKLOG, interface=host)
            except (CannotListenError, OSError) as why:
                error = why.socketError if isinstance(why, CannotListenError) else why
                if getattr(error, "errno", None) not in RESOURCE_ERRORS:
                    raise
            time.sleep(LISTEN_RETRY_DELAY_S)
        return self.context.reactor.listenTCP(port, self, backlog=BACKLOG, interface=host)

    def evict_idle(self) -> None:
        """Aborts idle connections until the spare slots are free; called for each new connection."""
        # With its default Twisted would accept over a hundred connections before it closes an evicted one.
        self.port.numberAccepts = ACCEPTS_PER_TURN
        # A new connection that becomes a tunnel takes a second slot for its attempt, so more than one may
        # have to go.
        while self.context.connections.free + len(self.evicted) <= self.spare_slots and (
            idle := self.answered or self.waiting
        ):
            link = next(iter(idle))
            del idle[link]
            self.evicted.add(link)
            link.abort()

    def mark_waiting(self, link: LineConnection) -> None:
        """Notes that a link has connected, or has sent a further part of its request but not all of it."""
        if link not in self.evicted:
            self.protect(link)
            self.waiting[link] = None

    def mark_answered(self, link: LineConnection) -> None:
        """Notes that a link has had its answer, for now at least."""
        if link not in self.evicted:
            self.protect(link)
            self.answered[link] = None

    def protect(self, link: LineConnection) -> None:
        """Exempts a link from eviction."""
        self.answered.pop(link, None)
        self.waiting.pop(link, None)

    def turn_away(self) -> None:
        """Aborts all connections that have sent no complete request or have had their answer."""
        for link in (*self.answered, *self.waiting):
            if not link.ending:  # or its last answer might be lost
                link.abort()

    def forget(self, link: LineConnection) -> None:
        """Drops a link whose connection is closed."""
        self.protect(link)
        self.evicted.discard(link)
