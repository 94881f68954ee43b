"""Backends that are killed right behind the accept of an attempt's connection."""

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

# Accepts one connection, says so, and reads nothing: what it was sent lies unread as it is killed.
ACCEPTS = """
import socket, sys, time
listener = socket.socket(fileno=int(sys.argv[1]))
link, _ = listener.accept()
print("accepted", flush=True)
time.sleep(60)
"""


@mark.parametrize(("name", "goes_on"), [("feed", True), ("mark", True), ("bill", False)])
def test_a_backend_killed_behind_its_accept_costs_what_its_attempt_may_have_run(
    name: str, goes_on: bool, tmp_path: Path
) -> None:
    """Non-idempotent requests may have run there and are not attempted again; the others are. Seen to fail
    with Outcome.RESET as CONNECT_FAILED in SetupConnection.peer_closed."""
    other = Backend("b")
    with socket.create_server(("127.0.0.1", 0)) as listener:
        told = other.entry() | {"id": "a", "host_port": "{}:{}".format(*listener.getsockname())}
        killed = subprocess.Popen(
            [sys.executable, "-c", ACCEPTS, str(listener.fileno())],
            pass_fds=[listener.fileno()],
            stdout=subprocess.PIPE,
        )
        listener.close()
        settings = EFFECTS | {"allowed": EFFECTS["allowed"] | {"probes": False}}
        known = {"revision": 7, "complete": True, "members": [told, other.entry("draining")]}
        try:
            with RelayProgram(tmp_path, [other], settings=settings, known=known) as relay:
                client = relay.client()
                client.link.sendall(f"OPEN 1 k c={name},d=3000\r\n".encode())
                assert killed.stdout.readline() == b"accepted\n"
                wait_until(lambda: relay.discovery.calls)
                relay.discovery.publish(other.entry())
                wait_until(lambda: len(relay.discovery.calls) > 1)
                killed.send_signal(signal.SIGKILL)
                assert client.read_line() == ("UP r" if goes_on else "ERR")
                assert len(other.open_lines) == goes_on
        finally:
            with suppress(ProcessLookupError):
                killed.kill()
            killed.wait()
