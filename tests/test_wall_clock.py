"""A relay whose machine's wall clock is stepped: what is due by time comes in real time."""

from __future__ import annotations

import os
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

from helpers import MS, SECOND, SETTINGS, Backend, Client, RelayProgram, wait_until
from pytest import fixture, mark
from test_handover import RestartableRelay, connect_to, restartable_relay

from cedarledge.faults.wall_clock import WallClock
from cedarledge.net.handover import VERSION, encode_message, socket_path
from cedarledge.net.start_times import StartTimes

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


class SteppedProgram(RelayProgram):
    """A relay that runs by a wall clock of its own."""

    def __init__(self, tmp: Path, backends: list[Backend], clock: WallClock, **other: object) -> None:
        self.clock = clock
        self.environment = clock.environment()
        super().__init__(tmp, backends, **other)

    def step(self, steps: tuple[int, ...]) -> None:
        for by in steps:
            self.clock.step(by)
            time.sleep(BETWEEN_STEPS)

    def __exit__(self, *unused: object) -> None:
        super().__exit__(*unused)
        assert "invariant broken:" not in self.log.read_text()


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
        backend.unresponsive = True
        client.link.sendall(b"M 0\r\n")
        relay.step(steps)
        assert seconds_until(client, "MOVE") < 3 + SLACK
        assert "the wall clock was stepped" in relay.log.read_text()


@series
def test_attempts_end_before_their_clients_give_up(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    with SteppedProgram(tmp_path, [Backend("a", "hang")], clock) as relay:
        client = relay.client()
        began = time.monotonic()
        client.link.sendall(b"OPEN 1 k c=feed,d=1500,g=g1\r\n")
        relay.step(steps)
        assert client.read_line() in ("ERR", "BUSY")
        assert time.monotonic() - began < 1.55


@series
def test_a_relay_that_is_told_to_end_ends_before_it_is_killed(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    with SteppedProgram(tmp_path, [Backend("a")], clock) as relay:
        client = relay.client()
        assert client.open() == "UP r"
        began = time.monotonic()
        relay.terminate()
        time.sleep(STOPPED_FOR)
        relay.step(steps)
        assert client.read_line() == "MOVE"
        assert relay.process.wait(8) == 0
        assert time.monotonic() - began < 1.5 + 0.7


@series
def test_who_sends_no_whole_line_is_let_go(tmp_path: Path, clock: WallClock, steps: tuple[int, ...]) -> None:
    with SteppedProgram(tmp_path, [Backend("a")], clock) as relay:
        client = relay.client()
        began = time.monotonic()
        client.link.sendall(b"OPEN 1")
        relay.step(steps)
        assert client.read_line() == ""
        assert time.monotonic() - began < 3


@series
def test_a_silent_watch_is_opened_anew(tmp_path: Path, clock: WallClock, steps: tuple[int, ...]) -> None:
    with SteppedProgram(tmp_path, [Backend("a")], clock) as relay:
        wait_until(lambda: len(relay.discovery.calls) > 1)
        relay.discovery.fall_silent()
        calls, began = len(relay.discovery.calls), time.monotonic()
        relay.step(steps)
        wait_until(lambda: len(relay.discovery.calls) > calls, 12)
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
        relay.discovery.publish(draining.entry("draining"))
        relay.step(steps)
        wait_until(lambda: len(draining.ends) >= len(draining.opened), 12)
        assert time.monotonic() - began < 4 + SLACK


@series
def test_a_new_configuration_is_followed(tmp_path: Path, clock: WallClock, steps: tuple[int, ...]) -> None:
    """The new address says nothing at first, so that the call to it has to be made anew."""
    with SteppedProgram(tmp_path, [Backend("a")], clock) as relay, SteppedDiscovery(relay) as moved:
        began = time.monotonic()
        relay.reload(discovery=moved.address)
        wait_until(lambda: bool(moved.calls))
        relay.step(steps)
        wait_until(lambda: len(moved.calls) > 1, 12)
        assert time.monotonic() - began < 6


class SteppedDiscovery:
    """A discovery that falls silent under its first call."""

    def __init__(self, relay: RelayProgram) -> None:
        self._discovery = type(relay.discovery)(relay.discovery.members)
        self.address = self._discovery.address
        self.calls = self._discovery.calls
        self._discovery.send = lambda link, data: None

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
        assert client.read_line() == "MOVE"
        assert relay.process.wait(8) == 0
        assert time.monotonic() - began < 0.1 + 1.5 + 0.7


# -- one process after the other ---------------------------------------------------------------------


class SteppedPair(RestartableRelay):
    """Processes of one relay, one after the other, by one wall clock."""

    def __init__(self, tmp: Path, backends: list[Backend], clock: WallClock) -> None:
        self.environment = clock.environment()
        super().__init__(tmp, backends)


@series
def test_who_asks_and_does_not_take_over_loses_its_lease_in_time(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    with SteppedPair(tmp_path, [Backend("a")], clock) as relay, socket.socket(socket.AF_UNIX) as asks:
        connect_to(asks, socket_path(relay.folder, "n0", relay.process.pid))
        asks.sendall(encode_message(version=VERSION, name="n0"))
        assert asks.recv(1)
        began = time.monotonic()
        for by in steps:
            clock.step(by)
        assert relay.client().open() == "UP r", "waits in the queue for as long as the lease"
        assert time.monotonic() - began < 1.5 + SLACK


@series
def test_processes_take_over_one_after_the_other(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    backend = Backend("a")
    with SteppedPair(tmp_path, [backend], clock) as relay:
        held = relay.client()
        assert held.open() == "UP r"
        for by in steps:
            clock.step(by)
            assert relay.start_next() < 6
            assert relay.client().open() == "UP r"
            before = relay.processes[-2]
            before.terminate()
            clock.step(-by)
            clock.step(by)
            assert before.wait(8) == 0
        assert held.read_line() == "MOVE"
        assert relay.log.read_text().count("goes on alone") == 1, (
            "the first process, which has none before it"
        )


def test_the_newest_process_is_asked_whatever_the_times_of_the_sockets_say(tmp_path: Path) -> None:
    """As a step back between the starts of the two leaves them."""
    with restartable_relay(tmp_path, Backend("a")) as relay:
        assert relay.start_next() < 6
        os.utime(socket_path(relay.folder, "n0", relay.processes[1].pid), (1, 1))
        assert relay.start_next() < 6
        assert not relay.logged("asked again"), "the oldest was asked, which has handed over already"


def test_what_one_process_knew_of_unix_time_goes_over_to_the_next() -> None:
    shared, told = 77 * SECOND, 1000 * HOUR
    old = StartTimes(lambda: told + HOUR)
    old.correction = HOUR + 2 * SECOND
    new = StartTimes(lambda: told - 5 * HOUR)
    new.adopt_unix_offset(old.unix_offset(shared), shared)
    age = old._clock() - old.on_relay_clock(1, told - 10 * SECOND)
    assert new._clock() - new.on_relay_clock(1, told - 10 * SECOND) == age


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


class SeenStarts:
    """A registry's start times by a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 1000 * HOUR
        self.times = StartTimes(lambda: self.now)

    def pass_time(self, span: int) -> None:
        """Lets time pass up to the next answer of discovery, which says nothing of starts."""
        self.now += span
        self.times.mark_list_current()


def test_starts_are_taken_as_told_where_the_clocks_agree() -> None:
    seen = SeenStarts()
    assert seen.times.on_relay_clock(0, 0) == 0, "long ago"
    assert seen.times.on_relay_clock(1, seen.now - HOUR) == seen.now - HOUR, "before the first list"
    seen.pass_time(3 * SECOND)
    assert seen.times.on_relay_clock(2, seen.now - SECOND) == seen.now - SECOND
    assert seen.times.on_relay_clock(1, seen.now - 3 * SECOND - HOUR) == seen.now - 3 * SECOND - HOUR
    seen.pass_time(8 * SECOND)
    told = seen.now - 2 * SECOND
    assert seen.times.on_relay_clock(3, told) == told, "listed late, as discovery may"


@mark.parametrize("ahead", [0, HOUR, 20 * SECOND, -HOUR])
def test_the_newest_start_of_a_first_list_is_taken_for_one_of_that_moment(ahead: int) -> None:
    """Whether the wall clock was stepped before this relay started, nothing tells it yet."""
    seen = SeenStarts()
    newest = seen.now - 3 * SECOND - ahead
    seen.times.calibrate([0, newest, newest - 5 * SECOND, newest - HOUR])
    assert seen.times.on_relay_clock(0, 0) == 0
    assert seen.times.on_relay_clock(1, newest) == seen.now
    assert seen.times.on_relay_clock(2, newest - 5 * SECOND) == seen.now - 5 * SECOND
    assert seen.times.on_relay_clock(3, newest - HOUR) == seen.now - HOUR
    seen.pass_time(10 * SECOND)
    true_start = seen.now - SECOND
    assert true_start <= seen.times.on_relay_clock(4, true_start - ahead) <= seen.now


@mark.parametrize("ahead", [HOUR, 20 * SECOND, -HOUR, -SECOND // 5])
def test_a_start_that_is_seen_sets_a_wrong_clock_right(ahead: int) -> None:
    seen = SeenStarts()
    seen.pass_time(3 * SECOND)
    seen.pass_time(3 * SECOND)
    true_start = seen.now - SECOND
    placed = seen.times.on_relay_clock(1, true_start - ahead)
    assert true_start <= placed <= seen.now, "cold for no shorter than it is"
    seen.pass_time(10 * SECOND)
    assert seen.times.on_relay_clock(1, true_start - ahead) == placed, "one start stays where it is"
    true_start = seen.now - 2 * SECOND
    assert true_start <= seen.times.on_relay_clock(2, true_start - ahead) <= seen.now
    seen.pass_time(HOUR)
    assert seen.times.on_relay_clock(3, seen.now - SECOND - ahead) <= seen.now


def test_a_backend_that_is_listed_long_after_its_start_makes_others_cold_once_at_most() -> None:
    seen = SeenStarts()
    seen.pass_time(SECOND)
    seen.times.on_relay_clock(1, seen.now - HOUR)
    for backend_id in (2, 3):
        seen.pass_time(SECOND)
        told = seen.now - SECOND // 2
        assert told <= seen.times.on_relay_clock(backend_id, told) <= seen.now
