"""Legitimate clients that write slowly, among many connections that never complete a request."""

from __future__ import annotations

import socket
import time
from contextlib import suppress
from pathlib import Path

from helpers import Backend, RelayProgram, wait_until
from pytest import mark

LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 160}


class Crowd:
    """Many connections that send part of a request, never complete it, and stay open as long as possible."""

    def __init__(self, relay: RelayProgram, data: bytes) -> None:
        self.relay = relay
        self.data = data
        self.sockets: list[socket.socket] = []

    def connect(self, count: int) -> None:
        for _ in range(count):
            link = socket.socket()
            link.setblocking(False)
            with suppress(BlockingIOError):
                link.connect(self.relay.address)
            self.sockets.append(link)
        time.sleep(0.02)
        for link in self.sockets[-count:]:
            with suppress(OSError):
                link.send(self.data)


@mark.parametrize("data", [b"", b"PING\r\n", b"OPEN 0123", b"PING\r\nOPEN 01"])
def test_a_slow_legitimate_client_is_served_in_a_crowd(tmp_path: Path, data: bytes) -> None:
    with RelayProgram(tmp_path, [Backend("a")], limits=LIMITS) as relay:
        crowd = Crowd(relay, data)
        crowd.connect(150)
        slow = [relay.client() for _ in range(3)]
        for part in ("OPEN 00000000000000a%d ", "some", "-k", "ey c=f", "eed,d=1", "400,g=", "g1", "\r\n"):
            for number, client in enumerate(slow):
                client.link.sendall((part % number if "%" in part else part).encode())
            until_next = time.monotonic() + 0.2
            while time.monotonic() < until_next:
                crowd.connect(10)
                time.sleep(0.03)
        assert [client.read_line() for client in slow] == ["UP r"] * 3
        # A fast client is served too, and the relay survives the crowd.
        quick = relay.client()
        assert quick.open() == "UP r" and [client.exchange("M 1") for client in slow] == ["M 1"] * 3


def test_clients_that_leave_between_request_and_answer_free_their_slots(tmp_path: Path) -> None:
    backend = Backend("a", "hang")
    with RelayProgram(tmp_path, [backend], limits=LIMITS) as relay:
        for number in range(60):
            client = relay.client()
            client.link.sendall(f"OPEN leaves{number} k c=bill,d=1500,g=g1\r\n".encode())
            wait_until(lambda number=number: len(backend.open_lines) > number)
            client.close()
        wait_until(lambda: len(backend.ends) >= 60)
        backend.modes = ["UP r"]
        assert relay.client().open() == "UP r"


def test_a_relay_in_a_crowd_moves_open_connections_and_stops(tmp_path: Path) -> None:
    with RelayProgram(tmp_path, [Backend("a")], limits=LIMITS) as relay:
        crowd = Crowd(relay, b"OPEN 01")
        clients = [relay.client() for _ in range(8)]
        assert all(client.open(str(number)) == "UP r" for number, client in enumerate(clients))
        crowd.connect(150)
        relay.terminate()
        start = time.monotonic()
        for _ in range(5):
            crowd.connect(15)
        assert [client.read_line() for client in clients] == ["MOVE"] * 8
        # The platform kills it after the longest client time-out, 1.5 s here, plus 0.7 s.
        assert relay.process.wait(timeout=5) == 0 and time.monotonic() - start < 2.2
