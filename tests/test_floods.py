"""Clients that send small, long or unsound requests at full speed: others are served in bounded memory."""

from __future__ import annotations

import asyncio
import multiprocessing
import re
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import hypothesis.strategies as st
from helpers import Backend, RelayProgram
from hypothesis import example, given, settings
from pytest import mark
from test_crossings import PATIENT

from cedarledge.net.clients import MalformedError, parse_open_request, parse_values
from cedarledge.net.lines import MAX_LINE_BYTES

FLOOD_S, HEAD_START_S = 2.5, 0.5
CONNECTIONS = 200
# By the deadline of a usual client here, s.
DEADLINE_S = 1.5
HELD_BACK_S = 1.0  # a line that is held back for longer loses its connection
LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 256}
KILOBYTES_ALLOWED = LIMITS["memory_mb"] * 1000
CALLS_ALLOWED = 60

Payload = Callable[[int], bytes]


def long_and_incomplete(number: int) -> bytes:
    return b"OPEN %x key " % number + b",".join(b"k%03d=v" % place for place in range(550)) + b"\r\n"


def long_and_ambiguous(number: int) -> bytes:
    return b"OPEN %x key c=feed,d=1000," % number + b",".join([b"a=b"] * 900) + b"\r\n"


def of_ever_new_names(number: int) -> bytes:
    return b"OPEN %x key%d c=class%d,d=1000,t=tenant%d\r\n" % (number, number, number, number)


def sound_with_ever_new_names(number: int) -> bytes:
    return b"OPEN %x key%d c=feed,d=1000,g=group%d\r\n" % (number, number, number)


def many_at_once(number: int) -> bytes:
    return b"PING\r\n" * 600


def without_an_end(number: int) -> bytes:
    return b"x" * 5000


def send_again_and_again(address: tuple[str, int], payload: Payload, connections: int) -> None:
    """Sends on so many connections at a time, each opened anew as soon as it has its answer or end."""

    async def one(first: int) -> None:
        number = first
        while time.monotonic() < end:
            with suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(payload(number))
                await asyncio.wait_for(reader.read(100), 5)
                writer.close()
            number += 1
            await asyncio.sleep(0)

    async def all_of_them() -> None:
        await asyncio.gather(*(one(place << 24) for place in range(1, connections + 1)))

    end = time.monotonic() + FLOOD_S
    asyncio.run(all_of_them())


def ping_at_full_speed(address: tuple[str, int], _payload: None, _connections: int) -> None:
    end = time.monotonic() + FLOOD_S
    with socket.create_connection(address) as link:
        while time.monotonic() < end:
            link.sendall(b"PING\r\n")
            if not link.recv(100):
                return


def send_empty_lines_on_an_open_connection(
    address: tuple[str, int], _payload: None, _connections: int
) -> None:
    end = time.monotonic() + FLOOD_S
    with socket.create_connection(address) as link:
        link.sendall(b"OPEN empty key c=feed,d=1500\r\n")
        while time.monotonic() < end and link.recv(1 << 16):
            link.sendall(b"\r\n" * 1000)


@contextmanager
def flooded(
    relay: RelayProgram, flood: Callable, payload: Payload | None, connections: int
) -> Iterator[None]:
    process = multiprocessing.get_context("spawn").Process(
        target=flood, args=(relay.address, payload, connections)
    )
    process.start()
    try:
        yield
    finally:
        process.join(FLOOD_S + 20)
        process.kill()


def resident_kilobytes(relay: RelayProgram) -> int:
    status = Path(f"/proc/{relay.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status)[1])


@mark.parametrize(
    ("flood", "payload", "connections"),
    [
        (send_again_and_again, long_and_incomplete, 1),
        (send_again_and_again, long_and_incomplete, CONNECTIONS),
        (send_again_and_again, long_and_ambiguous, CONNECTIONS),
        (send_again_and_again, of_ever_new_names, CONNECTIONS),
        (send_again_and_again, sound_with_ever_new_names, 1),
        (send_again_and_again, many_at_once, CONNECTIONS),
        (send_again_and_again, without_an_end, CONNECTIONS),
        (ping_at_full_speed, None, 1),
        (send_empty_lines_on_an_open_connection, None, 1),
    ],
)
def test_other_clients_are_served_in_time_during_a_flood(
    tmp_path: Path, flood: Callable, payload: Payload | None, connections: int
) -> None:
    """Guards against a client that holds up others, or has memory grow, by how fast or what it sends."""
    answers: list[str] = []
    times: list[float] = []

    def be_served(relay: RelayProgram, number: int) -> None:
        start = time.monotonic()
        try:
            client = relay.client()
            answers.append(client.open(f"usual{number}", "c=feed,d=1500"))
            client.close()
        except OSError as why:
            answers.append(repr(why))
        times.append(time.monotonic() - start)

    with RelayProgram(tmp_path, [Backend("a"), Backend("b")], settings=PATIENT, limits=LIMITS) as relay:
        stays = relay.client()
        assert stays.open() == "UP r"
        with flooded(relay, flood, payload, connections):
            time.sleep(HEAD_START_S)
            usual = [threading.Thread(target=be_served, args=(relay, number)) for number in range(25)]
            for thread in usual:
                thread.start()
                start = time.monotonic()
                assert stays.exchange("M 1") == "M 1" and time.monotonic() - start < HELD_BACK_S
                time.sleep(0.05)
            for thread in usual:
                thread.join()
        assert set(answers) == {"UP r"} and max(times) < DEADLINE_S
        assert resident_kilobytes(relay) < KILOBYTES_ALLOWED


def calls_made(action: Callable[[], object]) -> int:
    """Returns how many functions are called, built-in ones too."""
    events: list[str] = []
    sys.setprofile(lambda _frame, event, _argument: events.append(event))
    try:
        with suppress(MalformedError):
            action()
    finally:
        sys.setprofile(None)
    return sum(event in ("call", "c_call") for event in events)


@mark.parametrize("payload", [long_and_incomplete, long_and_ambiguous])
def test_a_refused_request_takes_no_call_for_each_of_its_values(payload: Payload) -> None:
    """Guards against refused long requests that hold up others, as each takes far longer than a short one."""
    line = payload(1).removesuffix(b"\r\n")
    assert MAX_LINE_BYTES * 3 // 4 < len(line) <= MAX_LINE_BYTES
    assert calls_made(lambda: parse_open_request(line)) < CALLS_ALLOWED


def values_one_by_one(text: str) -> dict[str, str] | None:
    """The plain way to parse a list of values; None if it is malformed."""
    values: dict[str, str] = {}
    for pair in text.split(","):
        name, separator, value = pair.partition("=")
        if not separator or name in values:
            return None
        values[name] = value
    return values


@given(text=st.text(st.sampled_from("ab=,1"), max_size=24))
@example(text="")
@example(text="a=1,b=2=3,=")
@settings(derandomize=True, deadline=None, max_examples=300)
def test_values_are_parsed_as_one_by_one(text: str) -> None:
    """Guards against a fast parser that accepts or refuses other lists than the plain one."""
    try:
        values = parse_values(text)
    except MalformedError:
        values = None
    assert values == values_one_by_one(text)
