"""Tunnels under random events: each request gets exactly one answer, and all slots are released."""

from __future__ import annotations

from typing import Any

from helpers import MS, SECOND, list_entry, make_settings
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from cedarledge.net.backend_registry import BackendRegistry
from cedarledge.net.buffers import BufferPool
from cedarledge.net.clients import parse_open_request
from cedarledge.net.interfaces import Observer
from cedarledge.net.invariants import Invariants
from cedarledge.net.line_connection import ConnectionContext
from cedarledge.net.message_latency import LatencyReporter, MessageTimers
from cedarledge.net.observers import Observers
from cedarledge.net.policy_host import RelayPolicyHost
from cedarledge.net.rate_limited_log import RateLimitedLog
from cedarledge.net.slots import NoFreeSlotError, SlotTable
from cedarledge.net.timers import Timers
from cedarledge.net.tunnels import Tunnels
from cedarledge.policy import Balancer
from cedarledge.terms import BackendState, ListForm, LoadReport, Outcome

BACKENDS, CAPACITY = 4, 5
FAILED = [Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT]


class FakeTransport:
    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Does nothing."""


class RecordingClient:
    """An interfaces.ClientConnection that records its answers."""

    def __init__(self) -> None:
        self.transport = FakeTransport()
        self.answers: list[str] = []
        self.tunnel_id = -1

    def peer_has_left(self) -> bool:
        return "LEFT" in self.answers

    def accept(self, line: bytes) -> None:
        self.answers.append("UP")

    def reject(self, retry_after: int) -> None:
        self.answers.append("BUSY")

    def send_error(self) -> None:
        self.answers.append("ERR")

    def send_move(self) -> None:
        self.answers.append("MOVE")

    def finish(self) -> None:
        self.answers.append("END")

    def abort(self) -> None:
        self.answers.append("RESET")

    def send_lines(self, lines: list[bytes]) -> None:
        assert self.answers == ["UP"], "lines on a connection that is not open"

    def protocol_error(self, why: str) -> None:
        self.answers.append("ERR")


class FakeAttempt:
    def __init__(self, backend_id: int, began: int) -> None:
        self.backend_id = backend_id
        self.began = began
        self.written = False
        self.over = False
        self.transport = FakeTransport()

    def cancel(self, abrupt: bool = False) -> None:
        self.over = True

    def send_lines(self, lines: list[bytes]) -> None:
        assert not self.over


class CountingObserver(Observer):
    """Counts requests, and fails on each end of one."""

    def __init__(self) -> None:
        self.arrivals = self.ends = 0

    def arrived(self, now: int, tunnel_id: int, profile: int, returning: bool) -> None:
        self.arrivals += 1

    def ended(self, now: int, tunnel_id: int, took: int) -> None:
        self.ends += 1
        raise RuntimeError("an observer that always fails")


class Scene:
    """The parts of a relay between its frontend and its backends, with a fake clock."""

    def __init__(self, is_failing: bool = False) -> None:
        self.reactor = Clock()
        timers = Timers(self.reactor, self.now)
        context = ConnectionContext(
            self.reactor,
            self.now,
            timers,
            BufferPool(4097, 50),
            SlotTable(50),
            RateLimitedLog(timers),
            Invariants(),
        )
        self.invariants = context.invariants
        observers = Observers(self.now, timers)
        observers.add(CountingObserver())
        self.policy_host = RelayPolicyHost(self.now, timers)
        self.registry = BackendRegistry(self.policy_host, observers, {})
        profiles = {"a": 0, "b": 1, "c": 2}
        self.tunnels = Tunnels(
            context,
            self.policy_host,
            self.registry,
            observers,
            CAPACITY,
            profiles,
            {},
            [SECOND] * 3,
            150 * MS,
            make_settings().request_classes,
        )
        self.tunnels.connect(
            self,
            MessageTimers(
                self.now, timers, LatencyReporter(self.now, 0, lambda *_: None), self.tunnels.silent
            ),
        )
        self.policy_host.connect(self.tunnels, self, self.registry, self)
        self.timers = timers
        self.attempts: dict[int, FakeAttempt] = {}
        self.clients: list[RecordingClient] = []
        self.full = False
        self.policy_host.start(
            make_settings(start_time=self.now()), FailingBalancer if is_failing else Balancer
        )
        entries = [list_entry(backend_id, cells=2) for backend_id in range(BACKENDS)]
        for entry in entries:
            self.registry.addresses[self.registry.backend_ids[f"s-{entry.backend_id}"]] = ("127.0.0.1", 1)
        self.listing = {entry.backend_id: entry for entry in entries}
        self.registry.publish(ListForm.RESTORED, entries)

    def now(self) -> int:
        return round(self.reactor.seconds() * SECOND) + 1000 * SECOND

    # -- fakes of Backends and Watch ---------------------------------------------------------------

    def set_up(
        self,
        tunnel_id: int,
        backend_id: int,
        address: Any,
        head: Any,
        timeout: int,
        within: int,
        send_deadline: int | None,
    ) -> FakeAttempt:
        assert tunnel_id not in self.attempts, "two attempts of one request at once"
        if self.full:
            raise NoFreeSlotError
        self.attempts[tunnel_id] = FakeAttempt(backend_id, self.now())
        self.timers.after(timeout, self._time_out, tunnel_id, self.attempts[tunnel_id])
        return self.attempts[tunnel_id]

    def probe(self, backend_id: int, address: Any) -> None:
        """Probes are never answered."""

    def start(self) -> None:
        """Discovery never answers."""

    def _time_out(self, tunnel_id: int, attempt: FakeAttempt) -> None:
        if self.attempts.get(tunnel_id) is attempt and not attempt.over:
            self.end_attempt(tunnel_id, Outcome.TIMEOUT)

    # -- events ------------------------------------------------------------------------------------

    def client_arrives(self, profile: str) -> None:
        client = RecordingClient()
        self.clients.append(client)
        line = f"OPEN i{len(self.clients)} k{len(self.clients) % 3} c={profile},d=900,g=g"
        client.tunnel_id = self.tunnels.request_arrived(client, parse_open_request(line.encode()))

    def _pick_attempt(self, pick: int, is_open: bool) -> int | None:
        tunnel_ids = [
            tunnel_id
            for tunnel_id, attempt in self.attempts.items()
            if not attempt.over and bool(self.tunnels.table.get(tunnel_id).is_open) == is_open
        ]
        return tunnel_ids[pick % len(tunnel_ids)] if tunnel_ids else None

    def attempt_opens(self, pick: int) -> None:
        tunnel_id = self._pick_attempt(pick, is_open=False)
        if tunnel_id is not None:
            self.attempts[tunnel_id].written = True
            self.tunnels.setup_opened(tunnel_id, b"UP r", self.now() - self.attempts[tunnel_id].began)
            self.tunnels.lines_from_client(tunnel_id, [b"m"])
            self.tunnels.backend_lines_received(tunnel_id, [b"LOAD 0.5", b"LOAD none", b"e"])

    def attempt_fails(self, pick: int, outcome: Outcome) -> None:
        tunnel_id = self._pick_attempt(pick, is_open=False)
        if tunnel_id is not None:
            self.end_attempt(tunnel_id, outcome)

    def end_attempt(self, tunnel_id: int, outcome: Outcome) -> None:
        attempt = self.attempts.pop(tunnel_id)
        attempt.over = True
        self.tunnels.setup_over(
            tunnel_id, attempt.backend_id, outcome, self.now() - attempt.began, None, True
        )

    def backend_closes(self, pick: int, outcome: Outcome) -> None:
        tunnel_id = self._pick_attempt(pick, is_open=True)
        if tunnel_id is not None:
            self.end_attempt(tunnel_id, outcome)

    def client_leaves(self, pick: int) -> None:
        held = [client for client in self.clients if client.tunnel_id >= 0 and client.answers in ([], ["UP"])]
        if held:
            client = held[pick % len(held)]
            self.tunnels.client_closed(client.tunnel_id, abrupt=bool(pick % 2))
            client.answers.append("LEFT")

    def list_changes(self, pick: int, state: BackendState) -> None:
        backend_id = pick % BACKENDS
        self.listing[backend_id] = self.listing[backend_id]._replace(state=state)
        self.registry.publish(ListForm.CHANGES, [self.listing[backend_id]])

    def backend_reports(self, pick: int, asked: float) -> None:
        self.policy_host.call(
            self.policy_host.balancer.probe_ended, pick % BACKENDS, asked < 5, LoadReport(offered_load=asked)
        )


class FailingBalancer(Balancer):
    """Fails while it places requests."""

    placements = 0

    def _place(self, now: int, connection_id: int, connection: Any) -> None:
        self.placements += 1
        if self.placements % 3 == 0:
            raise RuntimeError("on purpose")
        super()._place(now, connection_id, connection)


def check_answers(client: RecordingClient) -> None:
    assert client.answers in (
        [],
        ["UP"],
        ["BUSY"],
        ["ERR"],
        ["LEFT"],
        ["UP", "MOVE"],
        ["UP", "END"],
        ["UP", "RESET"],
        ["UP", "LEFT"],
    ), client.answers


pick = st.integers(0, 20)
steps = st.one_of(
    st.tuples(st.just("client_arrives"), st.sampled_from("abc")),
    st.tuples(st.just("client_arrives"), st.sampled_from("abc")),
    st.tuples(st.just("attempt_opens"), pick),
    st.tuples(st.just("attempt_fails"), pick, st.sampled_from(FAILED)),
    st.tuples(
        st.just("backend_closes"), pick, st.sampled_from([Outcome.DONE, Outcome.RESET, Outcome.CANCELLED])
    ),
    st.tuples(st.just("client_leaves"), pick),
    st.tuples(st.just("list_changes"), pick, st.sampled_from(list(BackendState))),
    st.tuples(st.just("backend_reports"), pick, st.sampled_from([0.1, 0.9, 1.5, 9.0])),
    st.tuples(st.just("time_passes"), st.sampled_from([1, 40, 300, 2500])),
    st.tuples(st.just("connection_silent"), pick),
    st.tuples(st.just("slots_full"), st.booleans()),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(steps, max_size=60), st.booleans())
def test_no_order_of_faults_leaves_a_request_without_exactly_one_answer(
    sequence: list[tuple], is_failing: bool
) -> None:
    scene = Scene(is_failing)
    for name, *arguments in sequence:
        if name == "time_passes":
            for _ in range(max(1, arguments[0] // 40)):
                scene.reactor.advance(min(40, arguments[0]) / 1000)
        elif name == "slots_full":
            scene.full = arguments[0]
        elif name == "connection_silent":
            tunnel_id = scene._pick_attempt(arguments[0], is_open=True)
            if tunnel_id is not None:
                scene.tunnels.silent(tunnel_id)
        else:
            getattr(scene, name)(*arguments)
        for client in scene.clients:
            check_answers(client)
    # After the last client timeout no client may be waiting, whatever the backends did.
    for _ in range(40):
        scene.reactor.advance(0.025)
    for client in scene.clients:
        check_answers(client)
        assert client.answers, "a client without an answer"
    scene.tunnels.close_all()
    scene.reactor.advance(0.01)
    assert scene.tunnels.table.used == 0, "every slot is released"
    assert not scene.tunnels.ids
    assert not scene.invariants.counts
    if not is_failing:
        state = scene.policy_host.balancer.state
        assert not (state.connections or state.awaiting_probe or state.in_flight), (
            "the balancer counts no connection that does not exist"
        )
        assert not any(
            member.open or member.pending or member.connections for member in state.backends.values()
        )


def test_an_attempt_that_found_no_slot_is_not_counted_once_its_client_has_left() -> None:
    """Guards against an attempt that the balancer counts for good.

    The attempt finds no slot and the client leaves in the same reactor iteration.
    """
    scene = Scene()
    for backend_id in range(BACKENDS):
        scene.backend_reports(backend_id, 0.1)
    scene.full = True
    scene.client_arrives("a")
    scene.client_leaves(0)
    state = scene.policy_host.balancer.state
    assert state.in_flight == 1
    scene.reactor.advance(0)
    assert (
        not state.in_flight
        and not state.connections
        and not any(member.open or member.pending for member in state.backends.values())
    )


def test_a_balancer_that_fails_while_all_are_closed_leaves_no_client_without_an_answer() -> None:
    """Guards against a sweep that stops early.

    The first failure of the balancer answers all waiting requests, so the sweep meets ids that are gone.
    """
    scene = Scene()
    for backend_id in range(BACKENDS):
        scene.backend_reports(backend_id, 0.1)
    scene.reactor.advance(4)  # so that requests wait for a probe
    for _ in range(3):
        scene.client_arrives("a")

    def fails(*_: Any) -> None:
        raise RuntimeError("on purpose")

    scene.policy_host.balancer.client_gone = fails
    scene.tunnels.close_all()
    scene.reactor.advance(0.01)
    assert [client.answers for client in scene.clients] == [["ERR"]] * 3
