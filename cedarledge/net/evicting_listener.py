"""What every listener for callers that may hold a connection for nothing has: who makes room for whom."""

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

# Twisted takes in up to 20 more at a time than it is told to, and they fit into the room that is kept: a
# place comes free only after them.
ACCEPTS_PER_TURN = 4
BACKLOG = 1024
# How often, and how far apart in seconds, a listener is opened where this machine lacks something for it.
LISTEN_TRIES, LISTEN_AGAIN = 20, 0.05


class EvictingListener(ServerFactory):
    """Takes callers in, and has those leave that hold a connection for nothing where places run short: first
    who has had its answer, then who has given no sign of life for longest, by a byte or by connecting. By age
    alone a true caller that is slow to write would be among the first to go in a crowd. Who has sent nothing
    does not go before who has sent part: the newest, whose call has come and was not read yet, would be the
    first of them."""

    noisy = False
    spare_slots = 0  # with less than this left each newcomer takes the place of another

    def __init__(self, context: ConnectionContext) -> None:
        self.context = context
        self.port: Any = None
        # Each in the order in which they came to be there.
        self.answered: dict[LineConnection, None] = {}  # all is said, and the peer has not ended its side
        self.waiting: dict[LineConnection, None] = {}  # no whole call has come
        self.evicted: set[LineConnection] = set()  # made to leave, their slots about to come free

    def open(self, address: Address, inherited: int | None = None) -> None:
        """On a socket of its own, or on the one that this process inherited by that descriptor."""
        if inherited is None:
            self.port = self._listen(*address)
        else:
            os.set_blocking(inherited, False)
            # The reactor makes one of its own; the inherited one stays, as SIGHUP has it looked at again.
            self.port = self.context.reactor.adoptStreamPort(inherited, socket.AF_INET, self)
        self.port.numberAccepts = ACCEPTS_PER_TURN

    def _listen(self, host: str, port: int) -> Any:
        """Raises CannotListenError. Nothing is served yet, so it may wait."""
        for _ in range(LISTEN_TRIES - 1):
            try:
                return self.context.reactor.listenTCP(port, self, backlog=BACKLOG, interface=host)
            except (CannotListenError, OSError) as why:
                system = why.socketError if isinstance(why, CannotListenError) else why
                if getattr(system, "errno", None) not in RESOURCE_ERRORS:
                    raise
            time.sleep(LISTEN_AGAIN)
        return self.context.reactor.listenTCP(port, self, backlog=BACKLOG, interface=host)

    def evict_idle(self) -> None:
        # Twisted would take in a hundred and more before it lets one of those go that make room.
        self.port.numberAccepts = ACCEPTS_PER_TURN
        # A newcomer that becomes a tunnel takes a second slot for its setup, so it may be more than one.
        while self.context.connections.free + len(self.evicted) <= self.spare_slots and (
            held := self.answered or self.waiting
        ):
            link = next(iter(held))
            del held[link]
            self.evicted.add(link)
            link.abort()

    def mark_waiting(self, link: LineConnection) -> None:
        """It has connected, or more of its call has come and not the whole."""
        if link not in self.evicted:
            self.protect(link)
            self.waiting[link] = None

    def mark_answered(self, link: LineConnection) -> None:
        """All is said to it, for now at least."""
        if link not in self.evicted:
            self.protect(link)
            self.answered[link] = None

    def protect(self, link: LineConnection) -> None:
        """It makes room for nobody."""
        self.answered.pop(link, None)
        self.waiting.pop(link, None)

    def turn_away(self) -> None:
        """All who hold a connection and have not asked for anything whole."""
        for link in (*self.answered, *self.waiting):
            if not link.ending:  # or its last answer might go with it
                link.abort()

    def forget(self, link: LineConnection) -> None:
        self.protect(link)
        self.evicted.discard(link)
