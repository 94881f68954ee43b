"""Hundreds of clients at once that write slowly, stop half way or send many values stay within memory."""

from __future__ import annotations

import resource
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from helpers import Backend, RelayProgram
from pytest import fixture, mark
from test_control import Caller, call, free_address
from test_crossings import PATIENT
from test_crowd import Crowd
from test_floods import resident_kilobytes

from cedarledge.net.control import MAX_HEAD_BYTES
from cedarledge.net.lines import MAX_LINE_BYTES

# As many descriptors as a configuration gives, with half of the memory that comes with them.
LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 1024}
KILOBYTES_ALLOWED = LIMITS["memory_mb"] * 1000
CLIENTS, ROUNDS = 900, 3

START = b"OPEN 0123 key c=feed,d=1000,"
HALF_OF_A_LONG_LINE = START + b"x" * (MAX_LINE_BYTES - len(START) - 1)
MANY_VALUES = START + b",".join(b"%x=" % number for number in range(0x100, 0x400))
A_LINE_TOO_LONG = b"y" * (256 << 10)
SMALL_PIECES = 16


@fixture
def many_descriptors() -> Iterator[None]:
    """Lets this process hold as many connections as the crowd needs."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 8 * CLIENTS)), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@mark.parametrize(
    "data",
    [HALF_OF_A_LONG_LINE, MANY_VALUES, A_LINE_TOO_LONG, START],
    ids=["half of a long line", "many short values", "a line without an end", "slow writers"],
)
def test_hundreds_of_clients_that_stop_half_way_stay_within_the_memory(
    tmp_path: Path, many_descriptors: None, data: bytes
) -> None:
    """Guards against memory that grows with what clients have sent of requests that they do not finish."""
    with RelayProgram(tmp_path, [Backend("a")], settings=PATIENT, limits=LIMITS) as relay:
        for _ in range(ROUNDS):
            crowd = Crowd(relay, data[: -2 * SMALL_PIECES] if data is not START else data)
            crowd.connect(CLIENTS)
            for _ in range(4 if data is not START else SMALL_PIECES):
                for link in crowd.sockets:
                    with suppress(OSError):
                        link.send(b"z=1,")
            assert relay.client().open(f"{time.monotonic_ns()}") == "UP r"
            for link in crowd.sockets:
                link.close()
        assert resident_kilobytes(relay) < KILOBYTES_ALLOWED


def test_operators_heads_of_many_short_fields_stay_within_the_memory(tmp_path: Path) -> None:
    """Guards against a control listener that holds whatever its callers send."""
    address = free_address()
    fields = b"A:1\r\n" * (MAX_HEAD_BYTES // 5 - 20)
    with RelayProgram(tmp_path, [Backend("a")], settings=PATIENT, limits=LIMITS, control=address) as relay:
        for _ in range(10):
            callers = [
                Caller(address).send(b"GET /control/ready HTTP/1.1\r\n").send(fields) for _ in range(30)
            ]
            assert call(address, "GET", "/control/ready") == 200
            del callers
        assert resident_kilobytes(relay) < KILOBYTES_ALLOWED
