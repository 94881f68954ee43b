"""Relays that break one rule each, for the judge to find out: python broken_relay.py RULE."""

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
TOLD = json.loads(Path(os.environ["BALANCER_CONFIG"]).read_bytes())
BOXES = [entry["host_port"].rpartition(":")[::2] for entry in TOLD["known"]["members"]]
CHANCE = random.Random(int(TOLD["seed"], 16))
SOMETIMES = 0.1


class Box(Protocol):
    def __init__(self, client: Client) -> None:
        self.client = client

    def connectionMade(self) -> None:  # noqa: N802
        self.client.boxes.append(self)
        self.transport.write(self.client.line)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self is self.client.boxes[0]:
            self.client.from_box(data)

    def connectionLost(self, _reason: Any) -> None:  # noqa: N802
        self.client.transport.loseConnection()


class Client(Protocol):
    line = b""

    def connectionMade(self) -> None:  # noqa: N802
        self.boxes: list[Box] = []
        self.bad = CHANCE.random() < SOMETIMES

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if data == b"PING\r\n":
            self.transport.write(b"PONG\r\n")
        elif self.boxes:
            self.to_box(data)
        elif not self.line:
            self.line = data
            self.opens()

    def opens(self) -> None:
        if RULE == "unanswered" and self.bad:
            return
        if RULE == "not_what_a_box_made" and self.bad:
            self.transport.write(b"UP of-my-own\r\n")
            return
        for _ in range(2 if RULE == "overlapping_setups" and self.bad else 1):
            host, port = CHANCE.choice(BOXES)
            connectProtocol(TCP4ClientEndpoint(reactor, host, int(port)), Box(self)).addErrback(
                lambda _why: self.transport.loseConnection()
            )

    def from_box(self, data: bytes) -> None:
        if not self.bad or data.startswith(b"PONG"):
            self.transport.write(data)
        elif RULE == "answered_twice" and data.startswith(b"UP"):
            self.transport.write(data + b"ERR\r\n")
        elif RULE == "lines_lost" and data.startswith(b"e"):
            reactor.callLater(1.2, self.transport.write, data)
        else:
            self.transport.write(data)
            if RULE == "cut_without_move" and data.startswith(b"e"):
                self.transport.abortConnection()

    def to_box(self, data: bytes) -> None:
        self.boxes[0].transport.write(data)

    def connectionLost(self, _reason: Any) -> None:  # noqa: N802
        for box in self.boxes:
            box.transport.loseConnection()


factory = ServerFactory()
factory.protocol = Client
host, _, port = TOLD["listen"].rpartition(":")
reactor.listenTCP(int(port), factory, interface=host)
if RULE == "crashed":
    reactor.callLater(5, os._exit, 3)
reactor.run()
