"""Limits: idle clients that occupy the descriptors, and probe connections that a backend closes."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import IO

from helpers import MS, SECOND, Backend, Client, RelayProgram, wait_until
from test_control import call, free_address
from test_crossings import PATIENT
from test_net import FakeTransport
from test_terms_discovery import (
    ASK_EVERY_US,
    DRAIN_GRACE,
    RECEIVED_AFTER,
    FaultyDiscovery,
    close_unread,
)
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from cedarledge.net.backends import BackendConnector
from cedarledge.net.buffers import BufferPool
from cedarledge.net.invariants import Invariants
from cedarledge.net.line_connection import ConnectionContext
from cedarledge.net.lines import BUFFER_SIZE
from cedarledge.net.rate_limited_log import RateLimitedLog
from cedarledge.net.slots import SlotTable
from cedarledge.net.timers import Timers
from cedarledge.settings import ReportReader

SOCKETS = 160
IDLE_CONNECTIONS = 60  # what the relay's reserves leave of these for idle clients


class ProbedBackend(Backend):
    """Counts the connections that bring a probe, and closes each after its answer.

    So the relay needs a new descriptor for each probe.
    """

    def __init__(self, name: str) -> None:
        self.probed = 0
        super().__init__(name)

    def serve_lines(self, link: socket.socket, lines: IO[bytes]) -> None:
        if lines.peek(1).startswith(b"STATS"):
            lines.readline()
            link.sendall(f"PONG {self.stats}\r\n".encode())
            self.probed += 1
            return
        super().serve_lines(link, lines)


@contextmanager
def idle_clients(relay: RelayProgram, count: int) -> Iterator[None]:
    """Keeps `count` connections open that send nothing; a connection that is closed is replaced."""
    done = threading.Event()
    links: list[socket.socket] = []

    def come_again() -> None:
        while not done.is_set():
            while len(links) < count:
                link = socket.socket()
                link.setblocking(False)
                link.connect_ex(relay.address)
                links.append(link)
            for link in links[::]:
                if has_ended(link):
                    links.remove(link)
                    link.close()
            done.wait(0.02)

    thread = threading.Thread(target=come_again)
    thread.start()
    try:
        yield
    finally:
        done.set()
        thread.join()
        for link in links:
            link.close()


def has_ended(link: socket.socket) -> bool:
    try:
        return not link.recv(1)
    except BlockingIOError:
        return False
    except OSError:
        return True


def open_at_once(relay: RelayProgram) -> Client:
    """Opens a client at once, since one that sends nothing for a while would count as idle."""
    client = relay.client()
    assert client.open(f"{time.monotonic_ns()}", "c=feed,d=15000") == "UP r", "an attempt gets its descriptor"
    return client


def descriptors(relay: RelayProgram) -> int:
    return len(list(Path(f"/proc/{relay.process.pid}/fd").iterdir()))


def test_idle_clients_leave_descriptors_for_the_relays_own_connections(tmp_path: Path) -> None:
    """Discovery is down meanwhile, and is followed once it is back.

    The test fails with `eviction_free` and `refusal_free` at 0.
    """
    control = free_address()
    backends = [ProbedBackend("a"), ProbedBackend("b")]
    discovery = FaultyDiscovery([backend.entry() for backend in backends])
    settings = PATIENT | {"safety": PATIENT["safety"] | {"ask_every": ASK_EVERY_US}}
    # On a busy machine a probe may be answered late; its backend would not be chosen, and clients rejected.
    long_timeouts = {"setup_goal": 12_000_000, "client_timeout": 20_000_000}
    settings["profiles"] = [row | long_timeouts for row in PATIENT["profiles"]]
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": SOCKETS}
    with RelayProgram(
        tmp_path, backends, settings=settings, discovery=discovery.address, limits=limits, control=control
    ) as relay:
        wait_until(lambda: discovery.calls)
        discovery.break_by(close_unread)
        with idle_clients(relay, 2 * SOCKETS):
            wait_until(lambda: descriptors(relay) > IDLE_CONNECTIONS)
            for _ in range(4):
                failed, probed = discovery.faulted, sum(backend.probed for backend in backends)
                open_at_once(relay)
                assert call(control, "GET", "/control/ready") == 200, "an operator's call gets its descriptor"
                wait_until(lambda probed=probed: sum(backend.probed for backend in backends) > probed)
                wait_until(lambda failed=failed: discovery.faulted > failed)
            drained = backends[0]
            discovery.members = [drained.entry("draining"), backends[1].entry()]
            discovery.publish(drained.entry("draining"))
            discovery.repair()
            time.sleep(RECEIVED_AFTER + DRAIN_GRACE)
            placed = len(drained.open_lines)
            stay = [open_at_once(relay) for _ in range(12)]
            assert len(drained.open_lines) == placed and len(stay) == 12, "nothing new on a draining backend"
        assert "Too many open files" not in relay.log.read_text()


def test_a_probe_connection_closed_after_a_slow_answer_does_not_make_its_backend_look_busy() -> None:
    """The connection had answered, but did not count as such until the probe was repeated.

    Therefore the backend was taken for busy and not chosen.
    """
    reactor, answered = MemoryReactorClock(), []

    def now() -> int:
        return round(reactor.seconds() * SECOND)

    timers = Timers(reactor, now)
    context = ConnectionContext(
        reactor, now, timers, BufferPool(BUFFER_SIZE, 4), SlotTable(4), RateLimitedLog(timers), Invariants()
    )
    slow_probes = SimpleNamespace(slowdown=lambda *_: 2.0)
    backends = BackendConnector(
        context,
        SimpleNamespace(),
        lambda *result: answered.append(result[1]),
        ReportReader({}),
        slow_probes,
        150 * MS,
        SECOND,
        SECOND,
        b"PING",
    )
    backends.probe(0, ("127.0.0.1", 9))
    link = reactor.tcpClients[0][2].buildProtocol(None)
    link.makeConnection(FakeTransport())
    link.dataReceived(b"PONG\r\n")
    link.connectionLost(Failure(ConnectionDone()))
    assert not answered and len(reactor.tcpClients) == 2, "the probe is repeated on a new connection"
