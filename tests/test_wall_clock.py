"""A relay whose machine's wall clock is stepped: everything that is timed happens in real time."""

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
# Steps of the wall clock in ns; the steps of a series follow each other closely.
STEP_SERIES = {
    "forward": (5 * SECOND, HOUR),
    "back a little": (-SECOND // 5, -SECOND // 5, -SECOND // 5),
    "back": (-20 * SECOND,),
    "back an hour": (-HOUR,),
    "back again and again": (-3 * SECOND, -3 * SECOND, -3 * SECOND),
    "forward and back": (HOUR, -HOUR, HOUR, -HOUR, -20 * SECOND),
}
BETWEEN_STEPS = 0.05
# Seconds between SIGTERM and the first step.
STOPPED_FOR = 0.3
# Seconds that a loaded machine may add.
SLACK = 0.5
with_each_step_series = mark.parametrize(
    "steps", STEP_SERIES.values(), ids=[name.replace(" ", "-") for name in STEP_SERIES]
)


class RelayWithSteppedClock(RelayProgram):
    """A relay process with a wall clock of its own, which the test can step."""

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
    """Returns after how many seconds a client that keeps writing receives a word."""
    began = time.monotonic()
    client.link.settimeout(write_every)
    while time.monotonic() - began < 12:
        try:
            if client.link.recv(100).decode().startswith(word):
                return time.monotonic() - began
        except TimeoutError:
            client.link.sendall(b"M 1\r\n")
    raise AssertionError(f"no {word} came")


@with_each_step_series
def test_clients_of_a_hung_backend_are_moved_in_time(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    """A step of the wall clock once delayed the moves.

    `MOVE` is due within 7 s of silence; the relay sends it after 3 s.
    """
    backend = Backend("a")
    with RelayWithSteppedClock(tmp_path, [backend], clock) as relay:
        client = relay.client()
        assert client.open() == "UP r"
        backend.unresponsive = True
        client.link.sendall(b"M 0\r\n")
        relay.step(steps)
        assert seconds_until(client, "MOVE") < 3 + SLACK
        assert "the wall clock was stepped" in relay.log.read_text()


@with_each_step_series
def test_requests_are_answered_before_their_clients_time_out(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    with RelayWithSteppedClock(tmp_path, [Backend("a", "hang")], clock) as relay:
        client = relay.client()
        began = time.monotonic()
        client.link.sendall(b"OPEN 1 k c=feed,d=1500,g=g1\r\n")
        relay.step(steps)
        assert client.read_line() in ("ERR", "BUSY")
        assert time.monotonic() - began < 1.55


@with_each_step_series
def test_a_relay_that_gets_sigterm_ends_before_it_is_killed(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    with RelayWithSteppedClock(tmp_path, [Backend("a")], clock) as relay:
        client = relay.client()
        assert client.open() == "UP r"
        began = time.monotonic()
        relay.terminate()
        time.sleep(STOPPED_FOR)
        relay.step(steps)
        assert client.read_line() == "MOVE"
        assert relay.process.wait(8) == 0
        assert time.monotonic() - began < 1.5 + 0.7


@with_each_step_series
def test_a_client_that_sends_no_whole_line_is_disconnected(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    with RelayWithSteppedClock(tmp_path, [Backend("a")], clock) as relay:
        client = relay.client()
        began = time.monotonic()
        client.link.sendall(b"OPEN 1")
        relay.step(steps)
        assert client.read_line() == ""
        assert time.monotonic() - began < 3


@with_each_step_series
def test_a_silent_watch_is_reopened(tmp_path: Path, clock: WallClock, steps: tuple[int, ...]) -> None:
    with RelayWithSteppedClock(tmp_path, [Backend("a")], clock) as relay:
        wait_until(lambda: len(relay.discovery.calls) > 1)
        relay.discovery.fall_silent()
        calls, began = len(relay.discovery.calls), time.monotonic()
        relay.step(steps)
        wait_until(lambda: len(relay.discovery.calls) > calls, 12)
        assert time.monotonic() - began < 6


@with_each_step_series
def test_clients_of_a_draining_backend_are_moved_in_time(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    """The policy spreads the moves over 4 s by a timer of its own."""
    backends = [Backend("a"), Backend("b")]
    with RelayWithSteppedClock(tmp_path, backends, clock) as relay:
        clients = [relay.client() for _ in range(6)]
        for number, client in enumerate(clients):
            assert client.open(str(number)) == "UP r"
        draining = max(backends, key=lambda backend: len(backend.opened))
        began = time.monotonic()
        relay.discovery.publish(draining.entry("draining"))
        relay.step(steps)
        wait_until(lambda: len(draining.ends) >= len(draining.opened), 12)
        assert time.monotonic() - began < 4 + SLACK


@with_each_step_series
def test_a_new_discovery_address_is_followed(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    """The first call to the new address gets no answer, so it has to be repeated."""
    with (
        RelayWithSteppedClock(tmp_path, [Backend("a")], clock) as relay,
        SilentDiscovery(relay) as new_discovery,
    ):
        began = time.monotonic()
        relay.reload(discovery=new_discovery.address)
        wait_until(lambda: bool(new_discovery.calls))
        relay.step(steps)
        wait_until(lambda: len(new_discovery.calls) > 1, 12)
        assert time.monotonic() - began < 6


class SilentDiscovery:
    """A discovery that does not answer its calls."""

    def __init__(self, relay: RelayProgram) -> None:
        self._discovery = type(relay.discovery)(relay.discovery.members)
        self.address = self._discovery.address
        self.calls = self._discovery.calls
        self._discovery.send = lambda link, data: None

    def __enter__(self) -> SilentDiscovery:
        return self

    def __exit__(self, *_: object) -> None:
        self._discovery.socket.close()


def test_the_exit_code_is_0_after_many_signals_and_steps(tmp_path: Path, clock: WallClock) -> None:
    with RelayWithSteppedClock(tmp_path, [Backend("a")], clock) as relay:
        client = relay.client()
        assert client.open() == "UP r"
        began = time.monotonic()
        for number in range(10):
            relay.process.send_signal(signal.SIGTERM if number % 2 else signal.SIGHUP)
            relay.step((-7 * SECOND,))
        assert client.read_line() == "MOVE"
        assert relay.process.wait(8) == 0
        assert time.monotonic() - began < 0.1 + 1.5 + 0.7


# -- hot restarts -------------------------------------------------------------------------------------


class RestartableRelayWithSteppedClock(RestartableRelay):
    """Successive processes of one relay with a common wall clock, which the test can step."""

    def __init__(self, tmp: Path, backends: list[Backend], clock: WallClock) -> None:
        self.environment = clock.environment()
        super().__init__(tmp, backends)


@with_each_step_series
def test_a_process_that_asks_and_does_not_take_over_loses_its_lease_in_time(
    tmp_path: Path, clock: WallClock, steps: tuple[int, ...]
) -> None:
    with (
        RestartableRelayWithSteppedClock(tmp_path, [Backend("a")], clock) as relay,
        socket.socket(socket.AF_UNIX) as asking,
    ):
        connect_to(asking, socket_path(relay.folder, "n0", relay.process.pid))
        asking.sendall(encode_message(version=VERSION, name="n0"))
        assert asking.recv(1)
        began = time.monotonic()
        for by in steps:
            clock.step(by)
        assert relay.client().open() == "UP r", "the client waits in the accept queue until the lease ends"
        assert time.monotonic() - began < 1.5 + SLACK


@with_each_step_series
def test_successive_processes_take_over(tmp_path: Path, clock: WallClock, steps: tuple[int, ...]) -> None:
    backend = Backend("a")
    with RestartableRelayWithSteppedClock(tmp_path, [backend], clock) as relay:
        held = relay.client()
        assert held.open() == "UP r"
        for by in steps:
            clock.step(by)
            assert relay.start_next() < 6
            assert relay.client().open() == "UP r"
            predecessor = relay.processes[-2]
            predecessor.terminate()
            clock.step(-by)
            clock.step(by)
            assert predecessor.wait(8) == 0
        assert held.read_line() == "MOVE"
        assert relay.log.read_text().count("goes on alone") == 1, "only the first process has no predecessor"


def test_the_newest_process_is_asked_whatever_the_modification_times_of_the_sockets_are(
    tmp_path: Path,
) -> None:
    """A step back between the starts of two processes makes the older socket look newer."""
    with restartable_relay(tmp_path, Backend("a")) as relay:
        assert relay.start_next() < 6
        os.utime(socket_path(relay.folder, "n0", relay.processes[1].pid), (1, 1))
        assert relay.start_next() < 6
        assert not relay.logged("asked again"), "the oldest process, which has handed over already, was asked"


def test_the_offset_to_unix_time_is_handed_over_to_the_next_process() -> None:
    shared, start = 77 * SECOND, 1000 * HOUR
    old = StartTimes(lambda: start + HOUR)
    old.correction = HOUR + 2 * SECOND
    new = StartTimes(lambda: start - 5 * HOUR)
    new.adopt_unix_offset(old.unix_offset(shared), shared)
    age = old._clock() - old.on_relay_clock(1, start - 10 * SECOND)
    assert new._clock() - new.on_relay_clock(1, start - 10 * SECOND) == age


# -- start times of backends, which discovery reports in Unix time -------------------------------------


def entry_started_now(backend: Backend) -> dict:
    return backend.entry() | {"up_since_ms": time.time_ns() // MS}


def test_with_a_clock_an_hour_behind_backends_that_have_just_started_warm_up_in_time(
    tmp_path: Path, clock: WallClock
) -> None:
    """By the relay's clock they start in an hour, and would count as cold until then."""
    clock.step(-HOUR)
    backends = [Backend("a"), Backend("b")]
    entries = [entry_started_now(backend) for backend in backends]
    known = {"revision": 7, "complete": True, "members": entries}
    with RelayWithSteppedClock(tmp_path, backends, clock, known=known) as relay:
        time.sleep(SETTINGS["safety"]["warm_within"] / 1e6)
        answers = [relay.client().open(str(number)) for number in range(40)]
        assert answers == ["UP r"] * 40


class VirtualStartTimes:
    """Start times by a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 1000 * HOUR
        self.times = StartTimes(lambda: self.now)

    def pass_time(self, span: int) -> None:
        """Lets time pass up to the next answer of discovery, which reports no start."""
        self.now += span
        self.times.mark_list_current()


def test_start_times_are_unchanged_if_the_clocks_agree() -> None:
    scenario = VirtualStartTimes()
    assert scenario.times.on_relay_clock(0, 0) == 0, "long ago"
    assert scenario.times.on_relay_clock(1, scenario.now - HOUR) == scenario.now - HOUR, (
        "before the first list"
    )
    scenario.pass_time(3 * SECOND)
    assert scenario.times.on_relay_clock(2, scenario.now - SECOND) == scenario.now - SECOND
    assert (
        scenario.times.on_relay_clock(1, scenario.now - 3 * SECOND - HOUR) == scenario.now - 3 * SECOND - HOUR
    )
    scenario.pass_time(8 * SECOND)
    start = scenario.now - 2 * SECOND
    assert scenario.times.on_relay_clock(3, start) == start, "discovery may list a start late"


@mark.parametrize("ahead", [0, HOUR, 20 * SECOND, -HOUR])
def test_the_newest_start_in_the_first_list_counts_as_a_start_at_that_moment(ahead: int) -> None:
    """The relay can't know yet whether the wall clock was stepped before it started."""
    scenario = VirtualStartTimes()
    newest = scenario.now - 3 * SECOND - ahead
    scenario.times.calibrate([0, newest, newest - 5 * SECOND, newest - HOUR])
    assert scenario.times.on_relay_clock(0, 0) == 0
    assert scenario.times.on_relay_clock(1, newest) == scenario.now
    assert scenario.times.on_relay_clock(2, newest - 5 * SECOND) == scenario.now - 5 * SECOND
    assert scenario.times.on_relay_clock(3, newest - HOUR) == scenario.now - HOUR
    scenario.pass_time(10 * SECOND)
    true_start = scenario.now - SECOND
    assert true_start <= scenario.times.on_relay_clock(4, true_start - ahead) <= scenario.now


@mark.parametrize("ahead", [HOUR, 20 * SECOND, -HOUR, -SECOND // 5])
def test_an_observed_start_corrects_a_wrong_clock(ahead: int) -> None:
    scenario = VirtualStartTimes()
    scenario.pass_time(3 * SECOND)
    scenario.pass_time(3 * SECOND)
    true_start = scenario.now - SECOND
    placed = scenario.times.on_relay_clock(1, true_start - ahead)
    assert true_start <= placed <= scenario.now, "the backend counts as cold for no shorter than it is"
    scenario.pass_time(10 * SECOND)
    assert scenario.times.on_relay_clock(1, true_start - ahead) == placed, (
        "the same start is not converted anew"
    )
    true_start = scenario.now - 2 * SECOND
    assert true_start <= scenario.times.on_relay_clock(2, true_start - ahead) <= scenario.now
    scenario.pass_time(HOUR)
    assert scenario.times.on_relay_clock(3, scenario.now - SECOND - ahead) <= scenario.now


def test_a_backend_listed_long_after_its_start_makes_others_cold_once_at_most() -> None:
    scenario = VirtualStartTimes()
    scenario.pass_time(SECOND)
    scenario.times.on_relay_clock(1, scenario.now - HOUR)
    for backend_id in (2, 3):
        scenario.pass_time(SECOND)
        start = scenario.now - SECOND // 2
        assert start <= scenario.times.on_relay_clock(backend_id, start) <= scenario.now
