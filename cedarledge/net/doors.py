"""What every listener for callers that may hold a connection for nothing has: who makes room for whom."""

from __future__ import annotations

import os
import socket
from typing import Any

from twisted.internet.protocol import ServerFactory

from cedarledge.net.config import Address
from cedarledge.net.links import Link, Means

# Twisted takes in up to 20 more at a time than it is told to, and they fit into the room that is kept: a
# place comes free only after them.
AT_A_TIME = 4


class Door(ServerFactory):
    """Takes callers in, and has those leave that hold a connection for nothing where places run short: first
    who has had its last answer, then who has waited longest without a whole call."""

    noisy = False
    room = 0  # with less than this left each newcomer takes the place of another

    def __init__(self, means: Means) -> None:
        self.means = means
        self.port: Any = None
        # Both in the order in which they came.
        self.waiting: dict[Link, None] = {}  # nothing whole has come
        self.leaving: dict[Link, None] = {}  # all is said, and the peer has not ended its side
        self.going: set[Link] = set()  # made to leave, their slots about to come free

    def open(self, address: Address, inherited: int | None = None) -> None:
        """On a socket of its own, or on the one that this process inherited by that descriptor."""
        if inherited is None:
            host, port = address
            self.port = self.means.reactor.listenTCP(port, self, backlog=1024, interface=host)
        else:
            os.set_blocking(inherited, False)
            self.port = self.means.reactor.adoptStreamPort(inherited, socket.AF_INET, self)
            os.close(inherited)  # the reactor has its own
        self.port.numberAccepts = AT_A_TIME

    def make_room(self) -> None:
        # Twisted would take in a hundred and more before it lets one of those go that make room.
        self.port.numberAccepts = AT_A_TIME
        # A newcomer that becomes a tunnel takes a second slot for its setup, so it may be more than one.
        while (self.means.links.left + len(self.going) <= self.room
               and (held := self.leaving or self.waiting)):
            link = next(iter(held))
            del held[link]
            self.going.add(link)
            link.abort()

    def answered(self, link: Link) -> None:
        """All is said to it."""
        self.waiting.pop(link, None)
        self.leaving[link] = None

    def gone(self, link: Link) -> None:
        self.waiting.pop(link, None)
        self.leaving.pop(link, None)
        self.going.discard(link)
