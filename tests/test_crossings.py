"""Races: one event falls between two steps in the handling of another one (docs/crossings.md)."""

from __future__ import annotations

import json
import os
import signal
import socket
import struct
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path
from threading import Event
from types import SimpleNamespace
from typing import IO

from helpers import (
    MS,
    SECOND,
    SETTINGS,
    START,
    Backend,
    Client,
    Discovery,
    RelayProgram,
    free_port,
    host_with_backends,
    http,
    is_paused,
    learn_loads,
    list_entry,
    reset,
    wait_until,
)
from pytest import MonkeyPatch, approx, mark
from test_control import Caller, call, free_address
from test_handover import RestartableRelay
from twisted.internet.task import Clock

from cedarledge.net.buffers import BufferPool
from cedarledge.net.control import CALL_TIMEOUT
from cedarledge.net.handover import ACKNOWLEDGE_WITHIN, Handover
from cedarledge.net.invariants import Invariants
from cedarledge.net.line_connection import LINGER, ConnectionContext, LineConnection
from cedarledge.net.rate_limited_log import RateLimitedLog
from cedarledge.net.service import ServiceState
from cedarledge.net.slots import SlotTable
from cedarledge.net.timers import Timers
from cedarledge.terms import ListForm, Outcome

CHANGE = http(b'{"revision":8,"complete":false,"members":[]}')
# Limits that a busy machine keeps too: attempts have a third of a second, connects two seconds, clients
# three.
UNHURRIED = SETTINGS | {
    "allowed": SETTINGS["allowed"] | {"connect_timeout": 2_000_000},
    "profiles": [
        row | {"setup_goal": 1_000_000, "client_timeout": 3_000_000} for row in SETTINGS["profiles"]
    ],
}
# For tests in which the duration of an attempt doesn't matter: probes have 0.75 s, attempts over a second.
PATIENT = UNHURRIED | {
    "profiles": [row | {"setup_goal": 3_000_000, "client_timeout": 6_000_000} for row in SETTINGS["profiles"]]
}
PUSHED = PATIENT | {"membership_mode": "push"}


def test_a_connection_that_asks_for_more_than_a_core_is_served(tmp_path: Path) -> None:
    """A refusal would lose such a connection for good, if it was open before this relay started."""
    backend = Backend("a")
    with RelayProgram(tmp_path, [backend]) as relay:
        for names in ("d=4294967,h=1812345.7,at=a", "d=1500,h=1812345.7", "d=1500,h=1e300"):
            client = relay.client()
            assert client.open(names="c=feed," + names) == "UP r" and client.exchange("M 1") == "M 1"
        assert relay.client().open(names="c=feed,d=1500,h=-1") == "ERR"


# -- the list of backends --------------------------------------------------------------------------


def connections_at(relay: RelayProgram, backend: Backend) -> int:
    """Opens a dozen connections; returns how many of them the backend gets."""
    before = len(backend.open_lines)
    # They stay open, so that each backend that may be chosen is chosen.
    clients = [relay.client() for _ in range(12)]
    answers = [client.open(f"{time.monotonic_ns()}", "c=feed,d=6000") for client in clients]
    assert answers == ["UP r"] * 12, relay.log.read_text()
    return len(backend.open_lines) - before


@mark.parametrize(
    "part", [b"", CHANGE[:14], CHANGE[:-9]], ids=["between calls", "in mid-head", "in mid-body"]
)
@mark.parametrize("settings", [PATIENT, PUSHED], ids=["asked", "pushed"])
def test_a_silent_watch_is_reopened_before_missed_changes_have_to_take_effect(
    settings: dict, part: bytes, tmp_path: Path
) -> None:
    """Guards against drains that take effect seconds too late because the silent watch is detected too late.

    That happened with waits of 20 s, and a new call 2 to 6 s after the end of each.
    """
    backends = [Backend("a"), Backend("b")]
    long_wait = settings | {"safety": settings["safety"] | {"ask_every": 10_000_000}}
    with RelayProgram(tmp_path, backends, settings=long_wait) as relay:
        wait_until(lambda: relay.discovery.calls)
        relay.discovery.fall_silent(part)
        silent = time.monotonic()
        relay.discovery.publish(backends[0].entry("draining"))
        wait_until(lambda: relay.discovery.answered, 8)
        assert relay.discovery.answered[0] - silent < 5.3, "the drain has to take effect within 6 s"
        assert not connections_at(relay, backends[0])
        assert "the watch is silent" in relay.log.read_text()


def test_a_list_unread_during_a_pause_of_the_process_takes_effect(tmp_path: Path) -> None:
    """After the pause the call's time limit was handled first, and the unread answer was discarded."""
    backends = [Backend("a"), Backend("b")]
    with RelayProgram(tmp_path, backends, settings=PATIENT) as relay:
        wait_until(lambda: relay.discovery.calls)
        relay.pause()
        relay.discovery.publish(backends[0].entry("draining"))
        wait_until(lambda: relay.discovery.answered)
        time.sleep(3.3)  # past the longest wait of 2 s plus the time that a call may take
        relay.resume()
        assert not connections_at(relay, backends[0])
        assert len(relay.discovery.calls) == 2, "and the watch continues"


def test_a_pushed_list_is_watched_again_at_once_after_a_reset_and_an_outage(
    tmp_path: Path,
) -> None:
    """What the discovery agent knows has to take effect once it is back, with or without an open watch."""
    backends = [Backend("a"), Backend("b")]
    with RelayProgram(tmp_path, backends, settings=PUSHED) as relay:
        wait_until(lambda: relay.discovery.calls)
        relay.discovery.go_down()
        wait_until(lambda: len(relay.discovery.calls) > 4)
        relay.discovery.publish(backends[0].entry("draining"))
        relay.discovery.down, back = False, time.monotonic()
        wait_until(lambda: relay.discovery.answered)
        assert relay.discovery.answered[0] - back < 0.25
        time.sleep(0.05)
        assert not connections_at(relay, backends[0])
        assert relay.log.read_text().count("WARNING discovery") == 1, "once, not at each attempt"


def test_a_watch_that_falls_silent_right_after_an_outage_is_reopened_too(tmp_path: Path) -> None:
    backends = [Backend("a"), Backend("b")]
    with RelayProgram(tmp_path, backends, settings=PATIENT) as relay:
        wait_until(lambda: relay.discovery.calls)
        relay.discovery.go_down()
        wait_until(lambda: "WARNING discovery" in relay.log.read_text())
        relay.discovery.down = False
        calls = len(relay.discovery.calls)
        wait_until(lambda: len(relay.discovery.calls) > calls)
        relay.discovery.fall_silent()
        silent = time.monotonic()
        relay.discovery.publish(backends[0].entry("draining"))
        wait_until(lambda: relay.discovery.answered)
        assert relay.discovery.answered[0] - silent < 3.5  # waits are at most 2 s here
        assert not connections_at(relay, backends[0])


def test_lines_answered_during_a_pause_of_the_process_move_no_client(tmp_path: Path) -> None:
    """Each tunnel with an unanswered line was taken for silent after the pause, and all were moved."""
    backend = Backend("a")
    with RelayProgram(tmp_path, [backend], settings=PATIENT) as relay:
        clients = [relay.client() for _ in range(5)]
        assert {client.open(str(number)) for number, client in enumerate(clients)} == {"UP r"}
        assert [client.exchange("M 1") for client in clients] == ["M 1"] * 5
        backend.unresponsive = True  # lines that arrive meanwhile are answered by the test
        for client in clients:
            client.link.sendall(b"M 2\r\n")
        time.sleep(0.1)
        relay.pause()
        for link in backend.opened:
            link.sendall(b"M 2\r\n")
        time.sleep(3.2)
        relay.resume()
        assert [client.read_line() for client in clients] == ["M 2"] * 5
        backend.unresponsive = False
        assert [client.exchange("M 3") for client in clients] == ["M 3"] * 5


def test_a_failing_address_is_logged_even_if_the_one_before_had_failed_too(tmp_path: Path) -> None:
    with RelayProgram(tmp_path, [Backend("a")], settings=PUSHED) as relay:
        wait_until(lambda: relay.discovery.calls)
        relay.discovery.go_down()
        wait_until(lambda: relay.log.read_text().count("WARNING discovery") == 1)
        relay.reload(discovery=f"127.0.0.1:{free_port()}")
        wait_until(lambda: relay.log.read_text().count("WARNING discovery") == 2)


class ChunkedDiscovery(Discovery):
    """Sends its lists indented, and a few bytes at a time."""

    def encode(self, content: dict) -> bytes:
        return json.dumps(content, indent=4).encode()

    def send(self, link: socket.socket, data: bytes) -> None:
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for start in range(0, len(data), 7):
            link.sendall(data[start : start + 7])
            time.sleep(0.001)  # otherwise most of them would be read together


def test_an_indented_list_in_small_segments_takes_effect(tmp_path: Path) -> None:
    backends = [Backend("a"), Backend("b")]
    with RelayProgram(tmp_path, backends, settings=PATIENT) as relay:
        chunked = ChunkedDiscovery([backend.entry() for backend in backends])
        relay.reload(discovery=chunked.address)
        wait_until(lambda: len(chunked.calls) == 2)
        chunked.publish(backends[0].entry("draining"))
        wait_until(lambda: len(chunked.calls) == 3)
        assert not connections_at(relay, backends[0])


class ResettingDiscovery(Discovery):
    """Resets each connection right after its answer."""

    def answer(self, link: socket.socket, lines: IO[bytes]) -> None:
        with suppress(OSError):
            super().answer(link, FirstCall(lines))
        reset(link, lines)


class FirstCall:
    """Yields only the lines of the first call of a connection."""

    def __init__(self, lines: IO[bytes]) -> None:
        self.lines = lines

    def __iter__(self) -> Iterator[bytes]:
        for line in self.lines:
            yield line
            if line.startswith(b"GET"):
                return


@mark.parametrize("settings", [PATIENT, PUSHED], ids=["asked", "pushed"])
def test_an_answer_right_before_a_reset_takes_effect(settings: dict, tmp_path: Path) -> None:
    backends = [Backend("a"), Backend("b")]
    with RelayProgram(tmp_path, backends, settings=settings) as relay:
        wait_until(lambda: relay.discovery.calls)
        resetting = ResettingDiscovery([backend.entry() for backend in backends])
        relay.reload(discovery=resetting.address)
        wait_until(lambda: len(resetting.answered) >= 1 and len(resetting.calls) >= 2)
        resetting.publish(backends[0].entry("draining"))
        wait_until(lambda: len(resetting.answered) >= 2)
        time.sleep(0.05)
        assert not connections_at(relay, backends[0])


@mark.parametrize("failure", ["silent", "silent in mid-body", "down"])
@mark.parametrize("settings", [PATIENT, PUSHED], ids=["asked", "pushed"])
def test_sighup_during_any_discovery_failure_moves_to_the_new_address(
    settings: dict, failure: str, tmp_path: Path
) -> None:
    backends = [Backend("a"), Backend("b")]
    with RelayProgram(tmp_path, backends, settings=settings) as relay:
        wait_until(lambda: relay.discovery.calls)
        if failure == "down":
            relay.discovery.go_down()
            wait_until(lambda: "WARNING discovery" in relay.log.read_text())
        else:
            relay.discovery.fall_silent(CHANGE[:-9] if "body" in failure else b"")
        relay.discovery.publish(backends[1].entry("draining"))
        other = Discovery([backends[0].entry("draining"), backends[1].entry()])
        time.sleep(0.2)
        relay.reload(discovery=other.address)
        wait_until(lambda: len(other.calls) == 2, 1)
        assert not connections_at(relay, backends[0])
        # Counted from here on: before the signal a pushed list is requested ten times a second.
        calls = len(relay.discovery.calls)
        time.sleep(3)  # past all timers of the call before
        assert not connections_at(relay, backends[0])
        assert len(relay.discovery.calls) == calls


@mark.parametrize("settings", [PATIENT, PUSHED], ids=["asked", "pushed"])
def test_a_silent_new_address_is_asked_again_before_its_list_has_to_take_effect(
    settings: dict, tmp_path: Path
) -> None:
    """A silent call for the whole list was treated like a failed one, and repeated 6 to 10 s after SIGHUP."""
    backends = [Backend("a"), Backend("b")]
    long_wait = settings | {"safety": settings["safety"] | {"ask_every": 10_000_000}}
    with RelayProgram(tmp_path, backends, settings=long_wait) as relay:
        wait_until(lambda: relay.discovery.calls)
        other = SilentDiscovery([backends[0].entry("draining"), backends[1].entry()])
        relay.reload(discovery=other.address)
        wait_until(lambda: len(other.calls) == 3, 12)  # the unanswered call, the whole list, the next call
        assert other.calls[1][0] - other.calls[0][0] < 4.5, "the drain has to take effect within 6 s"
        assert not connections_at(relay, backends[0])


class SilentDiscovery(Discovery):
    """Answers nothing on its first connection."""

    def send(self, link: socket.socket, data: bytes) -> None:
        if len(self.calls) > 1:
            super().send(link, data)


def test_a_hanging_connect_to_discovery_times_out_and_is_repeated(tmp_path: Path) -> None:
    backends = [Backend("a"), Backend("b")]
    with RelayProgram(tmp_path, backends, settings=PATIENT) as relay, full_queue() as full:
        relay.reload(discovery="{}:{}".format(*full.getsockname()))
        wait_until(lambda: "discovery: no answer in time" in relay.log.read_text(), 4)
        assert relay.client().open() == "UP r", "with the list that it has"
        relay.reload()
        relay.discovery.members = [backends[0].entry("draining"), backends[1].entry()]
        wait_until(lambda: len(relay.discovery.calls) == 3)  # the first call, the whole list, the next call
        assert not connections_at(relay, backends[0])


def test_a_backend_missing_from_a_whole_list_keeps_its_tunnels_and_gets_no_new_ones(tmp_path: Path) -> None:
    backends = [Backend("a"), Backend("b")]
    with RelayProgram(tmp_path, backends, settings=PATIENT) as relay:
        clients = [relay.client() for _ in range(8)]
        assert {client.open(str(number)) for number, client in enumerate(clients)} == {"UP r"}
        other = Discovery([backends[1].entry()])
        relay.reload(discovery=other.address)
        wait_until(lambda: len(other.calls) == 2, 2)
        assert backends[0].opened and not connections_at(relay, backends[0])
        assert [client.exchange("M 1") for client in clients] == ["M 1"] * 8


# -- stop and signals ------------------------------------------------------------------------------


class BlockedRelay(RelayProgram):
    """A relay that blocks in its start, reading its configuration from a pipe, until the test writes that."""

    def start(self) -> None:
        self.path.unlink(missing_ok=True)
        os.mkfifo(self.path)
        super().start()
        wait_until(self._reads)

    def _reads(self) -> bool:
        with suppress(OSError):  # no reader yet
            self.pipe = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
            return True
        return False

    def __enter__(self) -> BlockedRelay:
        return self

    def write_config(self) -> None:
        # A later read finds a regular file.
        self.path.rename(self.path.with_name("pipe"))
        self.path.write_text(json.dumps(self.config))
        os.write(self.pipe, json.dumps(self.config).encode())
        os.close(self.pipe)


def exit_code(relay: RelayProgram, timeout: float = 6) -> int:
    wait_until(lambda: relay.process.poll() is not None, timeout)
    return relay.process.returncode


@mark.parametrize("arguments", [[], ["relay"]])
def test_sigterm_during_the_start_ends_a_relay_normally(arguments: list[str], tmp_path: Path) -> None:
    """Before the reactor ran, SIGTERM had its default action and killed the process."""
    with BlockedRelay(tmp_path, [Backend("a")], arguments) as relay:
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
            relay.process.send_signal(number)
        relay.write_config()
        assert exit_code(relay) == 0 and "listens" not in relay.log.read_text()


def test_a_new_configuration_during_the_start_takes_effect(tmp_path: Path) -> None:
    backends = [Backend("a"), Backend("b")]
    other = Discovery([backend.entry() for backend in backends])
    with BlockedRelay(tmp_path, backends, settings=PATIENT) as relay:
        relay.process.send_signal(signal.SIGHUP)
        old = relay.config
        relay.config = old | {"discovery": other.address}
        relay.path.rename(relay.path.with_name("pipe"))
        relay.path.write_text(json.dumps(relay.config))
        os.write(relay.pipe, json.dumps(old).encode())
        os.close(relay.pipe)
        wait_until(relay.answers)
        wait_until(lambda: other.calls)
        assert relay.client().open() == "UP r"


@mark.parametrize(
    "signals", [(signal.SIGTERM,), (signal.SIGTERM, signal.SIGHUP)], ids=["term", "term and hup"]
)
def test_repeated_signals_do_not_kill_a_relay_that_stops(
    signals: tuple[signal.Signals, ...], tmp_path: Path
) -> None:
    """Signals come until the interpreter's shutdown, which restores their default actions."""
    with RelayProgram(tmp_path, [Backend("a"), Backend("b")]) as relay:
        client = relay.client()
        assert client.open() == "UP r"
        start = time.monotonic()
        while relay.process.poll() is None and time.monotonic() - start < 15:
            for number in signals:
                relay.process.send_signal(number)
            time.sleep(0.001)
        assert relay.process.returncode == 0 and client.read_line() == "MOVE"


def test_requests_that_arrive_while_a_stopping_relay_is_paused_are_answered(tmp_path: Path) -> None:
    """After the pause no connection was open and the second for new ones was over: the relay reset them."""
    with RelayProgram(tmp_path, [Backend("a"), Backend("b")]) as relay:
        relay.terminate()
        wait_until(lambda: "stops within" in relay.log.read_text())
        relay.pause()
        client = relay.client()
        client.link.sendall(b"OPEN 5 k c=feed,d=1500\r\n")
        time.sleep(1.2)
        relay.resume()
        assert client.read_line() == "BUSY", "too little time is left for another relay to serve it"
        assert exit_code(relay) == 0


def test_a_request_unread_during_a_pause_of_the_process_is_answered(tmp_path: Path) -> None:
    with RelayProgram(tmp_path, [Backend("a")]) as relay:
        client, half = relay.client(), relay.client()
        half.link.sendall(b"OPEN 6 k c=feed")
        wait_until(lambda: relay.answers())  # then both are accepted, and the partial line is read
        relay.pause()
        client.link.sendall(b"OPEN 5 k c=feed,d=3000\r\n")
        half.link.sendall(b",d=3000\r\n")
        time.sleep(2.7)
        relay.resume()
        assert [client.read_line(), half.read_line()] == ["UP r"] * 2


def test_the_stop_answers_partial_requests_and_hanging_attempts(tmp_path: Path) -> None:
    backends = [Backend("a", "hang"), Backend("b", "hang")]
    with RelayProgram(tmp_path, backends) as relay:
        hung, once, partial, quiet = (relay.client() for _ in range(4))
        hung.link.sendall(b"OPEN 1 k c=feed,d=1500\r\n")
        once.link.sendall(b"OPEN 2 k c=bill,d=1500\r\n")
        partial.link.sendall(b"OPEN 3 k c=feed,")
        wait_until(lambda: sum(len(backend.open_lines) for backend in backends) >= 2)
        relay.terminate()
        wait_until(lambda: "stops within" in relay.log.read_text())
        late = relay.client()
        late.link.sendall(b"OPEN 4 k c=feed,d=1")
        for part in (b"d=15", b"00\r", b"\n"):
            time.sleep(0.1)
            partial.link.sendall(part)
        late.link.sendall(b"500\r\n")
        for client in (hung, once, partial, late):
            assert client.read_line() in ("ERR", "BUSY") and client.read_line() == ""
        assert quiet.read_line() in ("", "reset"), "it has sent no request"
        assert exit_code(relay) == 0
        assert sum(head.startswith("OPEN 2 ") for backend in backends for head in backend.open_lines) == 1


def test_a_backends_answer_unread_at_the_final_sweep_reaches_its_client(tmp_path: Path) -> None:
    """After the pause the final sweep ran first, and sent ERR although an UP was still unread."""
    backend = Backend("a", "hang")
    with RelayProgram(tmp_path, [backend]) as relay:
        client = send_request(relay, "c=bill,d=3000")
        wait_until(lambda: backend.open_lines)
        relay.terminate()
        wait_until(lambda: "stops within" in relay.log.read_text())
        relay.pause()
        backend.last.sendall(b"UP r\r\n")
        time.sleep(2)  # past all time limits of the stop
        relay.resume()
        assert client.read_line() == "UP r" and client.read_line() == "MOVE"
        assert exit_code(relay) == 0


START_METHODS = [
    "relay Relay __init__ before",
    "relay Relay __init__ after",
    "relay Relay open before",
    "clients Listener open after",
]


@mark.parametrize("place", START_METHODS)
def test_a_signal_at_any_step_of_the_start_is_handled(place: str, tmp_path: Path) -> None:
    backend = Backend("a")
    other = Discovery([backend.entry()])
    relay = SelfStoppingRelay(tmp_path, [backend], place.split(), settings=PATIENT)
    try:
        relay.until_paused()
        relay.reload(discovery=other.address)
        relay.resume()
        wait_until(lambda: other.calls)
        assert relay.client().open() == "UP r"
        relay.terminate()
        assert exit_code(relay) == 0
        relay.start()
        relay.until_paused()
        relay.terminate()
        relay.resume()
        assert exit_code(relay) == 0
    finally:
        relay.__exit__()


def test_a_peer_that_does_not_close_after_its_answer_does_not_delay_the_stop(tmp_path: Path) -> None:
    """A peer answered at the last moment had a second to close, but the process is killed 0.4 s later."""
    backends = [Backend("a", "hang"), Backend("b", "hang")]
    with RelayProgram(tmp_path, backends) as relay:
        client = send_request(relay)
        wait_until(lambda: any(backend.open_lines for backend in backends))
        relay.terminate()
        start = time.monotonic()
        assert client.read_line() in ("ERR", "BUSY") and client.read_line() == ""
        assert exit_code(relay) == 0
        assert time.monotonic() - start < 2.5, "1.5 s plus a margin"


def test_sigterm_while_out_of_service_moves_clients_and_stops(tmp_path: Path) -> None:
    control = free_address()
    with RelayProgram(tmp_path, [Backend("a")], control=control) as relay:
        clients = [relay.client() for _ in range(6)]
        assert {client.open(str(number)) for number, client in enumerate(clients)} == {"UP r"}
        assert call(control, "POST", "/control/out-of-service") == 200
        relay.terminate()
        assert [client.read_line() for client in clients] == ["MOVE"] * 6
        assert exit_code(relay, 3) == 0


class RecordingTransport:
    """Records the calls of a transport that writes its data in the reactor's next turn, as TCP's does."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def __getattr__(self, name: str) -> object:
        return lambda *_: self.calls.append(name)


def test_a_pause_of_the_process_does_not_lose_the_last_answer() -> None:
    """After a pause during a close the peer's time was over before the answer had been written."""
    clock = Clock()

    def now() -> int:
        return round(clock.seconds() * SECOND)

    timers = Timers(clock, now)
    link = LineConnection(
        ConnectionContext(
            clock, now, timers, BufferPool(9, 1), SlotTable(1), RateLimitedLog(timers), Invariants()
        )
    )
    link.transport = RecordingTransport()
    link.connectionMade()
    link.finish()
    clock.advance((LINGER + 200 * MS) / SECOND)
    assert "abortConnection" not in link.transport.calls, "the data is written in this turn"
    clock.advance(0.002)
    assert link.transport.calls[-1] == "abortConnection"


# -- a client that leaves while it waits -------------------------------------------------------------


def stopping_command(place: str) -> list[str]:
    """Returns the command of a relay that sends itself SIGSTOP at a method; see stopping_relay.py."""
    return [
        sys.executable,
        str(Path(__file__).with_name("stopping_relay.py")),
        *f"cedarledge.net.{place}".split(),
    ]


class SelfStoppingRelay(RelayProgram):
    def command(self) -> list[str]:
        return stopping_command(" ".join(self.arguments))


def leave(client: Client, abrupt: bool) -> None:
    if abrupt:
        reset(client.link, client.file)
    else:
        client.close()


def send_request(relay: RelayProgram, names: str = "c=feed,d=3000") -> Client:
    client = relay.client()
    client.id = f"{time.monotonic_ns():x}"
    client.link.sendall(f"OPEN {client.id} k {names}\r\n".encode())
    return client


def descriptor_count(relay: RelayProgram) -> int:
    """Counts the descriptors once the connection to discovery is open; its first call has a random delay."""
    wait_until(lambda: relay.discovery.calls)
    return len(os.listdir(f"/proc/{relay.process.pid}/fd"))


@mark.parametrize("abrupt", [False, True], ids=["fin", "reset"])
@mark.parametrize(
    "place",
    [
        "tunnels Tunnels request_arrived before",
        "tunnels Tunnels request_arrived after",
        "backends SetupConnection connect after",
        "backends SetupConnection on_connected before",
        "backends SetupConnection on_connected after",
    ],
)
def test_clients_that_leave_during_a_pause_of_the_process_are_not_sent_to_a_backend(
    place: str, abrupt: bool, tmp_path: Path
) -> None:
    """The request waited for the reactor's next turn, and was sent even if the client had left meanwhile."""
    backend = Backend("a")
    with SelfStoppingRelay(tmp_path, [backend], place.split(), settings=UNHURRIED) as relay:
        before = descriptor_count(relay)
        client = send_request(relay)
        relay.until_paused()
        time.sleep(0.05)
        sent = len(backend.open_lines)  # before the client left
        leave(client, abrupt)
        time.sleep(0.35)
        relay.resume()
        wait_until(lambda: descriptor_count(relay) <= before + 1)  # one kept connection for probes
        assert len(backend.open_lines) == sent
        assert relay.client().open() == "UP r"


@mark.parametrize("leaves", [True, False])
def test_a_client_that_sends_more_before_its_answer_is_not_sent_to_a_backend(
    leaves: bool, tmp_path: Path
) -> None:
    """Unread data hid the FIN behind it: the request was sent 0.35 s after the client had left."""
    backend = Backend("a")
    place = "backends SetupConnection on_connected before"
    with SelfStoppingRelay(tmp_path, [backend], place.split(), settings=UNHURRIED) as relay:
        client = send_request(relay)
        relay.until_paused()
        client.link.sendall(b"M")
        if leaves:
            client.link.shutdown(socket.SHUT_WR)
        time.sleep(0.35)
        relay.resume()
        assert client.read_line() == "ERR" and not backend.open_lines
        assert relay.client().open() == "UP r"


def test_none_of_many_clients_that_leave_is_sent_to_a_backend_later(tmp_path: Path) -> None:
    """Most leave before their request is read, by FIN or reset, in one packet with it or after it."""
    backends = [Backend(name) for name in "abc"]
    with RelayProgram(tmp_path, backends, settings=UNHURRIED) as relay:
        assert relay.client().open() == "UP r"
        before = descriptor_count(relay)
        for number in range(40):
            gone: list[Client] = []
            relay.pause()
            for place in range(10):
                client = send_request(relay)
                gone.append(client)
                if place % 2:
                    leave(client, abrupt=place % 4 == 1)
            for place in range(0, 10, 2):
                leave(gone[place], abrupt=place % 4 == 0)
            time.sleep(0.01)
            relay.resume()
            if number % 8 == 7:
                assert relay.client().open() == "UP r"
        wait_until(lambda: descriptor_count(relay) <= before + 2 + 5 * 2)
        heads = sum(len(backend.open_lines) for backend in backends)
        assert heads == 6, f"{heads - 6} of 400 were sent to a backend"


class WithheldProbes(Backend):
    """Answers no probe until the test allows it."""

    def __init__(self, name: str) -> None:
        self.probed, self.allowed = Event(), Event()
        super().__init__(name)

    def serve_lines(self, link: socket.socket, lines: IO[bytes]) -> None:
        if lines.peek(1).startswith(b"STATS"):
            self.probed.set()
            self.allowed.wait(5)
        super().serve_lines(link, lines)


def test_a_client_that_leaves_during_a_probe_is_not_sent_to_a_backend(tmp_path: Path) -> None:
    backend = WithheldProbes("a")
    with RelayProgram(tmp_path, [backend], settings=UNHURRIED) as relay:
        client = send_request(relay)
        assert backend.probed.wait(5)
        leave(client, abrupt=False)
        wait_until(relay.answers)  # then the client's FIN has been read
        backend.allowed.set()
        assert relay.client().open() == "UP r"
        time.sleep(0.35)
        assert len(backend.open_lines) == 1


def test_a_client_that_leaves_during_a_hanging_attempt_gets_no_further_attempt(tmp_path: Path) -> None:
    backends = [Backend("a", "hang"), Backend("b", "hang")]
    with RelayProgram(tmp_path, backends, settings=UNHURRIED) as relay:
        for abrupt in (False, True):
            before = sum(len(backend.open_lines) for backend in backends)
            client = send_request(relay)
            wait_until(lambda before=before: sum(len(backend.open_lines) for backend in backends) > before)
            leave(client, abrupt)
            time.sleep(1)  # past the limit of the attempt that hangs
            assert sum(len(backend.open_lines) for backend in backends) == before + 1


@contextmanager
def full_queue() -> Iterator[socket.socket]:
    """A listener with a full queue: a connect succeeds about a second after there is room (a SYN retry)."""
    with socket.socket() as late, ExitStack() as fillers:
        late.bind(("127.0.0.1", 0))
        late.listen(0)
        for _ in range(3):  # more than fit in the kernel's queue
            filler = fillers.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(late.getsockname())
        yield late


def first_data(late: socket.socket) -> bytes:
    """Makes room in the queue; returns the first data that arrives within two seconds, or nothing."""
    late.settimeout(2)
    data = b""
    with suppress(TimeoutError):
        while not data:
            link, _ = late.accept()
            link.settimeout(0.3)
            with suppress(TimeoutError):
                data = link.recv(100)
    return data


@mark.parametrize("leaves", [True, False])
def test_a_client_that_leaves_during_a_slow_connect_is_not_sent_to_a_backend(
    leaves: bool, tmp_path: Path
) -> None:
    """A client that stays is served: the connect succeeds a second later."""
    settings = UNHURRIED | {
        "allowed": UNHURRIED["allowed"] | {"probes": False},
        "profiles": [row | {"setup_goal": 3_000_000} for row in UNHURRIED["profiles"]],
    }
    backend = Backend("a")
    with full_queue() as late:
        backend.address = "{}:{}".format(*late.getsockname())
        with RelayProgram(tmp_path, [backend], settings=settings) as relay:
            client = send_request(relay)
            time.sleep(0.2)
            if leaves:
                leave(client, abrupt=False)
            assert first_data(late).startswith(b"OPEN") is not leaves


def test_clients_that_leave_during_a_stop_or_hot_restart_are_not_sent_to_a_backend(tmp_path: Path) -> None:
    backend = Backend("a")
    with StoppingProcesses(tmp_path, [backend], "", "clients Listener open before") as relay:
        wait_until(relay.ready)
        relay.start()
        relay.until_paused()
        for abrupt in (False, True):
            leave(send_request(relay), abrupt)  # in the queue that both processes share
        time.sleep(0.35)
        relay.resume()
        wait_until(relay.ready)
        relay.processes[0].terminate()
        assert relay.processes[0].wait(timeout=5) == 0
        relay.process.terminate()
        wait_until(lambda: relay.log.read_text().count("stops within") == 2)
        relay.pause()
        for abrupt in (False, True):
            leave(send_request(relay), abrupt)
        time.sleep(0.35)
        relay.resume()
        assert relay.process.wait(timeout=5) == 0
        assert not backend.open_lines


def test_moved_clients_that_come_again_and_leave_are_not_sent_to_a_backend(tmp_path: Path) -> None:
    backends = [Backend("a"), Backend("b")]
    with RelayProgram(tmp_path, backends, settings=UNHURRIED) as relay:
        clients = [relay.client() for _ in range(60)]
        assert {client.open(str(number)) for number, client in enumerate(clients)} == {"UP r"}
        relay.discovery.publish(backends[0].entry("draining"))
        time.sleep(2)  # half of the time in which the clients of a draining backend are moved
        relay.pause()
        heads = sum(len(backend.open_lines) for backend in backends)
        moved = []
        for client in clients:
            client.link.settimeout(0.01)
            with suppress(TimeoutError):
                if client.read_line() == "MOVE":
                    moved.append(send_request(relay))
        assert len(moved) > 5
        for number, client in enumerate(moved):
            leave(client, abrupt=number % 2 > 0)
        time.sleep(0.35)
        relay.resume()
        assert relay.client().open() == "UP r"
        time.sleep(0.5)
        assert sum(len(backend.open_lines) for backend in backends) == heads + 1


def test_a_probe_whose_client_has_left_does_not_mark_the_backend() -> None:
    """The end of a later probe counted the backend as one that did not answer in time."""
    host = host_with_backends(2, cells=1)
    host.answers = False
    host.run(4 * SECOND)
    gone = host.arrive()
    seen = host.balancer.state.awaiting_probe[gone]
    host.balancer.client_gone(host.now, gone)
    host.requests[gone].answered = True
    host.run(SECOND)
    assert (
        not seen.busy_until and not host.balancer.state.awaiting_probe and not host.balancer.state.connections
    )


def test_a_request_that_was_never_sent_uses_no_slow_start_budget() -> None:
    host = host_with_backends(3, cells=1)
    learn_loads(host)
    host.update_list(ListForm.CHANGES, list_entry(0, cells=1, started=START))
    cold = host.balancer.state.backends[0]
    host.run(3 * SECOND)
    cold.tokens = 1.5
    while not host.attempts or host.attempts[-1][2] != 0:
        host.arrive(hint=100.0)
    connection_id, left = host.attempts[-1][1], cold.tokens
    host.balancer.client_gone(host.now, connection_id)
    host.requests[connection_id].answered = True
    host.end(connection_id, Outcome.NOT_SENT)
    assert cold.tokens == approx(left + 1) and not cold.open and not cold.pending


# -- kept connections ------------------------------------------------------------------------------


class ClosingBackend(Backend):
    """Closes the connection when a second probe arrives on it, without reading that probe."""

    def __init__(self, name: str, abrupt: bool) -> None:
        super().__init__(name)
        self.abrupt = abrupt
        self.closed = 0

    def serve_lines(self, link: socket.socket, lines: IO[bytes]) -> None:
        if lines.peek(1).startswith(b"STATS"):
            lines.readline()
            link.sendall(f"PONG {self.stats}\r\n".encode())
            if lines.peek(1):
                self.closed += 1
                if self.abrupt:
                    reset(link, lines)
            return
        super().serve_lines(link, lines)


@mark.parametrize("abrupt", [False, True], ids=["fin", "reset"])
def test_a_kept_connection_closed_by_its_backend_does_not_count_against_the_backend(
    abrupt: bool, tmp_path: Path, monkeypatch: MonkeyPatch
) -> None:
    """The backend was taken for one that does not answer, and got no new connections for two seconds."""
    monkeypatch.setenv("LOGURU_LEVEL", "DEBUG")
    backend = ClosingBackend("a", abrupt)
    with RelayProgram(tmp_path, [backend]) as relay:
        for number in range(3):
            # A backend whose last report is older than this is probed before it is chosen.
            time.sleep(2.1)
            assert relay.client().open() == "UP r" and len(backend.open_lines) == number + 1
        assert backend.closed and "probe of a: False" not in relay.log.read_text()
        backend.socket.shutdown(2)
        backend.socket.close()
        wait_until(lambda: "probe of a: False" in relay.log.read_text())


class EndlessBackend(Backend):
    """Sends an endless answer."""

    def serve_lines(self, link: socket.socket, lines: IO[bytes]) -> None:
        if lines.peek(1).startswith(b"OPEN"):
            self.open_lines.append(lines.readline().decode().strip())
            while True:
                link.sendall(b"z" * 4096)
        super().serve_lines(link, lines)


class MuteBackend(Backend):
    """Reads everything and answers nothing, not even probes."""

    def serve_lines(self, link: socket.socket, lines: IO[bytes]) -> None:
        self.open_lines += [line.decode().strip() for line in iter(lines.readline, b"")]


def resident_pages(relay: RelayProgram) -> int:
    return int(Path(f"/proc/{relay.process.pid}/statm").read_text().split()[1])


@mark.parametrize("kind", [EndlessBackend, MuteBackend])
def test_endless_or_missing_answers_and_clients_that_send_much_leak_nothing(
    kind: type[Backend], tmp_path: Path
) -> None:
    bad, good = kind("a"), Backend("b")
    with RelayProgram(tmp_path, [bad, good], settings=UNHURRIED) as relay:
        assert relay.client().open(names="c=feed,d=3000") == "UP r"
        descriptors, before = descriptor_count(relay), resident_pages(relay)
        for number in range(60):
            client = relay.client()
            with suppress(OSError):  # the relay refuses it early on
                client.link.sendall((b"OPEN 1 k c=feed,d=900\r\n" if number % 2 else b"y") * 20_000)
            leave(client, abrupt=number % 3 == 0)
        clients = [relay.client() for _ in range(10)]
        assert {client.open(names="c=feed,d=3000") for client in clients} == {"UP r"}
        if kind is EndlessBackend:
            assert bad.open_lines, "it got an attempt"
        for client in clients:
            client.close()
        # One kept connection for probes of the other backend.
        wait_until(lambda: descriptor_count(relay) <= descriptors + 1)
        assert resident_pages(relay) - before < 8 << 8, "8 MB in pages of 4 KiB"


# -- repeated attempts -----------------------------------------------------------------------------

EFFECTS = UNHURRIED | {
    "profiles": [*UNHURRIED["profiles"], UNHURRIED["profiles"][0] | {"name": "mark", "semantics": "token"}]
}
# What the backend answers as the attempt's time runs out, and the classes that may be attempted again then.
LATE_ANSWERS = {
    "UP late": (),
    "BUSY": ("feed", "bill", "mark"),
    "ERR": ("feed", "mark"),
    "WHAT": ("feed", "mark"),
    "reset": ("feed", "mark"),
    "ERR|UP late": ("feed", "mark"),
    "BUSY|BUSY|UP late": ("feed", "bill", "mark"),
}


def late_answer(
    relay: RelayProgram, answer: str, name: str, meanwhile: str = ""
) -> tuple[Client, list[Backend]]:
    """Returns the client, the backend that got its request, and the other one; the relay runs again."""
    wait_until(lambda: relay.discovery.calls)
    client = send_request(relay, f"c={name},d=3000")
    relay.until_paused()
    wait_until(lambda: any(backend.open_lines for backend in relay.backends))
    first, other = sorted(relay.backends, key=lambda backend: not backend.open_lines)
    other.modes = ["UP r"]
    if answer == "reset":
        # The backend's thread is reading: shut down for reading it closes the socket, which sends a reset.
        first.last.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        first.last.shutdown(socket.SHUT_RD)
        wait_until(lambda: first.ends)
    else:
        first.last.sendall(b"".join(part.encode() + b"\r\n" for part in answer.split("|")))
    if meanwhile == "drains":
        relay.discovery.publish(other.entry("draining"))
    elif meanwhile:
        leave(client, abrupt=meanwhile == "resets")
    time.sleep(0.8)  # past the attempt's time-out, within the client's deadline
    relay.resume()
    return client, [first, other]


WRITTEN = "backends SetupConnection resumeProducing after"


@mark.parametrize("name", ["feed", "bill", "mark"])
@mark.parametrize("answer", LATE_ANSWERS)
def test_an_answer_that_arrives_as_the_time_runs_out_counts(answer: str, name: str, tmp_path: Path) -> None:
    with SelfStoppingRelay(
        tmp_path, [Backend("a", "hang"), Backend("b", "hang")], WRITTEN.split(), settings=EFFECTS
    ) as relay:
        client, (first, other) = late_answer(relay, answer, name)
        again = name in LATE_ANSWERS[answer]
        assert client.read_line() == ("UP late" if answer.startswith("UP") else "UP r" if again else "ERR")
        assert (len(first.open_lines), len(other.open_lines)) == (1, again)
        if answer.startswith("UP") or again:
            assert client.exchange("M 1") == "M 1", "and no further data of the first backend"


@mark.parametrize("meanwhile", ["drains", "leaves", "resets"])
@mark.parametrize("answer", ["BUSY", "reset"])
def test_no_further_attempt_if_the_other_backend_drains_or_the_client_leaves_in_the_same_turn(
    answer: str, meanwhile: str, tmp_path: Path
) -> None:
    with SelfStoppingRelay(
        tmp_path, [Backend("a", "hang"), Backend("b", "hang")], WRITTEN.split(), settings=EFFECTS
    ) as relay:
        client, (first, other) = late_answer(relay, answer, "feed", meanwhile)
        if meanwhile == "drains":
            assert client.read_line() in ("BUSY", "ERR") and client.read_line() == ""
        wait_until(lambda: relay.answers())
        time.sleep(0.3)
        assert not other.open_lines
        # The request is repeatable and no other backend is left: the first one may be attempted again.
        assert len(first.open_lines) == 1 or (meanwhile == "drains" and answer == "reset")


@mark.parametrize("name", ["feed", "bill", "mark"])
def test_a_deadline_shorter_than_the_connect_is_answered_and_nothing_is_sent_later(
    name: str, tmp_path: Path
) -> None:
    settings = EFFECTS | {"allowed": EFFECTS["allowed"] | {"probes": False}}
    backend = Backend("a")
    with full_queue() as late:
        backend.address = "{}:{}".format(*late.getsockname())
        with RelayProgram(tmp_path, [backend], settings=settings) as relay:
            client, start = send_request(relay, f"c={name},d=600"), time.monotonic()
            assert client.read_line() == "BUSY" and client.read_line() == "", "the request never ran"
            assert time.monotonic() - start < 1, "before the connect could succeed"
            assert not first_data(late)


# -- hot restart -----------------------------------------------------------------------------------


class StoppingProcesses(RestartableRelay):
    """Processes that each send themselves SIGSTOP at a method; with an empty entry a process does not."""

    def __init__(self, tmp: Path, backends: list[Backend], *places: str) -> None:
        self.places = list(places)
        super().__init__(tmp, backends)

    def command(self) -> list[str]:
        place = self.places.pop(0) if self.places else ""
        return stopping_command(place) if place else super().command()


def check_processes(relay: StoppingProcesses) -> None:
    """Checks that the processes serve new clients and stop normally."""
    clients = [relay.client() for _ in range(4)]
    assert {client.open(str(number), "c=feed,d=3000") for number, client in enumerate(clients)} == {"UP r"}
    living = [process for process in relay.processes if process.poll() is None]
    for process in living:
        process.terminate()
    assert [client.read_line() for client in clients] == ["MOVE"] * 4
    assert [process.wait(timeout=5) for process in living] == [0] * len(living)


METHODS = [
    "relay Relay open before",
    "handover Handover take_over after",
    "clients Listener open before",
    "clients Listener open after",
    "handover Handover listen after",
]


@mark.parametrize("end", ["late", "terminated", "killed"])
@mark.parametrize("place", METHODS)
def test_a_new_process_that_pauses_or_dies_between_its_steps_loses_no_client(
    place: str, end: str, tmp_path: Path
) -> None:
    backend = Backend("a")
    with StoppingProcesses(tmp_path, [backend], "", place) as relay:
        wait_until(relay.ready)
        before = relay.client()
        assert before.open() == "UP r"
        relay.start()
        relay.until_paused()
        waits = send_request(relay, "c=feed,d=3000")
        if end == "killed":
            relay.process.kill()
        elif end == "terminated":
            relay.process.terminate()
        else:
            time.sleep(1.7)  # past the lease
        relay.resume()
        assert waits.read_line() in ("UP r", "BUSY")
        if end == "terminated":
            assert relay.process.wait(timeout=6) == 0
        elif end == "late":
            wait_until(relay.ready)
        assert before.exchange("M 1") == "M 1"
        check_processes(relay)


@mark.parametrize("end", ["late", "killed"])
@mark.parametrize(
    "place",
    [
        "_takeover_requested before",
        "_takeover_requested after",
        "_takeover_confirmed before",
        "_takeover_confirmed after",
    ],
)
def test_an_old_process_that_pauses_or_dies_between_its_steps_loses_no_new_client(
    place: str, end: str, tmp_path: Path
) -> None:
    with StoppingProcesses(tmp_path, [Backend("a")], f"handover Handover {place}") as relay:
        wait_until(relay.ready)
        before = relay.client()
        assert before.open() == "UP r"
        old = relay.process
        relay.start()
        wait_until(lambda: is_paused(old.pid))
        waits = send_request(relay)
        if end == "killed":
            old.kill()
        else:
            time.sleep(1.7)  # past the lease, and past the new process's wait for an answer
            old.send_signal(signal.SIGCONT)
        assert waits.read_line() == "UP r"
        wait_until(relay.ready)
        if end == "late":
            assert before.exchange("M 1") == "M 1"
        check_processes(relay)


def test_the_lease_ends_while_the_confirmation_is_still_unread(tmp_path: Path) -> None:
    """After a pause the old process handled the end of the lease first, and both processes reported ready."""
    with StoppingProcesses(tmp_path, [Backend("a")], "", "handover PeerProcess send before") as relay:
        wait_until(relay.ready)
        old = relay.processes[0]
        relay.start()
        relay.until_paused()
        old.send_signal(signal.SIGSTOP)
        relay.resume()
        wait_until(relay.ready)
        time.sleep(1.7)
        old.send_signal(signal.SIGCONT)
        wait_until(
            lambda: relay.logged("the new process serves") or relay.logged("did not take over in time")
        )
        assert not relay.ready(0) and relay.ready() and not relay.logged("did not take over in time")
        check_processes(relay)


def test_an_acknowledgement_by_the_other_process_may_still_be_unread(tmp_path: Path) -> None:
    """After a pause the process handled the time-out first, and took the other process for one that hangs."""
    clock, sent, done = Clock(), [], []

    def now() -> int:
        return round(clock.seconds() * SECOND)

    context = SimpleNamespace(reactor=clock, timers=Timers(clock, now), connections=None)
    handover = Handover(context, tmp_path, "n0", *[None] * 5)
    peer = handover.successor = SimpleNamespace(send=lambda **line: sent.append(line))
    for number in (1, 2):
        handover.forward("offline", "a", lambda number=number: done.append(number))
        clock.advance((ACKNOWLEDGE_WITHIN + 200 * MS) / SECOND)
        assert len(sent) == number and len(done) == number - 1, "the acknowledgement may still be unread"
        if number == 1:
            handover.message_received(peer, {"done": sent[0]["call"]})
        else:
            clock.advance(0.002)  # the other process hangs
        assert done == [1, 2][:number]
    clock.advance(5)
    assert done == [1, 2]


def test_an_operators_call_during_a_pause_of_the_process_is_answered(tmp_path: Path) -> None:
    control = free_address()
    host, _, port = control.rpartition(":")
    with (
        RelayProgram(tmp_path, [Backend("a")], control=control) as relay,
        socket.create_connection((host, int(port)), timeout=5) as caller,
    ):
        caller.sendall(b"GET /control/re")
        wait_until(relay.answers)
        relay.pause()
        caller.sendall(b"ady HTTP/1.1\r\nHost: x\r\n\r\n")
        time.sleep(CALL_TIMEOUT / SECOND + 0.3)
        relay.resume()
        assert caller.recv(100).startswith(b"HTTP/1.1 200")


def test_operators_calls_among_many_connections_during_a_pause_are_answered(tmp_path: Path) -> None:
    """Two dozen connections were accepted in one turn; the first were evicted for the last before being read.

    Connections that had been answered were evicted before the answer was written.
    """
    control = free_address()
    with RelayProgram(tmp_path, [Backend("a")], control=control) as relay:
        relay.pause()
        crowd = [Caller(control).send(b"GET /con") for _ in range(30)]
        callers = []
        for _ in range(30):
            callers.append(Caller(control).send(b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
            crowd.append(Caller(control).send(b"GET /con"))
        relay.resume()
        assert [caller.answer()[0] for caller in callers] == [200] * 30


def test_the_final_sweep_of_out_of_service_reads_first() -> None:
    clock, sweeps = Clock(), []

    def now() -> int:
        return round(clock.seconds() * SECOND)

    timers = Timers(clock, now)
    policy_host = SimpleNamespace(call=lambda *_: None, balancer=SimpleNamespace(drain_started=None))
    tunnels = SimpleNamespace(table=SimpleNamespace(used=1), close_all=lambda: sweeps.append(now()))
    service = ServiceState(timers, policy_host, None, tunnels, None, SimpleNamespace(out_of_service=False))
    service.leave_service()
    clock.advance(5)
    assert not sweeps, "answers may still be unread"
    clock.advance(0.002)
    assert sweeps
