"""A relay whose machine's wall clock is stepped: what is due by time comes in real time."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

from helpers import MS, SECOND, SETTINGS, Backend, Client, Program, until
from pytest import fixture, mark

from cedarledge.faults.wall_clock import WallClock

HOUR = 3600 * SECOND
# Each is a series: a step, then the next a little later.
SERIES = {
    "forward": (5 * SECOND, HOUR),
    "back a little": (-SECOND // 5, -SECOND // 5, -SECOND // 5),
    "back": (-20 * SECOND,),
    "back an hour": (-HOUR,),
    "back again and again": (-3 * SECOND, -3 * SECOND, -3 * SECOND),
    "forward and back": (HOUR, -HOUR, HOUR, -HOUR, -20 * SECOND),
}
BETWEEN_STEPS = 0.05
# How long a relay has been stopping before the first step.
STOPPED_FOR = 0.3
# What a loaded machine may add.
SLACK = 0.5
series = mark.parametrize("steps", SERIES.values(), ids=[name.replace(" ", "-") for name in SERIES])


class SteppedProgram(Program):
    """A relay that runs by a wall clock of its own."""

    def __init__(self, tmp: Path, backends: list[Backend], clock: WallClock, **other: object) -> None:
        self.clock = clock
        self.environment = clock.environment()
        super().__init__(tmp, backends, **other)

    def step(self, steps: tuple[int, ...]) -> None:
        for by in steps:
            self.clock.step(by)
            time.sleep(BETWEEN_STEPS)


@fixture
def clock(tmp_path: Path) -> Iterator[WallClock]:
    clock = WallClock(tmp_path)
    yield clock
    clock.close()


def seconds_until(client: Client, word: str, write_every: float = 0.5) -> float:
    """How long it takes until a client that goes on writing is told a word."""
    began = time.monotonic()
    client.link.settimeout(write_every)
    while time.monotonic() - began < 12:
        try:
            if client.link.recv(100).decode().startswith(word):
                return time.monotonic() - began
        except TimeoutError:
            client.link.sendall(b"M 1\r\n")
    raise AssertionError(f"no {word} came")


@series
def test_clients_of_a_hung_backend_are_moved_in_time(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    """The incident: `MOVE` is owed within 7 s of silence; the relay gives it after 3 s."""
    backend = Backend("a")
    with SteppedProgram(tmp_path, [backend], clock) as relay:
        client = relay.client()
        assert client.open() == "UP r"
        backend.deaf = True
        client.link.sendall(b"M 0\r\n")
        relay.step(steps)
        assert seconds_until(client, "MOVE") < 3 + SLACK


@series
def test_attempts_end_before_their_clients_give_up(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    with SteppedProgram(tmp_path, [Backend("a", "hang")], clock) as relay:
        client = relay.client()
        began = time.monotonic()
        client.link.sendall(b"OPEN 1 k c=feed,d=1500,g=g1\r\n")
        relay.step(steps)
        assert client.hear() in ("ERR", "BUSY")
        assert time.monotonic() - began < 1.55


@series
def test_a_relay_that_is_told_to_end_ends_before_it_is_killed(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    with SteppedProgram(tmp_path, [Backend("a")], clock) as relay:
        client = relay.client()
        assert client.open() == "UP r"
        began = time.monotonic()
        relay.ask_to_stop()
        time.sleep(STOPPED_FOR)
        relay.step(steps)
        assert client.hear() == "MOVE"
        assert relay.process.wait(8) == 0
        assert time.monotonic() - began < 1.5 + 0.7


@series
def test_who_sends_no_whole_line_is_let_go(tmp_path: Path, clock: WallClock, steps: tuple[int, ...]) -> None:
    with SteppedProgram(tmp_path, [Backend("a")], clock) as relay:
        client = relay.client()
        began = time.monotonic()
        client.link.sendall(b"OPEN 1")
        relay.step(steps)
        assert client.hear() == ""
        assert time.monotonic() - began < 3


@series
def test_a_silent_watch_is_opened_anew(tmp_path: Path, clock: WallClock, steps: tuple[int, ...]) -> None:
    with SteppedProgram(tmp_path, [Backend("a")], clock) as relay:
        until(lambda: len(relay.discovery.calls) > 1)
        relay.discovery.fall_silent()
        calls, began = len(relay.discovery.calls), time.monotonic()
        relay.step(steps)
        until(lambda: len(relay.discovery.calls) > calls, 12)
        assert time.monotonic() - began < 6


@series
def test_a_draining_backend_loses_its_clients_in_time(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    """Moves are spread over 4 s by the policy's own timer."""
    backends = [Backend("a"), Backend("b")]
    with SteppedProgram(tmp_path, backends, clock) as relay:
        clients = [relay.client() for _ in range(6)]
        for number, client in enumerate(clients):
            assert client.open(str(number)) == "UP r"
        draining = max(backends, key=lambda backend: len(backend.opened))
        began = time.monotonic()
        relay.discovery.tell(draining.entry("draining"))
        relay.step(steps)
        until(lambda: len(draining.ends) >= len(draining.opened), 12)
        assert time.monotonic() - began < 4 + SLACK


@series
def test_a_new_configuration_is_followed(tmp_path: Path, clock: WallClock, steps: tuple[int, ...]) -> None:
    """The new address says nothing at first, so that the call to it has to be made anew."""
    with SteppedProgram(tmp_path, [Backend("a")], clock) as relay, SteppedDiscovery(relay) as moved:
        began = time.monotonic()
        relay.reload(discovery=moved.address)
        until(lambda: bool(moved.calls))
        relay.step(steps)
        until(lambda: len(moved.calls) > 1, 12)
        assert time.monotonic() - began < 6


class SteppedDiscovery:
    """A discovery that falls silent under its first call."""

    def __init__(self, relay: Program) -> None:
        self._discovery = type(relay.discovery)(relay.discovery.members)
        self.address = self._discovery.address
        self.calls = self._discovery.calls
        self._discovery.say = lambda link, data: None

    def __enter__(self) -> SteppedDiscovery:
        return self

    def __exit__(self, *_: object) -> None:
        self._discovery.socket.close()


def test_signals_and_steps_in_series_leave_exit_code_0(tmp_path: Path, clock: WallClock) -> None:
    with SteppedProgram(tmp_path, [Backend("a")], clock) as relay:
        client = relay.client()
        assert client.open() == "UP r"
        began = time.monotonic()
        for number in range(10):
            relay.process.send_signal(signal.SIGTERM if number % 2 else signal.SIGHUP)
            relay.step((-7 * SECOND,))
        assert client.hear() == "MOVE"
        assert relay.process.wait(8) == 0
        assert time.monotonic() - began < 0.1 + 1.5 + 0.7


# -- starts of backends, which are told in Unix time -------------------------------------------------


def started_now(backend: Backend) -> dict:
    return backend.entry() | {"up_since_ms": time.time_ns() // MS}


def test_a_relay_whose_machine_stands_an_hour_back_fills_backends_that_have_just_started(
    tmp_path: Path, clock: WallClock
) -> None:
    """By its own clock they start in an hour, and would count as cold until then."""
    clock.step(-HOUR)
    backends = [Backend("a"), Backend("b")]
    entries = [started_now(backend) for backend in backends]
    known = {"revision": 7, "complete": True, "members": entries}
    with SteppedProgram(tmp_path, backends, clock, known=known) as relay:
        time.sleep(SETTINGS["safety"]["warm_within"] / 1e6)
        warm = [relay.client().open(str(number)) for number in range(40)]
        assert warm == ["UP r"] * 40
