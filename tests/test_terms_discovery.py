"""A change counts as received 6 s after discovery had it and could be reached, whatever failed before."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, closing, suppress
from pathlib import Path
from typing import IO, NamedTuple

from helpers import Backend, Discovery, RelayProgram, free_port, wait_until
from test_crossings import PATIENT, PUSHED

RECEIVED_AFTER, DRAIN_GRACE = 6.0, 1.0
# So long that the settings' interval makes no retry early.
ASK_EVERY_US = 60_000_000
Fault = Callable[[socket.socket, IO[bytes]], None]


class FaultyDiscovery(Discovery):
    """A discovery whose calls end in a fault until it is repaired."""

    def __init__(self, members: list[dict]) -> None:
        super().__init__(members)
        self.fault: Fault | None = None
        self.faulted = 0
        self.queue_fillers = ExitStack()
        # Outside the range of ephemeral ports, so that nobody takes it while nothing listens there.
        self.close_listener()
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.open_listener()

    def _accept(self) -> None:
        listener = self.socket  # this listener, not a later one
        with suppress(OSError):
            while True:
                link, _ = listener.accept()
                threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def close_listener(self) -> None:
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def open_listener(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", self.port), backlog=512)
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_watches(self) -> None:
        for link in list(self.links):
            with suppress(OSError):
                link.shutdown(socket.SHUT_RDWR)

    def break_by(self, fault: Fault) -> None:
        self.fault = fault
        self.reset_watches()

    def refuse_connections(self) -> None:
        self.close_listener()
        self.reset_watches()

    def leave_connects_unanswered(self) -> None:
        self.close_listener()
        self.socket = self.queue_fillers.enter_context(socket.socket())
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", self.port))
        self.socket.listen(0)
        for _ in range(3):  # more than the system's accept queue holds
            queue_filler = self.queue_fillers.enter_context(socket.socket())
            queue_filler.setblocking(False)
            queue_filler.connect_ex(self.socket.getsockname())
        self.reset_watches()

    def repair(self) -> None:
        self.fault = None
        self.queue_fillers.close()
        self.close_listener()
        self.open_listener()

    def answer(self, link: socket.socket, lines: IO[bytes]) -> None:
        if self.fault is None:
            super().answer(link, lines)
            return
        fault, self.faulted = self.fault, self.faulted + 1
        fault(link, lines)


def read_call(lines: IO[bytes]) -> None:
    for line in lines:
        if line == b"\r\n":
            return


def close_unread(link: socket.socket, lines: IO[bytes]) -> None:
    """Closes the accepted connection without reading."""


def answer_error(link: socket.socket, lines: IO[bytes]) -> None:
    read_call(lines)
    link.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def answer_error_late(link: socket.socket, lines: IO[bytes]) -> None:
    read_call(lines)
    time.sleep(1.9)  # queued for nearly as long as a call may be
    link.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def never_answer(link: socket.socket, lines: IO[bytes]) -> None:
    lines.read()


def never_finish(link: socket.socket, lines: IO[bytes]) -> None:
    read_call(lines)
    link.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n")
    while True:
        time.sleep(0.2)
        link.sendall(b" ")


def break_by(fault: Fault) -> Callable[[FaultyDiscovery], None]:
    return lambda discovery: discovery.break_by(fault)


def fall_silent(discovery: FaultyDiscovery) -> None:
    """Neither the open watch nor any call after it is answered."""
    discovery.fault = never_answer
    discovery.fall_silent()


class Case(NamedTuple):
    """A way for calls to fail, and when discovery can be reached again.

    That is after `logged` failures in the relay's log, or right after discovery has taken `taken` calls that
    it never answers.
    """

    name: str
    begin: Callable[[FaultyDiscovery], None]
    logged: int = 0
    taken: int = 0
    settings: dict = PATIENT
    changes_address: bool = False


CASES = [
    Case("connection refused", FaultyDiscovery.refuse_connections, logged=3),
    Case("connection closed unread", break_by(close_unread), logged=3),
    Case("HTTP error", break_by(answer_error), logged=3),
    Case("HTTP error late", break_by(answer_error_late), logged=3),
    Case("connect unanswered", FaultyDiscovery.leave_connects_unanswered, logged=3),
    Case("call unanswered", break_by(never_answer), taken=2),
    Case("answer without end", break_by(never_finish), taken=2),
    Case("watch fallen silent", fall_silent, taken=1),
    Case("moved by SIGHUP", FaultyDiscovery.refuse_connections, logged=3, changes_address=True),
    Case("pushed, connection refused", FaultyDiscovery.refuse_connections, logged=1, settings=PUSHED),
    Case("pushed, call unanswered", break_by(never_answer), taken=2, settings=PUSHED),
]


def failures_logged(relay: RelayProgram) -> int:
    return relay.log.read_text().count("WARNING discovery")


def open_clients(relay: RelayProgram) -> list[str]:
    """Opens clients and returns their answers. They stay open, so that every eligible backend gets some.

    On a busy machine some are rejected, because a backend whose probe is late is not chosen.
    """
    with ExitStack() as staying:
        clients = [staying.enter_context(closing(relay.client())) for _ in range(12)]
        return [client.open(f"{time.monotonic_ns()}", "c=feed,d=6000") for client in clients]


def run_case(case: Case, relay: RelayProgram, discovery: FaultyDiscovery) -> None:
    """Drains a backend when discovery can be reached again, right after a call has failed."""
    wait_until(lambda: discovery.calls)
    case.begin(discovery)
    wait_until(lambda: failures_logged(relay) >= case.logged and discovery.faulted >= case.taken, 40)
    if case.changes_address:
        other = FaultyDiscovery(discovery.members)
        other.refuse_connections()
        relay.reload(discovery=other.address)
        wait_until(lambda: failures_logged(relay) > case.logged, 40)
        discovery = other
    drained = relay.backends[0]
    discovery.members = [drained.entry("draining"), relay.backends[1].entry()]
    discovery.publish(drained.entry("draining"))
    discovery.repair()
    reachable = time.monotonic()
    time.sleep(RECEIVED_AFTER + DRAIN_GRACE)
    placed = len(drained.open_lines)
    answers = open_clients(relay)
    assert len(drained.open_lines) == placed, "clients were placed on a draining backend"
    assert "UP r" in answers, f"no client was placed: {answers}"
    assert any(at > reachable for at in discovery.answered), "discovery was not called again"


def test_a_drain_is_obeyed_in_time_whatever_calls_have_failed_before(tmp_path: Path) -> None:
    """Runs all cases in parallel, as each waits for most of its time.

    Retries whose delay doubled up to the interval of the settings came up to 90 s after discovery could be
    reached. Without Watch._retry_delay all cases without pushed lists fail. Pushed lists were not affected:
    both cases fail with PUSHED_RETRY_DELAY at 30 s and without _on_failure() in Watch._call_failed, which
    makes the policy retry.
    """
    with ExitStack() as relays, ThreadPoolExecutor(len(CASES)) as runs:
        running = []
        for number, case in enumerate(CASES):
            folder = tmp_path / str(number)
            folder.mkdir()
            backends = [Backend("a"), Backend("b")]
            discovery = FaultyDiscovery([backend.entry() for backend in backends])
            safety = case.settings["safety"] | {"ask_every": ASK_EVERY_US}
            relay = relays.enter_context(
                RelayProgram(
                    folder, backends, settings=case.settings | {"safety": safety}, discovery=discovery.address
                )
            )
            running.append(runs.submit(run_case, case, relay, discovery))
        errors = [run.exception() for run in running]
        failed = [f"{case.name}: {error}" for case, error in zip(CASES, errors, strict=True) if error]
    assert not failed, "\n".join(failed)
