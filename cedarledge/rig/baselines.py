"""What cedarledge is compared with, in the rig only: plain ways to choose a box on the same relay, and a bare
pass-through on the same Twisted that decides nothing.

    python -m cedarledge.rig.baselines random|fewest|hash|pass
"""

from __future__ import annotations

import json
import math
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cedarledge.choice import Balancer, Member, Tunnel, digest_of, draw_of

ALONE_SALT = 1 << 41


class PlainBalancer(Balancer):
    """Chooses among the ready members that the rules allow, knows nothing of their load, and tries again
    where the rules allow it. Drains, the list, and the rules on effects are the relay's, or nothing would be
    compared."""

    def _pick(self, now: int, tun: Tunnel) -> tuple[Member | None, str]:
        members = [
            member for cell in self.cells.values() for member in cell if self._may_follow(now, tun, member)
        ]
        return (self.choose(tun, members), "rank") if members else (None, "")

    def choose(self, tun: Tunnel, members: list[Member]) -> Member:
        raise NotImplementedError

    def _wants_look(self, now: int, tun: Tunnel, member: Member) -> bool:
        return False

    def _probe(self, now: int) -> None:
        """No probes."""

    def _relieve(self, now: int) -> None:
        """No moves but off draining members."""

    def _strike(self, now: int, member: Member) -> None:
        """Nobody is set aside."""


class RandomBalancer(PlainBalancer):
    """Any ready member."""

    def choose(self, tun: Tunnel, members: list[Member]) -> Member:
        return members[int(self.chance() * len(members))]


class FewestBalancer(PlainBalancer):
    """The member that holds the fewest of this relay's connections."""

    def choose(self, tun: Tunnel, members: list[Member]) -> Member:
        return min(members, key=lambda member: (member.open, member.tie))


class HashBalancer(PlainBalancer):
    """The key's member by rendezvous hashing, and the next one for each further setup."""

    def choose(self, tun: Tunnel, members: list[Member]) -> Member:
        seed = digest_of(tun.key or str(self.chance()))
        return max(
            members, key=lambda member: member.weight / -math.log(draw_of(seed, member.mark ^ ALONE_SALT))
        )


BALANCERS: dict[str, type[Balancer]] = {
    "random": RandomBalancer,
    "fewest": FewestBalancer,
    "hash": HashBalancer,
}


def run_pass(told: dict[str, Any]) -> int:
    """Hands each connection to the next box in turn, bytes unread."""
    from twisted.internet import reactor
    from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
    from twisted.internet.protocol import Protocol, ServerFactory

    boxes = [entry["host_port"].rpartition(":")[::2] for entry in told["known"]["members"]]
    turn = iter(lambda: boxes.append(boxes.pop(0)) or boxes[-1], None)

    class Box(Protocol):
        def __init__(self, client: Client) -> None:
            self.client = client

        def connectionMade(self) -> None:  # noqa: N802
            self.transport.setTcpNoDelay(True)
            self.client.box = self
            self.transport.write(self.client.early)

        def dataReceived(self, data: bytes) -> None:  # noqa: N802
            self.client.transport.write(data)

        def connectionLost(self, _reason: Any) -> None:  # noqa: N802
            self.client.transport.loseConnection()

    class Client(Protocol):
        early = b""
        box: Box | None = None

        def connectionMade(self) -> None:  # noqa: N802
            self.transport.setTcpNoDelay(True)

        def dataReceived(self, data: bytes) -> None:  # noqa: N802
            if self.box is not None:
                self.box.transport.write(data)
            elif data == b"PING\r\n":
                self.transport.write(b"PONG\r\n")
            else:
                first, self.early = not self.early, self.early + data
                if first:
                    host, port = next(turn)
                    connectProtocol(
                        TCP4ClientEndpoint(reactor, host, int(port), timeout=1), Box(self)
                    ).addErrback(lambda _why: self.transport.abortConnection())

        def connectionLost(self, _reason: Any) -> None:  # noqa: N802
            if self.box is not None:
                self.box.transport.loseConnection()

    factory: Callable[[], ServerFactory] = ServerFactory
    port = factory()
    port.protocol, port.noisy = Client, False
    host, _, number = told["listen"].rpartition(":")
    reactor.listenTCP(int(number), port, backlog=1024, interface=host)
    reactor.run()
    return 0


def main(name: str) -> int:
    if name == "pass":
        return run_pass(json.loads(Path(os.environ["BALANCER_CONFIG"]).read_bytes()))
    from cedarledge.net.config import read_orders
    from cedarledge.net.relay import run

    return run(read_orders(os.environ), balancer=BALANCERS[name])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
