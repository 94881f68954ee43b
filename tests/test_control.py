"""The operators' front, on the program over sockets and on its reader alone."""

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
    """One connection to the operators' front."""

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
    behind=st.binary(max_size=40),
)
@settings(derandomize=True, deadline=None, max_examples=150)
def test_a_call_is_the_same_however_it_is_cut(lengths: list[int], body: bytes, behind: bytes) -> None:
    data = b"POST /control/x?y HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    reader, got, at = CallReader(), None, 0
    edges = [0, *[edge for edge in (sum(lengths[: n + 1]) for n in range(len(lengths))) if edge < len(data)]]
    for start, end in pairwise([*edges, len(data)]):
        assert got is None, "whole before its last byte"
        got = reader.feed(data[start:end] + (behind if end == len(data) else b""))
        at = end
    assert at == len(data) and got == Call("POST", "/control/x")


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
def test_what_is_no_call_is_told_so(data: bytes, status: int) -> None:
    with raises(CallError) as raised:
        CallReader().feed(data)
    assert raised.value.answer.status == status


def test_each_call_and_each_bad_call_has_its_answer(tmp_path: Path) -> None:
    with running(tmp_path, Backend("a")) as (relay, address):
        assert call(address, "GET", "/control/ready") == 200
        assert [call(address, "GET", path) for path in ("/", "/control", "/control/ready/x")] == [404] * 3
        status, fields, _ = Caller(address).send(b"POST /control/ready HTTP/1.1\r\n\r\n").answer()
        assert (status, fields["Allow"]) == (405, "GET")
        status, fields, _ = Caller(address).send(b"GET /control/in-service HTTP/1.1\r\n\r\n").answer()
        assert (status, fields["Allow"]) == (405, "POST")
        assert Caller(address).send(b"PING\r\n\r\n").answer()[0] == 400
        # In pieces; with a body, and more behind it; a caller that leaves at once.
        slow = Caller(address)
        for byte in b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n":
            slow.send(bytes((byte,)))
        assert slow.answer()[0] == 200
        full = b"POST /control/in-service HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello" + b"x" * 5000
        assert Caller(address).send(full).answer()[0] == 200
        Caller(address).send(b"GET /control/re").link.close()
        assert call(address, "GET", "/control/ready") == 200 and relay.answers()


def test_callers_that_hold_their_connection_delay_nobody(tmp_path: Path) -> None:
    with running(tmp_path, Backend("a")) as (relay, address):
        # Clients hold all that clients can have, too.
        strangers = []
        with suppress(OSError):
            for _ in range(600):
                strangers.append(relay.client())
        holders = [Caller(address).send(b"GET /cont") for _ in range(60)]
        for _ in range(10):
            start = time.monotonic()
            assert call(address, "GET", "/control/ready") == 200 and time.monotonic() - start < 1
        # Who stays for its whole time is told that it is over, and let go within 4 s.
        start = time.monotonic()
        assert holders[-1].answer()[0] == 408 and time.monotonic() - start < 4


def test_without_control_nothing_listens_and_a_bad_one_is_one_line(tmp_path: Path) -> None:
    for bad in ("nowhere", "127.0.0.1:99999", 7, ""):
        told = {
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
        path.write_text(json.dumps(told))
        ended = subprocess.run(
            [sys.executable, "-m", "cedarledge"],
            capture_output=True,
            text=True,
            timeout=20,
            env=os.environ | {"BALANCER_CONFIG": str(path)},
            check=False,
        )
        assert ended.returncode == 2 and ended.stderr.count("\n") == 1 and "control: " in ended.stderr
    with RelayProgram(tmp_path, [Backend("a")]) as relay:
        assert len(listeners(relay.process.pid)) == 1
    with running(tmp_path, Backend("a")) as (relay, _):
        assert len(listeners(relay.process.pid)) == 2


def listeners(pid: int) -> set[str]:
    """The sockets that a process listens on."""
    held = set()
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(FileNotFoundError):  # closed meanwhile
            held.add(os.readlink(entry))
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return {row[9] for row in rows if row[3] == "0A" and f"socket:[{row[9]}]" in held}


def test_out_of_service_moves_everybody_and_comes_back(tmp_path: Path) -> None:
    backend = Backend("a")
    with running(tmp_path, backend) as (relay, address):
        clients = [relay.client() for _ in range(10)]
        assert all(client.open(str(number)) == "UP r" for number, client in enumerate(clients))
        idle, start = relay.client(), time.monotonic()
        assert [call(address, "POST", "/control/out-of-service") for _ in range(2)] == [200, 200]
        assert relay.client().exchange("PING") == "ERR" and call(address, "GET", "/control/ready") == 503
        # One that was on its way still gets a final answer, and is moved with the others.
        late = relay.client()
        assert late.open("late") == "UP r"
        heard = [client.read_line() for client in (*clients, late)]
        assert heard == ["MOVE"] * 11 and 0.5 < time.monotonic() - start < 3.8
        assert idle.read_line() == "" and time.monotonic() - start < 4
        # Who comes all the same after its time is sent away at once, and no backend hears of it.
        time.sleep(max(0, start + 3.5 - time.monotonic()))
        seen = len(backend.open_lines)
        assert relay.client().open("later") == "BUSY" and len(backend.open_lines) == seen
        assert [call(address, "POST", "/control/in-service") for _ in range(2)] == [200, 200]
        assert relay.answers() and relay.client().open("again") == "UP r"


def test_back_in_service_in_the_middle_of_the_emptying_keeps_who_is_left(tmp_path: Path) -> None:
    with running(tmp_path, Backend("a")) as (relay, address):
        clients = [relay.client() for _ in range(20)]
        assert all(client.open(str(number)) == "UP r" for number, client in enumerate(clients))
        assert call(address, "POST", "/control/out-of-service") == 200
        time.sleep(0.7)
        assert call(address, "POST", "/control/in-service") == 200 and relay.answers()
        time.sleep(4)
        there = 0
        for client in clients:
            with suppress(OSError):
                there += client.exchange("M 1") == "M 1"
        assert 0 < there < 20


def test_what_waits_for_a_hung_backend_has_its_answer_before_the_emptying_ends(tmp_path: Path) -> None:
    backend = Backend("a", "hang")
    with running(tmp_path, backend) as (relay, address):
        client, start = relay.client(), time.monotonic()
        client.link.sendall(b"OPEN 00000000000000aa k c=bill,d=1500\r\n")
        wait_until(lambda: len(backend.open_lines) == 1)
        assert call(address, "POST", "/control/out-of-service") == 200
        assert client.read_line() == "ERR" and time.monotonic() - start < 4


def test_a_restart_while_out_of_service_ends_and_nobody_is_let_back_in(tmp_path: Path) -> None:
    with running(tmp_path, Backend("a")) as (relay, address):
        assert call(address, "POST", "/control/out-of-service") == 200
        relay.reload()
        wait_until(lambda: b"configuration read again" in relay.log.read_bytes())
        assert relay.client().exchange("PING") == "ERR", "a new configuration changes nothing of it"
        relay.terminate()
        wait_until(lambda: b"stops within" in relay.log.read_bytes())
        assert call(address, "POST", "/control/in-service") == 409
        assert call(address, "GET", "/control/ready") == 503
        assert relay.process.wait(timeout=6) == 0
