"""The operators' HTTP calls: on a running relay over sockets, and on the parser alone."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from itertools import pairwise
from pathlib import Path

import hypothesis.strategies as st
from helpers import Backend, RelayProgram, free_port, wait_until
from hypothesis import given, settings
from pytest import mark, raises

from cedarledge.net.control import MAX_BODY_BYTES, MAX_HEAD_BYTES, Call, CallError, CallReader


def free_address() -> str:
    return f"127.0.0.1:{free_port()}"


class Caller:
    """One connection to the operators' HTTP interface."""

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.link = socket.create_connection((host, int(port)), timeout=6)

    def send(self, data: bytes) -> Caller:
        self.link.sendall(data)
        return self

    def answer(self) -> tuple[int, dict[str, str], str]:
        data = b""
        while part := self.link.recv(4096):
            data += part
        head, _, body = data.decode().partition("\r\n\r\n")
        first, *lines = head.split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines)
        assert int(fields["Content-Length"]) == len(body) and body.count("\n") == 1
        return int(first.split()[1]), fields, body.strip()


def call(address: str, method: str, path: str) -> int:
    return Caller(address).send(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()).answer()[0]


@contextmanager
def running(tmp: Path, *backends: Backend, **other: object) -> Iterator[tuple[RelayProgram, str]]:
    address = free_address()
    with RelayProgram(tmp, list(backends), control=address, **other) as relay:
        yield relay, address


@given(
    lengths=st.lists(st.integers(1, 30), max_size=40),
    body=st.binary(max_size=200),
    trailing=st.binary(max_size=40),
)
@settings(derandomize=True, deadline=None, max_examples=150)
def test_a_call_is_parsed_the_same_however_it_is_split(
    lengths: list[int], body: bytes, trailing: bytes
) -> None:
    data = b"POST /control/x?y HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    reader, result, fed = CallReader(), None, 0
    edges = [0, *[edge for edge in (sum(lengths[: n + 1]) for n in range(len(lengths))) if edge < len(data)]]
    for start, end in pairwise([*edges, len(data)]):
        assert result is None, "complete before its last byte"
        result = reader.feed(data[start:end] + (trailing if end == len(data) else b""))
        fed = end
    assert fed == len(data) and result == Call("POST", "/control/x")


@mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET  HTTP/1.1\r\n\r\n", 400),
        (b"GET / SPDY/3\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nno field\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nA : b\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
        (b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * (MAX_HEAD_BYTES // 6), 431),
    ],
)
def test_a_malformed_call_is_refused_with_its_status(data: bytes, status: int) -> None:
    with raises(CallError) as raised:
        CallReader().feed(data)
    assert raised.value.answer.status == status


def test_valid_and_invalid_calls_get_their_answers(tmp_path: Path) -> None:
    with running(tmp_path, Backend("a")) as (relay, address):
        assert call(address, "GET", "/control/ready") == 200
        assert [call(address, "GET", path) for path in ("/", "/control", "/control/ready/x")] == [404] * 3
        status, fields, _ = Caller(address).send(b"POST /control/ready HTTP/1.1\r\n\r\n").answer()
        assert (status, fields["Allow"]) == (405, "GET")
        status, fields, _ = Caller(address).send(b"GET /control/in-service HTTP/1.1\r\n\r\n").answer()
        assert (status, fields["Allow"]) == (405, "POST")
        assert Caller(address).send(b"PING\r\n\r\n").answer()[0] == 400
        # A call in single bytes; one with a body and more bytes after it; one that breaks off.
        slow = Caller(address)
        for byte in b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n":
            slow.send(bytes((byte,)))
        assert slow.answer()[0] == 200
        full = b"POST /control/in-service HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello" + b"x" * 5000
        assert Caller(address).send(full).answer()[0] == 200
        Caller(address).send(b"GET /control/re").link.close()
        assert call(address, "GET", "/control/ready") == 200 and relay.answers()


def test_idle_connections_do_not_delay_calls(tmp_path: Path) -> None:
    with running(tmp_path, Backend("a")) as (relay, address):
        # Clients hold all slots for clients, too.
        strangers = []
        with suppress(OSError):
            for _ in range(600):
                strangers.append(relay.client())
        holders = [Caller(address).send(b"GET /cont") for _ in range(60)]
        for _ in range(10):
            start = time.monotonic()
            assert call(address, "GET", "/control/ready") == 200 and time.monotonic() - start < 1
        # A connection that is not evicted gets a 408 when its time is up, and is closed within 4 s.
        start = time.monotonic()
        assert holders[-1].answer()[0] == 408 and time.monotonic() - start < 4


def test_no_listener_without_control_and_one_error_line_for_a_bad_address(tmp_path: Path) -> None:
    for bad in ("nowhere", "127.0.0.1:99999", 7, ""):
        config = {
            "name": "n",
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:1",
            "seed": "1",
            "control": bad,
            "limits": {"sockets": 512},
            "known": {},
            "settings": {"profiles": []},
        }
        path = tmp_path / "bad.json"
        path.write_text(json.dumps(config))
        completed = subprocess.run(
            [sys.executable, "-m", "cedarledge"],
            capture_output=True,
            text=True,
            timeout=20,
            env=os.environ | {"BALANCER_CONFIG": str(path)},
            check=False,
        )
        assert (
            completed.returncode == 2
            and completed.stderr.count("\n") == 1
            and "control: " in completed.stderr
        )
    with RelayProgram(tmp_path, [Backend("a")]) as relay:
        assert len(listeners(relay.process.pid)) == 1
    with running(tmp_path, Backend("a")) as (relay, _):
        assert len(listeners(relay.process.pid)) == 2


def listeners(pid: int) -> set[str]:
    """Returns the inodes of the TCP sockets on which a process listens."""
    links = set()
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(FileNotFoundError):  # closed meanwhile
            links.add(os.readlink(entry))
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return {row[9] for row in rows if row[3] == "0A" and f"socket:[{row[9]}]" in links}


def test_out_of_service_moves_all_clients_and_in_service_takes_clients_again(tmp_path: Path) -> None:
    backend = Backend("a")
    with running(tmp_path, backend) as (relay, address):
        clients = [relay.client() for _ in range(10)]
        assert all(client.open(str(number)) == "UP r" for number, client in enumerate(clients))
        idle, start = relay.client(), time.monotonic()
        assert [call(address, "POST", "/control/out-of-service") for _ in range(2)] == [200, 200]
        assert relay.client().exchange("PING") == "ERR" and call(address, "GET", "/control/ready") == 503
        # A request that was on its way still gets a final answer, and is moved with the others.
        late = relay.client()
        assert late.open("late") == "UP r"
        answers = [client.read_line() for client in (*clients, late)]
        assert answers == ["MOVE"] * 11 and 0.5 < time.monotonic() - start < 3.8
        assert idle.read_line() == "" and time.monotonic() - start < 4
        # A request after that time is rejected at once, and no backend gets it.
        time.sleep(max(0, start + 3.5 - time.monotonic()))
        heads = len(backend.open_lines)
        assert relay.client().open("later") == "BUSY" and len(backend.open_lines) == heads
        assert [call(address, "POST", "/control/in-service") for _ in range(2)] == [200, 200]
        assert relay.answers() and relay.client().open("again") == "UP r"


def test_in_service_during_the_moves_keeps_the_remaining_connections(tmp_path: Path) -> None:
    with running(tmp_path, Backend("a")) as (relay, address):
        clients = [relay.client() for _ in range(20)]
        assert all(client.open(str(number)) == "UP r" for number, client in enumerate(clients))
        assert call(address, "POST", "/control/out-of-service") == 200
        time.sleep(0.7)
        assert call(address, "POST", "/control/in-service") == 200 and relay.answers()
        time.sleep(4)
        kept = 0
        for client in clients:
            with suppress(OSError):
                kept += client.exchange("M 1") == "M 1"
        assert 0 < kept < 20


def test_requests_at_a_hung_backend_are_answered_before_the_relay_is_out_of_service(tmp_path: Path) -> None:
    backend = Backend("a", "hang")
    with running(tmp_path, backend) as (relay, address):
        client, start = relay.client(), time.monotonic()
        client.link.sendall(b"OPEN 00000000000000aa k c=bill,d=1500\r\n")
        wait_until(lambda: len(backend.open_lines) == 1)
        assert call(address, "POST", "/control/out-of-service") == 200
        assert client.read_line() == "ERR" and time.monotonic() - start < 4


def test_a_relay_out_of_service_stops_on_sigterm_and_refuses_in_service(tmp_path: Path) -> None:
    with running(tmp_path, Backend("a")) as (relay, address):
        assert call(address, "POST", "/control/out-of-service") == 200
        relay.reload()
        wait_until(lambda: b"configuration read again" in relay.log.read_bytes())
        assert relay.client().exchange("PING") == "ERR", (
            "reading the configuration again leaves the service state"
        )
        relay.terminate()
        wait_until(lambda: b"stops within" in relay.log.read_bytes())
        assert call(address, "POST", "/control/in-service") == 409
        assert call(address, "GET", "/control/ready") == 503
        assert relay.process.wait(timeout=6) == 0
