"""When a change counts as received after SIGHUP or a hot restart: discovery is called again in time."""

from __future__ import annotations

import json
import random
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import IO, NamedTuple

from helpers import SECOND, Backend, Discovery, RelayProgram, wait_until
from pytest import mark
from test_crossings import PATIENT
from test_handover import restartable_relay
from test_terms_discovery import open_clients
from test_terms_start import BUSY, Transport
from twisted.internet.testing import MemoryReactorClock

from cedarledge.net.config import Address
from cedarledge.net.discovery import Watch
from cedarledge.net.timers import Timers

# By the operators' pages, s: after SIGHUP, and after the new process of a hot restart says that it is ready.
RECEIVED_AFTER_SIGHUP_S, RECEIVED_AFTER_READY_S = 4.0, 2.0
# After any failed call, once discovery could be reached; and what of it is kept for the call.
RECEIVED_AFTER_S, CALL_S = 6.0, 2.0
# The least time between two calls.
RETRY_DELAY_S = 0.1
DRAIN_GRACE_S = 0.25
STEP_S = 0.01
SEEDS = range(30)
OLD: Address = ("127.0.0.1", 1)
NEW: Address = ("127.0.0.1", 2)
MEMBERS = {"revision": 3, "complete": True, "members": []}


def response(answer: dict) -> bytes:
    body = json.dumps(answer).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Call(NamedTuple):
    """A call that the watch has made."""

    at: float
    target: str


class VirtualWatch:
    """A Watch in virtual time, and a discovery that answers each call as a test says."""

    def __init__(self, seed: int, answer: Callable[[float], tuple[float, bytes] | None]) -> None:
        """`answer` gets when a call came, and returns when to send what; None: never."""
        self.reactor = MemoryReactorClock()
        self.answer = answer
        self.calls: list[Call] = []
        self.began = 0.0
        self.answered: list[float] = []
        self.pending: list[tuple[float, object, bytes]] = []
        self.seen = 0
        self.links: list[object] = []
        self.watch = Watch(
            self.reactor,
            Timers(self.reactor, lambda: round(self.reactor.seconds() * SECOND)),
            OLD,
            7,
            10 * SECOND,
            False,
            random.Random(seed).random,
            lambda whole, members: self.answered.append(self.now()),
            lambda: None,
        )

    def now(self) -> float:
        return self.reactor.seconds() - self.began

    def run_until(self, end: float) -> None:
        while self.now() < end:
            self.reactor.advance(STEP_S)
            self._step()

    def _step(self) -> None:
        for _, _, factory, *_ in self.reactor.tcpClients[self.seen :]:
            link = factory.buildProtocol(None)
            link.makeConnection(Transport())
            self.links.append(link._wrappedProtocol)
        self.seen = len(self.reactor.tcpClients)
        for link in self.links:
            if request := link.transport.value():
                link.transport.clear()
                self.calls.append(Call(self.now(), request.split()[1].decode()))
                planned = self.answer(self.now())
                if planned is not None:
                    self.pending.append((planned[0], link, planned[1]))
        for at, link, data in list(self.pending):
            if at <= self.now():
                self.pending.remove((at, link, data))
                if not link.transport.disconnecting:
                    link.dataReceived(data)

    def first_call_after(self, at: float) -> float:
        return min(call.at for call in self.calls if call.at > at)


def first_fails(fails_at: float, members: dict) -> Callable[[float], tuple[float, bytes]]:
    return lambda at: (fails_at, BUSY) if at < fails_at else (at, response(members))


@mark.parametrize("fails_at", [0.02, 0.5, 1.5, 2.5, 2.9, 3.5, 3.8])
def test_a_failed_call_after_sighup_is_repeated_before_changes_count_as_received(fails_at: float) -> None:
    """Guards against a retry after 2 to 4 s, whatever SIGHUP has made due before."""
    for seed in SEEDS:
        run = VirtualWatch(seed, first_fails(fails_at, MEMBERS))
        run.watch.set_address(NEW)
        run.run_until(RECEIVED_AFTER_SIGHUP_S + 2)
        assert run.calls[0].target.endswith("hosts")
        assert run.first_call_after(fails_at) <= RECEIVED_AFTER_SIGHUP_S, f"seed {seed}"
        assert run.answered[0] <= RECEIVED_AFTER_SIGHUP_S + DRAIN_GRACE_S, f"seed {seed}"


@mark.parametrize("fails_at", [0.02, 0.5, 1.0, 1.8])
def test_a_failed_call_of_a_new_process_is_repeated_before_changes_count_as_received(fails_at: float) -> None:
    """Guards against a hot restart after which the new process learns of a drain seconds too late."""
    changes = {"revision": 8, "complete": False, "members": []}
    for seed in SEEDS:
        run = VirtualWatch(seed, first_fails(fails_at, changes))
        run.watch.resume_from(7)
        run.run_until(RECEIVED_AFTER_READY_S + 2)
        assert run.first_call_after(fails_at) <= RECEIVED_AFTER_READY_S, f"seed {seed}"
        assert run.answered[0] <= RECEIVED_AFTER_READY_S + DRAIN_GRACE_S, f"seed {seed}"


@mark.parametrize("repaired_at", [0.3, 1.0, 2.2, 3.0, 3.6, 3.9])
def test_calls_that_fail_at_once_come_ever_sooner_until_changes_count_as_received(repaired_at: float) -> None:
    """Guards against a last retry long before discovery comes back and a next one long after it is due."""
    for seed in SEEDS:
        run = VirtualWatch(seed, lambda at: (at, BUSY if at < repaired_at else response(MEMBERS)))
        run.watch.set_address(NEW)
        run.run_until(RECEIVED_AFTER_SIGHUP_S + 2)
        assert run.answered[0] <= RECEIVED_AFTER_SIGHUP_S + RETRY_DELAY_S + STEP_S, f"seed {seed}"


def test_calls_that_fail_for_long_come_ever_later_again_and_within_the_general_limit() -> None:
    """Guards against hundreds of relays that call without a pause while discovery is down."""
    for seed in SEEDS:
        run = VirtualWatch(seed, lambda at: (at, BUSY))
        run.watch.set_address(NEW)
        run.run_until(60)
        gaps = [later.at - earlier.at for earlier, later in zip(run.calls, run.calls[1:], strict=False)]
        assert max(gaps) <= RECEIVED_AFTER_S - CALL_S + 2 * STEP_S
        assert min(gaps) >= RETRY_DELAY_S
        assert all(gap > 1 for gap in gaps[-8:]), "as without SIGHUP"
        assert len(run.calls) < 50


@mark.parametrize(("move", "due"), [(True, RECEIVED_AFTER_SIGHUP_S), (False, RECEIVED_AFTER_READY_S)])
def test_a_call_without_an_answer_is_repeated_before_changes_count_as_received(
    move: bool, due: float
) -> None:
    """Guards against a silent first call that is waited for until nothing can be received in time."""
    for seed in SEEDS:
        run = VirtualWatch(seed, lambda at: None if at < 1 else (at, response(MEMBERS)))
        if move:
            run.watch.set_address(NEW)
        else:
            run.watch.resume_from(7)
        run.run_until(due + 2)
        assert run.answered[0] <= due, f"seed {seed}"


@mark.parametrize("fails_at", [0.5, 1.9, 2.9, 3.4])
def test_a_call_that_fails_late_is_repeated_six_seconds_after_it_began_at_the_latest(fails_at: float) -> None:
    """Guards against a delay from the failure on: a change may be as old as the call, which queued."""
    changes = {"revision": 8, "complete": False, "members": []}
    for seed in SEEDS:
        run = VirtualWatch(seed, first_fails(fails_at, changes))
        run.watch.start()
        run.run_until(RECEIVED_AFTER_S + CALL_S)
        assert run.first_call_after(fails_at) <= RECEIVED_AFTER_S - CALL_S + 2 * STEP_S, f"seed {seed}"
        assert run.first_call_after(fails_at) >= fails_at + RETRY_DELAY_S, f"seed {seed}"


def test_a_second_move_does_not_put_off_what_the_first_one_made_due() -> None:
    """Guards against new configurations in a row, each of which would start the time anew."""
    for seed in SEEDS:
        run = VirtualWatch(seed, first_fails(3.0, MEMBERS))
        run.watch.set_address(NEW)
        run.run_until(2.0)
        run.watch.set_address(OLD)
        run.run_until(RECEIVED_AFTER_SIGHUP_S + 2)
        assert run.answered[0] <= RECEIVED_AFTER_SIGHUP_S, f"seed {seed}"


class QueueingDiscovery(Discovery):
    """Fails one call after a time in its queue; which one a test says by `fail_next`."""

    def __init__(self, members: list[dict]) -> None:
        self.fail_next = threading.Event()
        self.fails_after = 0.0
        self.failed_at: list[float] = []
        super().__init__(members)

    def answer(self, link: socket.socket, lines: IO[bytes]) -> None:
        if not self.fail_next.is_set():
            super().answer(link, lines)
            return
        self.fail_next.clear()
        for line in lines:
            if line == b"\r\n":
                time.sleep(self.fails_after)
                self.failed_at.append(time.monotonic())
                with suppress(OSError):
                    link.sendall(BUSY)
                return


def test_a_drain_after_sighup_is_kept_though_the_first_call_fails_late(tmp_path: Path) -> None:
    """Guards, on sockets, against clients placed by the old list past 4 s and the grace."""
    backends = [Backend("a"), Backend("b")]
    with RelayProgram(tmp_path, backends, settings=PATIENT) as relay:
        other = QueueingDiscovery([backend.entry() for backend in backends])
        other.fails_after = 2.9
        other.fail_next.set()
        moved_at = time.monotonic()
        relay.reload(discovery=other.address)
        time.sleep(0.5)
        other.members = [backends[0].entry("draining"), backends[1].entry()]
        time.sleep(max(0, moved_at + RECEIVED_AFTER_SIGHUP_S + DRAIN_GRACE_S - time.monotonic()))
        assert other.failed_at, "the first call failed"
        placed = len(backends[0].open_lines)
        assert "UP r" in open_clients(relay)
        assert len(backends[0].open_lines) == placed


def test_a_drain_after_a_hot_restart_is_kept_though_the_first_call_fails_late(tmp_path: Path) -> None:
    """Guards, on sockets, against a new process that places clients by an old list for over 2 s."""
    backends = [Backend("a"), Backend("b")]
    discovery = QueueingDiscovery([backend.entry() for backend in backends])
    discovery.fails_after = 1.0
    with restartable_relay(tmp_path, *backends, settings=PATIENT, discovery=discovery.address) as relay:
        wait_until(lambda: discovery.calls)
        discovery.fail_next.set()
        relay.start_next()
        ready_at = time.monotonic()
        relay.processes[0].terminate()
        discovery.publish(backends[0].entry("draining"))
        time.sleep(max(0, ready_at + RECEIVED_AFTER_READY_S + DRAIN_GRACE_S - time.monotonic()))
        assert discovery.failed_at, "the new process's first call failed"
        placed = len(backends[0].open_lines)
        assert "UP r" in open_clients(relay)
        assert len(backends[0].open_lines) == placed
