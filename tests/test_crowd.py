"""True clients that are slow to write, in a crowd that connects and never finishes."""

from __future__ import annotations

import socket
import time
from contextlib import suppress
from pathlib import Path

from helpers import Backend, RelayProgram, wait_until
from pytest import mark

LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 160}


class Crowd:
    """Strangers who connect by dozens, say a little, and stay for as long as they may."""

    def __init__(self, relay: RelayProgram, says: bytes) -> None:
        self.relay = relay
        self.says = says
        self.links: list[socket.socket] = []

    def come(self, many: int) -> None:
        for _ in range(many):
            link = socket.socket()
            link.setblocking(False)
            with suppress(BlockingIOError):
                link.connect(self.relay.address)
            self.links.append(link)
        time.sleep(0.02)
        for link in self.links[-many:]:
            with suppress(OSError):
                link.send(self.says)


@mark.parametrize("says", [b"", b"PING\r\n", b"OPEN 0123", b"PING\r\nOPEN 01"])
def test_a_slow_true_client_is_served_in_a_crowd(tmp_path: Path, says: bytes) -> None:
    with RelayProgram(tmp_path, [Backend("a")], limits=LIMITS) as relay:
        crowd = Crowd(relay, says)
        crowd.come(150)
        slow = [relay.client() for _ in range(3)]
        for part in ("OPEN 00000000000000a%d ", "some", "-k", "ey c=f", "eed,d=1", "400,g=", "g1", "\r\n"):
            for number, client in enumerate(slow):
                client.link.sendall((part % number if "%" in part else part).encode())
            until_next = time.monotonic() + 0.2
            while time.monotonic() < until_next:
                crowd.come(10)
                time.sleep(0.03)
        assert [client.read_line() for client in slow] == ["UP r"] * 3
        # One that is quick is served besides, and the crowd does not end the relay.
        quick = relay.client()
        assert quick.open() == "UP r" and [client.exchange("M 1") for client in slow] == ["M 1"] * 3


def test_who_gives_up_between_its_request_and_the_answer_leaves_nothing_behind(tmp_path: Path) -> None:
    backend = Backend("a", "hang")
    with RelayProgram(tmp_path, [backend], limits=LIMITS) as relay:
        for number in range(60):
            client = relay.client()
            client.link.sendall(f"OPEN {number:016x} k c=bill,d=1500,g=g1\r\n".encode())
            wait_until(lambda number=number: len(backend.open_lines) > number)
            client.close()
        wait_until(lambda: len(backend.ends) >= 60)
        backend.modes = ["UP r"]
        assert relay.client().open() == "UP r"


def test_a_restart_in_a_crowd_moves_who_is_open_and_ends(tmp_path: Path) -> None:
    with RelayProgram(tmp_path, [Backend("a")], limits=LIMITS) as relay:
        crowd = Crowd(relay, b"OPEN 01")
        clients = [relay.client() for _ in range(8)]
        assert all(client.open(str(number)) == "UP r" for number, client in enumerate(clients))
        crowd.come(150)
        relay.terminate()
        start = time.monotonic()
        for _ in range(5):
            crowd.come(15)
        assert [client.read_line() for client in clients] == ["MOVE"] * 8
        # The platform kills it the longest client timeout, 1.5 s here, and 0.7 s after it asked.
        assert relay.process.wait(timeout=5) == 0 and time.monotonic() - start < 2.2
