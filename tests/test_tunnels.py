"""Tunnels between a front and boxes that do as they like, in any order: one answer each, all slots back."""

from __future__ import annotations

from typing import Any

from helpers import MS, SECOND, facts, listed
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from cedarledge.net.boxlist import BoxList
from cedarledge.net.buffers import Pool
from cedarledge.net.clients import read_opening
from cedarledge.net.echoes import Delays, Echoes
from cedarledge.net.invariants import Invariants
from cedarledge.net.links import ConnectionContext
from cedarledge.net.module import Module
from cedarledge.net.observers import Observers
from cedarledge.net.rate_limited_log import RateLimitedLog
from cedarledge.net.seams import Hearer
from cedarledge.net.slots import FullError, Slots
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
    """A seams.ClientEnd that notes what it is told."""

    def __init__(self) -> None:
        self.transport = Transport()
        self.said: list[str] = []
        self.tun = -1

    def peer_has_left(self) -> bool:
        return "LEFT" in self.said

    def opened(self, line: bytes) -> None:
        self.said.append("UP")

    def decline(self, come_back: int) -> None:
        self.said.append("BUSY")

    def fail(self) -> None:
        self.said.append("ERR")

    def move(self) -> None:
        self.said.append("MOVE")

    def finish(self) -> None:
        self.said.append("END")

    def abort(self) -> None:
        self.said.append("RESET")

    def send_lines(self, lines: list[bytes]) -> None:
        assert self.said == ["UP"], "lines on a tunnel that is not open"

    def bad_input(self, why: str) -> None:
        self.said.append("ERR")


class SetupStub:
    def __init__(self, ep: int, began: int) -> None:
        self.ep = ep
        self.began = began
        self.written = False
        self.over = False
        self.transport = Transport()

    def call_off(self, abrupt: bool = False) -> None:
        self.over = True

    def send_lines(self, lines: list[bytes]) -> None:
        assert not self.over


class Ear(Hearer):
    """Counts, and fails."""

    def __init__(self) -> None:
        self.came = self.went = 0

    def arrived(self, now: int, tun: int, profile: int, returning: bool) -> None:
        self.came += 1

    def ended(self, now: int, tun: int, took: int) -> None:
        self.went += 1
        raise RuntimeError("a hearer that fails each time")


class Scene:
    """Everything of a relay between its front and its boxes, on a clock of its own."""

    def __init__(self, broken: bool = False) -> None:
        self.reactor = Clock()
        timers = Timers(self.reactor, self.now)
        context = ConnectionContext(
            self.reactor, self.now, timers, Pool(4097, 50), Slots(50), RateLimitedLog(timers), Invariants()
        )
        self.invariants = context.invariants
        observers = Observers(self.now, timers)
        observers.add(Ear())
        self.module = Module(self.now, timers)
        self.boxes = BoxList(self.module, observers, {})
        profiles = {"a": 0, "b": 1, "c": 2}
        self.tunnels = Tunnels(
            context,
            self.module,
            self.boxes,
            observers,
            MOST,
            profiles,
            {},
            [SECOND] * 3,
            150 * MS,
            facts().profiles,
        )
        self.tunnels.join(
            self, Echoes(self.now, timers, Delays(self.now, 0, lambda *_: None), self.tunnels.silent)
        )
        self.module.join(self.tunnels, self, self.boxes, self)
        self.timers = timers
        self.out: dict[int, SetupStub] = {}
        self.clients: list[Client] = []
        self.full = False
        self.module.start(facts(now=self.now()), Broken if broken else Balancer)
        entries = [listed(ep, cells=2) for ep in range(BOXES)]
        for entry in entries:
            self.boxes.addresses[self.boxes.eps[f"s-{entry.ep}"]] = ("127.0.0.1", 1)
        self.listing = {entry.ep: entry for entry in entries}
        self.boxes.changed(ListForm.RESTORED, entries)

    def now(self) -> int:
        return round(self.reactor.seconds() * SECOND) + 1000 * SECOND

    # -- what the module's host and the tunnels ask of others --------------------------------------

    def set_up(self, tun: int, ep: int, address: Any, head: Any, timeout: int, within: int) -> SetupStub:
        assert tun not in self.out, "two setups of one tunnel at once"
        if self.full:
            raise FullError
        self.out[tun] = SetupStub(ep, self.now())
        self.timers.after(timeout, self._too_late, tun, self.out[tun])
        return self.out[tun]

    def probe(self, ep: int, address: Any) -> None:
        """Never answered: looks run out."""

    def start(self) -> None:
        """Discovery."""

    def _too_late(self, tun: int, setup: SetupStub) -> None:
        if self.out.get(tun) is setup and not setup.over:
            self.ends(tun, Outcome.TIMEOUT)

    # -- what happens ------------------------------------------------------------------------------

    def comes(self, profile: str) -> None:
        client = Client()
        self.clients.append(client)
        line = f"OPEN i{len(self.clients)} k{len(self.clients) % 3} c={profile},d=900,g=g"
        client.tun = self.tunnels.arrived(client, read_opening(line.encode()))

    def _setup(self, pick: int, is_open: bool) -> int | None:
        tuns = [
            tun
            for tun, setup in self.out.items()
            if not setup.over and bool(self.tunnels.table.get(tun).up) == is_open
        ]
        return tuns[pick % len(tuns)] if tuns else None

    def comes_up(self, pick: int) -> None:
        tun = self._setup(pick, is_open=False)
        if tun is not None:
            self.out[tun].written = True
            self.tunnels.setup_up(tun, b"UP r", self.now() - self.out[tun].began)
            self.tunnels.lines_on(tun, [b"m"])
            self.tunnels.lines_back(tun, [b"LOAD 0.5", b"LOAD none", b"e"])

    def fails(self, pick: int, outcome: Outcome) -> None:
        tun = self._setup(pick, is_open=False)
        if tun is not None:
            self.ends(tun, outcome)

    def ends(self, tun: int, outcome: Outcome) -> None:
        setup = self.out.pop(tun)
        setup.over = True
        self.tunnels.setup_over(tun, setup.ep, outcome, self.now() - setup.began, None, True)

    def box_ends(self, pick: int, outcome: Outcome) -> None:
        tun = self._setup(pick, is_open=True)
        if tun is not None:
            self.ends(tun, outcome)

    def leaves(self, pick: int) -> None:
        held = [client for client in self.clients if client.tun >= 0 and client.said in ([], ["UP"])]
        if held:
            client = held[pick % len(held)]
            self.tunnels.client_ended(client.tun, abrupt=bool(pick % 2))
            client.said.append("LEFT")

    def lists(self, pick: int, standing: BackendState) -> None:
        ep = pick % BOXES
        self.listing[ep] = self.listing[ep]._replace(standing=standing)
        self.boxes.changed(ListForm.CHANGES, [self.listing[ep]])

    def reports(self, pick: int, asked: float) -> None:
        self.module.tell(self.module.balancer.probed, pick % BOXES, asked < 5, LoadReport(asked=asked))


class Broken(Balancer):
    """Fails on every third thing that it is told."""

    told = 0

    def _place(self, now: int, tun_id: int, tun: Any) -> None:
        self.told += 1
        if self.told % 3 == 0:
            raise RuntimeError("on purpose")
        super()._place(now, tun_id, tun)


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
            tun = scene._setup(arguments[0], is_open=True)
            if tun is not None:
                scene.tunnels.silent(tun)
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
    scene.tunnels.end_all()
    scene.reactor.advance(0.01)
    assert scene.tunnels.table.used == 0, "every slot is back"
    assert not scene.tunnels.ids
    assert not scene.invariants.counts
    if not broken:
        state = scene.module.balancer.state
        assert not (state.connections or state.waiting or state.in_flight), (
            "nothing is counted that is not there"
        )
        assert not any(
            member.open or member.pending or member.connections for member in state.backends.values()
        )


def test_a_setup_that_found_no_slot_is_not_counted_once_its_client_has_left() -> None:
    """Both in one turn of the reactor: the module counted it for as long as the relay ran."""
    scene = Scene()
    for ep in range(BOXES):
        scene.reports(ep, 0.1)
    scene.full = True
    scene.comes("a")
    scene.leaves(0)
    state = scene.module.balancer.state
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
    for ep in range(BOXES):
        scene.reports(ep, 0.1)
    scene.reactor.advance(4)  # so they wait for a look
    for _ in range(3):
        scene.comes("a")

    def fails(*_: Any) -> None:
        raise RuntimeError("on purpose")

    scene.module.balancer.client_gone = fails
    scene.tunnels.end_all()
    scene.reactor.advance(0.01)
    assert [client.said for client in scene.clients] == [["ERR"]] * 3
