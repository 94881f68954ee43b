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

from cedarledge.net.reactor import install_reactor
from cedarledge.policy import Balancer
from cedarledge.policy.cells import hash64, unit_hash
from cedarledge.policy.placement import Choice
from cedarledge.policy.retries import may_attempt
from cedarledge.policy.state import Backend, Connection, State
from cedarledge.terms import DeploymentSettings, PolicyHost

ALONE_SALT = 1 << 41


class PlainBalancer(Balancer):
    """Chooses among the ready backends that the rules allow, knows nothing of their load, and tries again
    where the rules allow it. Drains, the list, and the rules on effects are the relay's, or nothing would be
    compared. No probes, no moves but off draining backends, and nobody is ejected for a failed answer."""

    def __init__(self, host: PolicyHost, settings: DeploymentSettings) -> None:
        super().__init__(host, settings._replace(probes=False))

    def choose(self, state: State, now: int, connection: Connection) -> Choice | None:
        backends = [
            backend
            for cell in state.cells.values()
            for backend in cell
            if may_attempt(state, now, connection, backend)
        ]
        return Choice(self.choose_among(connection, backends), "rank") if backends else None

    def choose_among(self, connection: Connection, backends: list[Backend]) -> Backend:
        raise NotImplementedError

    def record_failure(self, state: State, now: int, backend: Backend) -> None:
        """Nobody is ejected."""

    def rebalance_connections(self, state: State, now: int) -> None:
        """No moves but off draining backends."""


class RandomBalancer(PlainBalancer):
    """Any ready backend."""

    def choose_among(self, connection: Connection, backends: list[Backend]) -> Backend:
        return backends[int(self.random() * len(backends))]


class FewestBalancer(PlainBalancer):
    """The backend that holds the fewest of this relay's connections."""

    def choose_among(self, connection: Connection, backends: list[Backend]) -> Backend:
        return min(backends, key=lambda backend: (backend.open, backend.tie_break))


class HashBalancer(PlainBalancer):
    """The key's backend by rendezvous hashing, and the next one for each further attempt."""

    def choose_among(self, connection: Connection, backends: list[Backend]) -> Backend:
        seed = hash64(connection.key or str(self.random()))

        def rank(backend: Backend) -> float:
            return backend.weight / -math.log(unit_hash(seed, backend.hash_id ^ ALONE_SALT))

        return max(backends, key=rank)


BALANCERS: dict[str, type[Balancer]] = {
    "random": RandomBalancer,
    "fewest": FewestBalancer,
    "hash": HashBalancer,
}


def run_pass(told: dict[str, Any]) -> int:
    """Hands each connection to the next box in turn, bytes unread."""
    from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
    from twisted.internet.protocol import Protocol, ServerFactory

    reactor = install_reactor()
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
    from cedarledge.net.config import read_config
    from cedarledge.net.relay import run

    return run(read_config(os.environ), balancer=BALANCERS[name])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
