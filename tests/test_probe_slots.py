"""Kept probe connections give way to clients and attempts, and a paused listener accepts again."""

from __future__ import annotations

from types import SimpleNamespace

from helpers import MS, SECOND
from test_net import FakeTransport
from twisted.internet.testing import MemoryReactorClock

from cedarledge.net.backends import BackendConnector
from cedarledge.net.buffers import BufferPool
from cedarledge.net.clients import Listener
from cedarledge.net.descriptor_budget import divide_descriptors
from cedarledge.net.invariants import Invariants
from cedarledge.net.line_connection import ConnectionContext
from cedarledge.net.lines import BUFFER_SIZE
from cedarledge.net.rate_limited_log import RateLimitedLog
from cedarledge.net.slots import SlotTable
from cedarledge.net.timers import Timers
from cedarledge.settings import ReportReader

ADDRESS = ("127.0.0.1", 9)


class Scene:
    """Probe connections of many backends before a client listener, on transports in memory."""

    def __init__(self, slots: int, probe_free: int) -> None:
        self.reactor = MemoryReactorClock()

        def now() -> int:
            return round(self.reactor.seconds() * SECOND)

        timers = Timers(self.reactor, now)
        self.context = ConnectionContext(
            self.reactor,
            now,
            timers,
            BufferPool(BUFFER_SIZE, slots),
            SlotTable(slots),
            RateLimitedLog(timers),
            Invariants(),
        )
        self.ended: list[tuple[int, bool]] = []
        self.backends = BackendConnector(
            self.context,
            SimpleNamespace(),
            lambda backend_id, answered, _report: self.ended.append((backend_id, answered)),
            ReportReader({}),
            SimpleNamespace(slowdown=lambda *_: 1.0),
            150 * MS,
            SECOND,
            15 * SECOND,
            b"PING",
            probe_free=probe_free,
        )

    def probe(self, backend_id: int, answers: bool = True) -> None:
        seen = len(self.reactor.tcpClients)
        self.backends.probe(backend_id, ADDRESS)
        for _, _, factory, *_ in self.reactor.tcpClients[seen:]:
            link = factory.buildProtocol(None)
            link.makeConnection(FakeTransport())
        if answers and backend_id in self.backends.probes:
            self.backends.probes[backend_id].dataReceived(b"PONG\r\n")


def test_a_new_probe_takes_the_place_of_the_least_recently_used_one_where_slots_run_short() -> None:
    """Guards against kept probe connections that fill the slots, one for each backend."""
    scene = Scene(slots=30, probe_free=20)
    for backend_id in [*range(10), 0]:
        scene.probe(backend_id)
    assert list(scene.backends.probes) == [*range(1, 10), 0], "the one that was used again is the last to go"
    scene.probe(10)
    assert 1 not in scene.backends.probes and list(scene.backends.probes)[-2:] == [0, 10]


def test_a_probe_without_a_slot_says_nothing_against_its_backend() -> None:
    """Guards against probes that take the slots of attempts while others are out."""
    scene = Scene(slots=30, probe_free=20)
    for backend_id in range(10):
        scene.probe(backend_id, answers=False)
    scene.probe(10)
    scene.reactor.advance(0.001)
    assert scene.ended == [(10, True)] and len(scene.backends.probes) == 10


def test_a_paused_listener_accepts_again_whoever_releases_a_slot() -> None:
    """Guards against a listener that only the end of a client's connection resumes."""
    scene = Scene(slots=60, probe_free=0)
    listener = Listener(scene.context, divide_descriptors(256, has_control=False), SimpleNamespace())
    reading: list[bool] = []
    listener.port = SimpleNamespace(
        connected=True,
        numberAccepts=1,
        startReading=lambda: reading.append(True),
        stopReading=lambda: reading.append(False),
    )
    for backend_id in range(54):
        scene.probe(backend_id, answers=False)
    assert listener.buildProtocol(None) is None and reading == [False]
    for backend_id in range(3):
        scene.backends.probes[backend_id].connectionLost(SimpleNamespace(check=lambda *_: None))
    assert reading == [False, True]
