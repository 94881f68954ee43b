"""Backends that are killed right after they accepted the connection of an attempt."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

from helpers import Backend, RelayProgram, wait_until
from pytest import mark
from test_crossings import EFFECTS

# Accepts one connection, reports it, and reads nothing, so that the request is unread when it is killed.
ACCEPTING_BACKEND = """
import socket, sys, time
listener = socket.socket(fileno=int(sys.argv[1]))
link, _ = listener.accept()
print("accepted", flush=True)
time.sleep(60)
"""


@mark.parametrize(("name", "is_retried"), [("feed", True), ("mark", True), ("bill", False)])
def test_only_requests_that_may_run_twice_are_retried_after_a_backend_is_killed_behind_its_accept(
    name: str, is_retried: bool, tmp_path: Path
) -> None:
    """Requests that are not idempotent may have run there and are not attempted again; the others are.

    The test fails with Outcome.RESET replaced by CONNECT_FAILED in SetupConnection.peer_closed.
    """
    other = Backend("b")
    with socket.create_server(("127.0.0.1", 0)) as listener:
        entry = other.entry() | {"id": "a", "host_port": "{}:{}".format(*listener.getsockname())}
        killed = subprocess.Popen(
            [sys.executable, "-c", ACCEPTING_BACKEND, str(listener.fileno())],
            pass_fds=[listener.fileno()],
            stdout=subprocess.PIPE,
        )
        listener.close()
        settings = EFFECTS | {"allowed": EFFECTS["allowed"] | {"probes": False}}
        known = {"revision": 7, "complete": True, "members": [entry, other.entry("draining")]}
        try:
            with RelayProgram(tmp_path, [other], settings=settings, known=known) as relay:
                client = relay.client()
                client.link.sendall(f"OPEN 1 k c={name},d=3000\r\n".encode())
                assert killed.stdout.readline() == b"accepted\n"
                wait_until(lambda: relay.discovery.calls)
                relay.discovery.publish(other.entry())
                wait_until(lambda: len(relay.discovery.calls) > 1)
                killed.send_signal(signal.SIGKILL)
                assert client.read_line() == ("UP r" if is_retried else "ERR")
                assert len(other.open_lines) == is_retried
        finally:
            with suppress(ProcessLookupError):
                killed.kill()
            killed.wait()
