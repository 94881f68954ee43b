"""Baselines for comparisons in the rig: simple balancing policies, and a pass-through proxy.

The policies `random`, `fewest` and `hash` run on the same relay. `pass` is a proxy on the same Twisted that
forwards bytes and takes backends round robin.

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

# Makes the hash differ from the other uses of a backend's hash id.
HASH_SALT = 1 << 41


class PlainBalancer(Balancer):
    """Base of the policies that choose among ready backends without regard to their load.

    Retries, draining, the backend list and the rules on side effects of requests stay as in the relay, so
    that runs are comparable. There are no probes, connections move only off draining backends, and no backend
    is ejected for failures.
    """

    def __init__(self, host: PolicyHost, settings: DeploymentSettings) -> None:
        """Takes the settings with probes disabled."""
        super().__init__(host, settings._replace(probes=False))

    def choose(self, state: State, now: int, connection: Connection) -> Choice | None:
        """Returns a backend that may be attempted, or None if there is none."""
        backends = [
            backend
            for cell in state.cells.values()
            for backend in cell
            if may_attempt(state, now, connection, backend)
        ]
        return Choice(self.choose_among(connection, backends), "rank") if backends else None

    def choose_among(self, connection: Connection, backends: list[Backend]) -> Backend:
        """Returns one of `backends`, which is not empty."""
        raise NotImplementedError

    def record_failure(self, state: State, now: int, backend: Backend) -> None:
        """Ignores the failure: no backend is ejected."""

    def rebalance_connections(self, state: State, now: int) -> None:
        """Moves nothing; the relay still moves connections off draining backends."""


class RandomBalancer(PlainBalancer):
    """Chooses a ready backend uniformly at random."""

    def choose_among(self, connection: Connection, backends: list[Backend]) -> Backend:
        """Returns a random backend."""
        return backends[int(self.random() * len(backends))]


class FewestBalancer(PlainBalancer):
    """Chooses the backend with the fewest open connections from this relay."""

    def choose_among(self, connection: Connection, backends: list[Backend]) -> Backend:
        """Returns the backend with the fewest open connections; `tie_break` decides between equal ones."""
        return min(backends, key=lambda backend: (backend.open, backend.tie_break))


class HashBalancer(PlainBalancer):
    """Chooses the backend of the connection's key by rendezvous hashing, and the next one for each retry."""

    def choose_among(self, connection: Connection, backends: list[Backend]) -> Backend:
        """Returns the backend with the highest weighted hash; without a key, a random one."""
        seed = hash64(connection.key or str(self.random()))

        def rank(backend: Backend) -> float:
            return backend.weight / -math.log(unit_hash(seed, backend.hash_id ^ HASH_SALT))

        return max(backends, key=rank)


BALANCERS: dict[str, type[Balancer]] = {
    "random": RandomBalancer,
    "fewest": FewestBalancer,
    "hash": HashBalancer,
}


def run_pass_through(configuration: dict[str, Any]) -> int:
    """Runs the pass-through proxy: forwards each connection to the next backend in turn, without parsing.

    A first packet that is exactly `PING` is answered here, as the rig asks by it whether the relay is ready.
    """
    from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
    from twisted.internet.protocol import Protocol, ServerFactory

    reactor = install_reactor()
    backends = [entry["host_port"].rpartition(":")[::2] for entry in configuration["known"]["members"]]
    round_robin = iter(lambda: backends.append(backends.pop(0)) or backends[-1], None)

    class BackendConnection(Protocol):
        def __init__(self, client: ClientConnection) -> None:
            self.client = client

        def connectionMade(self) -> None:  # noqa: N802
            self.transport.setTcpNoDelay(True)
            self.client.backend = self
            self.transport.write(self.client.pending_data)

        def dataReceived(self, data: bytes) -> None:  # noqa: N802
            self.client.transport.write(data)

        def connectionLost(self, _reason: Any) -> None:  # noqa: N802
            self.client.transport.loseConnection()

    class ClientConnection(Protocol):
        pending_data = b""
        backend: BackendConnection | None = None

        def connectionMade(self) -> None:  # noqa: N802
            self.transport.setTcpNoDelay(True)

        def dataReceived(self, data: bytes) -> None:  # noqa: N802
            if self.backend is not None:
                self.backend.transport.write(data)
            elif data == b"PING\r\n":
                self.transport.write(b"PONG\r\n")
            else:
                is_first, self.pending_data = not self.pending_data, self.pending_data + data
                if is_first:
                    host, port = next(round_robin)
                    connectProtocol(
                        TCP4ClientEndpoint(reactor, host, int(port), timeout=1), BackendConnection(self)
                    ).addErrback(lambda _reason: self.transport.abortConnection())

        def connectionLost(self, _reason: Any) -> None:  # noqa: N802
            if self.backend is not None:
                self.backend.transport.loseConnection()

    factory: Callable[[], ServerFactory] = ServerFactory
    port = factory()
    port.protocol, port.noisy = ClientConnection, False
    host, _, number = configuration["listen"].rpartition(":")
    reactor.listenTCP(int(number), port, backlog=1024, interface=host)
    reactor.run()
    return 0


def main(name: str) -> int:
    """Runs the baseline called `name` with the configuration in BALANCER_CONFIG; returns the exit code."""
    if name == "pass":
        return run_pass_through(json.loads(Path(os.environ["BALANCER_CONFIG"]).read_bytes()))
    from cedarledge.net.config import read_config
    from cedarledge.net.relay import run

    return run(read_config(os.environ), balancer=BALANCERS[name])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
