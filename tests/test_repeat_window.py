"""Repeats of a deduplicated request: none is written once its group may have forgotten the request.

The window counts from the first attempt that may have run, and a send counts when it is written (rule 2 of
the wire page), however long its connection took to come up.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from pathlib import Path
from typing import IO

from helpers import SETTINGS, Backend, Client, RelayProgram, reset, wait_until

# How long the group discards repeats, s; a time before its end at which the first attempt is reset, and until
# when the other backends take no connections: their system answers the SYN that is sent 1 s after the first.
WINDOW_S, RESET_AFTER_S, HELD_S = 1.0, 0.4, 1.1
# The pages grant 50 ms on sockets, and 0.15 s for a relay that is held up between reading its clock and
# writing. A request that is given up is answered at once, with the same slack.
SLACK_S = 0.2
FILLERS = 4
TOKEN_CLASS = SETTINGS["profiles"][0] | {
    "name": "mark",
    "semantics": "token",
    "window": int(WINDOW_S * 1e6),
    "setup_goal": 4_000_000,
    "client_timeout": 4_800_000,
}
TOKEN_SETTINGS = SETTINGS | {
    "profiles": [TOKEN_CLASS],
    # Without probes, which would be made first, on connections of their own.
    "allowed": SETTINGS["allowed"] | {"connect_timeout": 1_500_000, "probes": False},
}


class HeldBackend(Backend):
    """Resets the group's first request after a while; the others' connections come up late meanwhile."""

    def __init__(self, name: str, group: list[HeldBackend]) -> None:
        self.group = group
        self.accepting = threading.Event()
        self.accepting.set()
        self.received: list[float] = []  # when each request came
        super().__init__(name)
        group.append(self)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                self.accepting.wait()
                link, _ = self.socket.accept()
                if not self.accepting.is_set():
                    link.close()  # the connection by which `hold` has ended this accept
                    continue
                threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def hold(self) -> None:
        """Lets connections come up only once their SYN is sent again: the queue is short, and full."""
        self.accepting.clear()
        with socket.create_connection(self.socket.getsockname()) as last_accepted:
            last_accepted.recv(1)
        self.socket.listen(0)
        fillers = [socket.socket() for _ in range(FILLERS)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(self.socket.getsockname())
        threading.Timer(HELD_S, self.release, [fillers]).start()

    def release(self, fillers: list[socket.socket]) -> None:
        for filler in fillers:
            filler.close()
        self.socket.listen(512)
        self.accepting.set()

    def serve_lines(self, link: socket.socket, lines: IO[bytes]) -> None:
        for _ in lines:
            self.received.append(time.monotonic())
            if sum(len(backend.received) for backend in self.group) > 1:
                link.sendall(b"UP r\r\n")
                continue
            for backend in self.group:
                if backend is not self:
                    backend.hold()
            time.sleep(RESET_AFTER_S)
            reset(link, lines)
            return


class Group:
    """Three backends that discard each other's repeats, and a relay with one request, which it repeats."""

    def __init__(self, tmp_path: Path, **token_class: object) -> None:
        self.backends: list[HeldBackend] = []
        for name in "abc":
            HeldBackend(name, self.backends)
        settings = TOKEN_SETTINGS | {"profiles": [TOKEN_CLASS | token_class]}
        self.relay = RelayProgram(tmp_path, list(self.backends), settings=settings)

    def start_request(self) -> Client:
        """Returns a client whose request was reset at one backend and waits for a connection to another."""
        client = self.relay.client()
        client.link.sendall(b"OPEN 1 k c=mark,d=4800\r\n")
        wait_until(lambda: self.received())
        time.sleep(RESET_AFTER_S + SLACK_S)
        return client

    def received(self) -> list[float]:
        """Returns when the backends have received the request."""
        return sorted(at for backend in self.backends for at in backend.received)


def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_written(tmp_path: Path) -> None:
    """Guards against a second execution, as the window was looked at only before the connection came up."""
    group = Group(tmp_path)
    with group.relay:
        client = group.start_request()
        answer = client.read_line()
        answered = time.monotonic()
        time.sleep(HELD_S)
        received = group.received()
    assert max(received) < received[0] + WINDOW_S + SLACK_S
    # The relay has tried until the window's end, and answers then.
    assert answer.startswith("BUSY")
    assert WINDOW_S - SLACK_S < answered - received[0] < WINDOW_S + SLACK_S


def test_a_repeat_whose_connection_comes_up_while_the_relay_is_paused_is_not_written(tmp_path: Path) -> None:
    """Guards against a second execution where the relay reads a new connection before its late timers."""
    group = Group(tmp_path)
    with group.relay:
        client = group.start_request()
        group.relay.pause()
        time.sleep(HELD_S)
        group.relay.resume()
        assert client.read_line().startswith("BUSY")
        assert len(group.received()) == 1


def test_a_repeat_is_not_written_to_a_backend_that_has_left_the_group_meanwhile(tmp_path: Path) -> None:
    """Guards against a second execution where the list moves a backend while its connection comes up."""
    group = Group(tmp_path, group="cell", window=5_000_000)
    with group.relay:
        client = group.start_request()
        held = [backend for backend in group.backends if not backend.received]
        group.relay.discovery.publish(*(backend.entry() | {"cell": 1} for backend in held))
        assert client.read_line() == "ERR"
        time.sleep(HELD_S)
        assert len(group.received()) == 1
