"""Connections that were open before the run: each is open again at its backend, or answered when it can't be.

The platform loses one only after 40 s (PROTOCOL.md, `at=`), so nothing that may pass within that time may end
its wait.
"""

from __future__ import annotations

import json
import socket
import threading
import time
from pathlib import Path

from helpers import SETTINGS, Backend, Client, Discovery, RelayProgram, http, wait_until
from pytest import mark

# The platform's limit, s.
UP_WITHIN_S = 40.0
# How long discovery does not answer, s. A deployment's discovery may take 3 s and more for one call.
DISCOVERY_DELAY_S = 3.5
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
STALE_LIST = {"revision": 5, "complete": False}
# The interval of list calls, us, with which calls wait for as long as they ever do.
LIST_INTERVAL_US = 10_000_000
# A connection that is given up is answered at once; the relay looks every 0.25 s.
ANSWER_WITHIN_S = 0.5
AT_LATE_BACKEND = "c=feed,d=1200,at=late"


class LateDiscovery(Discovery):
    """Does not tell its list until it is released; `trouble` is what a call brings meanwhile.

    "slow": nothing. "failing": 503. "stale": an older revision to the first call, nothing to later ones.
    """

    def __init__(self, members: list[dict], trouble: str) -> None:
        self.released = threading.Event()
        self.trouble = trouble
        super().__init__(members)

    def send(self, link: socket.socket, data: bytes) -> None:
        if self.trouble == "failing" and not self.released.is_set():
            link.sendall(UNAVAILABLE)
        elif self.trouble == "stale" and len(self.answered) == 1:
            link.sendall(http(json.dumps(STALE_LIST | {"members": self.members[:1]}).encode()))
        else:
            self.released.wait()
            super().send(link, data)


def start_with_old_list(
    tmp_path: Path, backends: list[Backend], known: list[Backend], discovery: Discovery, **other: object
) -> RelayProgram:
    """Returns a relay whose first list has only the backends `known`; discovery's list has all of them."""
    discovery.changes = [backend.entry() for backend in backends if backend not in known]
    return RelayProgram(
        tmp_path,
        backends,
        discovery=discovery.address,
        known={"revision": 6, "complete": True, "members": [backend.entry() for backend in known]},
        settings=SETTINGS | {"safety": SETTINGS["safety"] | {"ask_every": LIST_INTERVAL_US}},
        **other,
    )


def send_open(client: Client, names: str) -> None:
    """Sends a request without waiting for its answer, and lets the client wait as long as the platform."""
    client.link.settimeout(UP_WITHIN_S)
    client.link.sendall(f"OPEN {id(client):016x} k {names}\r\n".encode())


@mark.parametrize("trouble", ["slow", "failing", "stale"])
def test_a_connection_from_before_the_run_waits_until_discovery_tells_its_list(
    tmp_path: Path, trouble: str
) -> None:
    """Guards against ending it because an old list lacks its backend, while discovery has trouble."""
    backends = [Backend("early"), Backend("late")]
    discovery = LateDiscovery([backend.entry() for backend in backends], trouble)
    with start_with_old_list(tmp_path, backends, backends[:1], discovery) as relay:
        client = relay.client()
        send_open(client, AT_LATE_BACKEND)
        wait_until(lambda: discovery.calls)
        time.sleep(DISCOVERY_DELAY_S)
        discovery.released.set()
        assert client.read_line() == "UP r"
        assert len(backends[1].open_lines) == 1 and not backends[0].open_lines


def test_a_connection_from_before_the_run_ends_once_discovery_knows_no_such_backend(tmp_path: Path) -> None:
    """Guards against letting it wait for its whole time when discovery answers that the list is current."""
    with RelayProgram(tmp_path, [Backend("early")]) as relay:
        client = relay.client()
        send_open(client, AT_LATE_BACKEND)
        assert client.read_line() == "ERR"
        assert time.monotonic() - relay.discovery.answered[0] < ANSWER_WITHIN_S


def test_a_new_request_does_not_end_the_retries_of_a_connection_from_before_the_run(tmp_path: Path) -> None:
    """Guards against ending one that its backend has not taken yet because a new client has come."""
    backends = [Backend("early"), Backend("late", "BUSY")]
    with RelayProgram(tmp_path, backends) as relay:
        relay.discovery.publish(backends[1].entry("draining"))
        wait_until(lambda: len(relay.discovery.calls) > 1)
        client = relay.client()
        send_open(client, AT_LATE_BACKEND)
        wait_until(lambda: backends[1].open_lines)
        assert relay.client().open() == "UP r"
        wait_until(lambda: len(backends[1].open_lines) > 2)
        backends[1].modes = ["UP r"]
        assert client.read_line() == "UP r"
