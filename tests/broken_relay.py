"""Relays that break one rule each, which the judge must detect: python broken_relay.py RULE."""

from __future__ import annotations

import json
import os
import random
import sys
from pathlib import Path
from typing import Any

from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, ServerFactory

RULE = sys.argv[1]
CONFIG = json.loads(Path(os.environ["BALANCER_CONFIG"]).read_bytes())
BACKENDS = [entry["host_port"].rpartition(":")[::2] for entry in CONFIG["known"]["members"]]
RANDOM = random.Random(int(CONFIG["seed"], 16))
BREAK_SHARE = 0.1


class BackendConnection(Protocol):
    def __init__(self, client: Client) -> None:
        self.client = client

    def connectionMade(self) -> None:  # noqa: N802
        self.client.backends.append(self)
        self.transport.write(self.client.line)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self is self.client.backends[0]:
            self.client.from_backend(data)

    def connectionLost(self, _reason: Any) -> None:  # noqa: N802
        self.client.transport.loseConnection()


class Client(Protocol):
    line = b""

    def connectionMade(self) -> None:  # noqa: N802
        self.backends: list[BackendConnection] = []
        self.breaks_rule = RANDOM.random() < BREAK_SHARE

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if data == b"PING\r\n":
            self.transport.write(b"PONG\r\n")
        elif self.backends:
            self.to_backend(data)
        elif not self.line:
            self.line = data
            self.attempt()

    def attempt(self) -> None:
        if RULE == "unanswered" and self.breaks_rule:
            return
        if RULE == "not_what_a_box_made" and self.breaks_rule:
            self.transport.write(b"UP of-my-own\r\n")
            return
        for _ in range(2 if RULE == "overlapping_setups" and self.breaks_rule else 1):
            host, port = RANDOM.choice(BACKENDS)
            connectProtocol(TCP4ClientEndpoint(reactor, host, int(port)), BackendConnection(self)).addErrback(
                lambda _why: self.transport.loseConnection()
            )

    def from_backend(self, data: bytes) -> None:
        if not self.breaks_rule or data.startswith(b"PONG"):
            self.transport.write(data)
        elif RULE == "answered_twice" and data.startswith(b"UP"):
            self.transport.write(data + b"ERR\r\n")
        elif RULE == "lines_lost" and data.startswith(b"e"):
            reactor.callLater(1.2, self.transport.write, data)
        else:
            self.transport.write(data)
            if RULE == "cut_without_move" and data.startswith(b"e"):
                self.transport.abortConnection()

    def to_backend(self, data: bytes) -> None:
        self.backends[0].transport.write(data)

    def connectionLost(self, _reason: Any) -> None:  # noqa: N802
        for backend in self.backends:
            backend.transport.loseConnection()


factory = ServerFactory()
factory.protocol = Client
host, _, port = CONFIG["listen"].rpartition(":")
reactor.listenTCP(int(port), factory, interface=host)
if RULE == "crashed":
    reactor.callLater(5, os._exit, 3)
reactor.run()
