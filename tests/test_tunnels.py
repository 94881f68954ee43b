"""Tunnels between a front and boxes that do as they like, in any order: one answer each, all slots back."""

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

BOXES, MOST = 4, 5
FAILED = [Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT]


class Transport:
    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """As Twisted's."""


class Client:
    """An interfaces.ClientConnection that notes what it is told."""

    def __init__(self) -> None:
        self.transport = Transport()
        self.said: list[str] = []
        self.tunnel_id = -1

    def peer_has_left(self) -> bool:
        return "LEFT" in self.said

    def accept(self, line: bytes) -> None:
        self.said.append("UP")

    def reject(self, retry_after: int) -> None:
        self.said.append("BUSY")

    def send_error(self) -> None:
        self.said.append("ERR")

    def send_move(self) -> None:
        self.said.append("MOVE")

    def finish(self) -> None:
        self.said.append("END")

    def abort(self) -> None:
        self.said.append("RESET")

    def send_lines(self, lines: list[bytes]) -> None:
        assert self.said == ["UP"], "lines on a tunnel that is not open"

    def protocol_error(self, why: str) -> None:
        self.said.append("ERR")


class SetupStub:
    def __init__(self, backend_id: int, began: int) -> None:
        self.backend_id = backend_id
        self.began = began
        self.written = False
        self.over = False
        self.transport = Transport()

    def cancel(self, abrupt: bool = False) -> None:
        self.over = True

    def send_lines(self, lines: list[bytes]) -> None:
        assert not self.over


class Ear(Observer):
    """Counts, and fails."""

    def __init__(self) -> None:
        self.came = self.went = 0

    def arrived(self, now: int, tunnel_id: int, profile: int, returning: bool) -> None:
        self.came += 1

    def ended(self, now: int, tunnel_id: int, took: int) -> None:
        self.went += 1
        raise RuntimeError("a hearer that fails each time")


class Scene:
    """Everything of a relay between its front and its boxes, on a clock of its own."""

    def __init__(self, broken: bool = False) -> None:
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
        observers.add(Ear())
        self.policy_host = RelayPolicyHost(self.now, timers)
        self.registry = BackendRegistry(self.policy_host, observers, {})
        profiles = {"a": 0, "b": 1, "c": 2}
        self.tunnels = Tunnels(
            context,
            self.policy_host,
            self.registry,
            observers,
            MOST,
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
        self.out: dict[int, SetupStub] = {}
        self.clients: list[Client] = []
        self.full = False
        self.policy_host.start(make_settings(start_time=self.now()), Broken if broken else Balancer)
        entries = [list_entry(backend_id, cells=2) for backend_id in range(BOXES)]
        for entry in entries:
            self.registry.addresses[self.registry.backend_ids[f"s-{entry.backend_id}"]] = ("127.0.0.1", 1)
        self.listing = {entry.backend_id: entry for entry in entries}
        self.registry.publish(ListForm.RESTORED, entries)

    def now(self) -> int:
        return round(self.reactor.seconds() * SECOND) + 1000 * SECOND

    # -- what the module's host and the tunnels ask of others --------------------------------------

    def set_up(
        self, tunnel_id: int, backend_id: int, address: Any, head: Any, timeout: int, within: int
    ) -> SetupStub:
        assert tunnel_id not in self.out, "two setups of one tunnel at once"
        if self.full:
            raise NoFreeSlotError
        self.out[tunnel_id] = SetupStub(backend_id, self.now())
        self.timers.after(timeout, self._too_late, tunnel_id, self.out[tunnel_id])
        return self.out[tunnel_id]

    def probe(self, backend_id: int, address: Any) -> None:
        """Never answered: looks run out."""

    def start(self) -> None:
        """Discovery."""

    def _too_late(self, tunnel_id: int, setup: SetupStub) -> None:
        if self.out.get(tunnel_id) is setup and not setup.over:
            self.ends(tunnel_id, Outcome.TIMEOUT)

    # -- what happens ------------------------------------------------------------------------------

    def comes(self, profile: str) -> None:
        client = Client()
        self.clients.append(client)
        line = f"OPEN i{len(self.clients)} k{len(self.clients) % 3} c={profile},d=900,g=g"
        client.tunnel_id = self.tunnels.request_arrived(client, parse_open_request(line.encode()))

    def _setup(self, pick: int, is_open: bool) -> int | None:
        tunnel_ids = [
            tunnel_id
            for tunnel_id, setup in self.out.items()
            if not setup.over and bool(self.tunnels.table.get(tunnel_id).is_open) == is_open
        ]
        return tunnel_ids[pick % len(tunnel_ids)] if tunnel_ids else None

    def comes_up(self, pick: int) -> None:
        tunnel_id = self._setup(pick, is_open=False)
        if tunnel_id is not None:
            self.out[tunnel_id].written = True
            self.tunnels.setup_opened(tunnel_id, b"UP r", self.now() - self.out[tunnel_id].began)
            self.tunnels.lines_from_client(tunnel_id, [b"m"])
            self.tunnels.backend_lines_received(tunnel_id, [b"LOAD 0.5", b"LOAD none", b"e"])

    def fails(self, pick: int, outcome: Outcome) -> None:
        tunnel_id = self._setup(pick, is_open=False)
        if tunnel_id is not None:
            self.ends(tunnel_id, outcome)

    def ends(self, tunnel_id: int, outcome: Outcome) -> None:
        setup = self.out.pop(tunnel_id)
        setup.over = True
        self.tunnels.setup_over(tunnel_id, setup.backend_id, outcome, self.now() - setup.began, None, True)

    def box_ends(self, pick: int, outcome: Outcome) -> None:
        tunnel_id = self._setup(pick, is_open=True)
        if tunnel_id is not None:
            self.ends(tunnel_id, outcome)

    def leaves(self, pick: int) -> None:
        held = [client for client in self.clients if client.tunnel_id >= 0 and client.said in ([], ["UP"])]
        if held:
            client = held[pick % len(held)]
            self.tunnels.client_closed(client.tunnel_id, abrupt=bool(pick % 2))
            client.said.append("LEFT")

    def lists(self, pick: int, standing: BackendState) -> None:
        backend_id = pick % BOXES
        self.listing[backend_id] = self.listing[backend_id]._replace(state=standing)
        self.registry.publish(ListForm.CHANGES, [self.listing[backend_id]])

    def reports(self, pick: int, asked: float) -> None:
        self.policy_host.call(
            self.policy_host.balancer.probe_ended, pick % BOXES, asked < 5, LoadReport(offered_load=asked)
        )


class Broken(Balancer):
    """Fails on every third thing that it is told."""

    told = 0

    def _place(self, now: int, connection_id: int, connection: Any) -> None:
        self.told += 1
        if self.told % 3 == 0:
            raise RuntimeError("on purpose")
        super()._place(now, connection_id, connection)


def check_answers(client: Client) -> None:
    assert client.said in (
        [],
        ["UP"],
        ["BUSY"],
        ["ERR"],
        ["LEFT"],
        ["UP", "MOVE"],
        ["UP", "END"],
        ["UP", "RESET"],
        ["UP", "LEFT"],
    ), client.said


pick = st.integers(0, 20)
steps = st.one_of(
    st.tuples(st.just("comes"), st.sampled_from("abc")),
    st.tuples(st.just("comes"), st.sampled_from("abc")),
    st.tuples(st.just("comes_up"), pick),
    st.tuples(st.just("fails"), pick, st.sampled_from(FAILED)),
    st.tuples(st.just("box_ends"), pick, st.sampled_from([Outcome.DONE, Outcome.RESET, Outcome.CANCELLED])),
    st.tuples(st.just("leaves"), pick),
    st.tuples(st.just("lists"), pick, st.sampled_from(list(BackendState))),
    st.tuples(st.just("reports"), pick, st.sampled_from([0.1, 0.9, 1.5, 9.0])),
    st.tuples(st.just("waits"), st.sampled_from([1, 40, 300, 2500])),
    st.tuples(st.just("silent"), pick),
    st.tuples(st.just("fill"), st.booleans()),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(steps, max_size=60), st.booleans())
def test_no_order_of_faults_leaves_a_tunnel_without_its_one_answer(
    sequence: list[tuple], broken: bool
) -> None:
    scene = Scene(broken)
    for name, *arguments in sequence:
        if name == "waits":
            for _ in range(max(1, arguments[0] // 40)):
                scene.reactor.advance(min(40, arguments[0]) / 1000)
        elif name == "fill":
            scene.full = arguments[0]
        elif name == "silent":
            tunnel_id = scene._setup(arguments[0], is_open=True)
            if tunnel_id is not None:
                scene.tunnels.silent(tunnel_id)
        else:
            getattr(scene, name)(*arguments)
        for client in scene.clients:
            check_answers(client)
    # Past the last client timeout nobody may be waiting, whatever the boxes did.
    for _ in range(40):
        scene.reactor.advance(0.025)
    for client in scene.clients:
        check_answers(client)
        assert client.said, "a client without an answer"
    scene.tunnels.close_all()
    scene.reactor.advance(0.01)
    assert scene.tunnels.table.used == 0, "every slot is back"
    assert not scene.tunnels.ids
    assert not scene.invariants.counts
    if not broken:
        state = scene.policy_host.balancer.state
        assert not (state.connections or state.awaiting_probe or state.in_flight), (
            "nothing is counted that is not there"
        )
        assert not any(
            member.open or member.pending or member.connections for member in state.backends.values()
        )


def test_a_setup_that_found_no_slot_is_not_counted_once_its_client_has_left() -> None:
    """Both in one turn of the reactor: the module counted it for as long as the relay ran."""
    scene = Scene()
    for backend_id in range(BOXES):
        scene.reports(backend_id, 0.1)
    scene.full = True
    scene.comes("a")
    scene.leaves(0)
    state = scene.policy_host.balancer.state
    assert state.in_flight == 1
    scene.reactor.advance(0)
    assert (
        not state.in_flight
        and not state.connections
        and not any(member.open or member.pending for member in state.backends.values())
    )


def test_a_module_that_fails_as_all_are_ended_leaves_nobody_without_an_answer() -> None:
    """Who waited was answered by the first failure, and the sweep broke off at the next of them."""
    scene = Scene()
    for backend_id in range(BOXES):
        scene.reports(backend_id, 0.1)
    scene.reactor.advance(4)  # so they wait for a look
    for _ in range(3):
        scene.comes("a")

    def fails(*_: Any) -> None:
        raise RuntimeError("on purpose")

    scene.policy_host.balancer.client_gone = fails
    scene.tunnels.close_all()
    scene.reactor.advance(0.01)
    assert [client.said for client in scene.clients] == [["ERR"]] * 3
