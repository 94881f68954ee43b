"""The proxies of a run: faults of links, in each direction by itself; and operator files of scenarios."""

from __future__ import annotations

import subprocess
import sys
from itertools import pairwise
from pathlib import Path
from random import Random
from types import SimpleNamespace

from loguru import logger
from pytest import raises
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from cedarledge.net.timers import Timers
from cedarledge.operator.tables import BadFileError, read_tables
from cedarledge.peers.shell import MAX_LOG_LINES, Shell
from cedarledge.rig.scenario import Scenario, Zones, load_scenario, without_operator
from cedarledge.rig.schedule import build_plan
from cedarledge.standins.plan import ScheduledEvent, peer_address, peer_proxy_address
from cedarledge.standins.process_context import ProcessContext
from cedarledge.standins.tcp_proxy import Endpoint, Flow, Link
from cedarledge.standins.udp_proxy import UdpProxy
from cedarledge.terms import MS, SECOND


def virtual_timers() -> tuple[Clock, Timers]:
    clock = Clock()
    return clock, Timers(clock, lambda: round(clock.seconds() * SECOND))


class Pipe:
    """One direction of a proxied connection, with test transports at both ends."""

    def __init__(self, **settings: object) -> None:
        self.clock, timers = virtual_timers()
        proxy = SimpleNamespace(
            now=timers.now, timers=timers, endpoint_closed=lambda _endpoint: None, random=Random(1)
        )
        self.link = Link(**settings)
        self.source, self.sink = Endpoint(), Endpoint()
        self.source.transport, self.sink.transport = StringTransport(), StringTransport()
        self.flow = self.source.flow = Flow(proxy, self.link, self.source, self.sink)
        self.ended: list[str] = []
        self.sink.end = self.ended.append

    def received(self, after: float = 0) -> bytes:
        self.clock.pump([0.01] * round(after * 100))
        return self.sink.transport.value()

    def change(self, **settings: object) -> None:
        for name, value in settings.items():
            setattr(self.link, name, value)
        self.flow.link_changed()


def test_a_cut_link_holds_everything_back_and_delivers_it_in_order_once_restored() -> None:
    pipe = Pipe(cut=True)
    pipe.source.dataReceived(b"one\r\n")
    pipe.source.dataReceived(b"two\r\n")
    pipe.source.readConnectionLost()
    assert pipe.received(5) == b"" and not pipe.ended
    pipe.change(cut=False)
    assert pipe.received() == b"one\r\ntwo\r\n" and pipe.ended == ["half"]


def test_delay_rate_limit_and_stall_of_a_link() -> None:
    pipe = Pipe(delay=300 * MS)
    pipe.source.dataReceived(b"late\r\n")
    assert pipe.received(0.29) == b"" and pipe.received(0.02) == b"late\r\n"
    pipe = Pipe(rate=1000)
    pipe.source.dataReceived(b"x" * 500)
    assert 200 <= len(pipe.received(0.25)) <= 300 and len(pipe.received(0.3)) == 500
    pipe = Pipe(stall=True)
    pipe.source.dataReceived(b"STATS 1 2 3\r\n")
    assert pipe.received(9) == b"STATS"
    pipe.change(stall=False)
    assert pipe.received() == b"STATS 1 2 3\r\n"


def test_a_lost_write_is_retransmitted_and_delays_what_follows() -> None:
    pipe = Pipe(loss=0.3, jitter=50 * MS)
    for number in range(20):
        pipe.source.dataReceived(b"%d " % number)
    early = pipe.received(0.1)
    assert 0 < len(early.split()) < 20
    assert pipe.received(0.3) == b"".join(b"%d " % number for number in range(20))


def test_an_unread_link_stops_reading_from_the_sender() -> None:
    pipe = Pipe()
    pipe.change(unread=True)
    assert pipe.source.transport.producerState == "paused"
    pipe.change(unread=False)
    assert pipe.source.transport.producerState == "producing"


class UdpNetwork:
    """The UDP proxy between three relays, and the datagrams that it forwarded."""

    def __init__(self, **zones: object) -> None:
        scenario = Scenario("Test", relays=3, zones=Zones(**zones))
        self.clock, timers = virtual_timers()
        self.proxy = UdpProxy(
            ProcessContext(None, timers, timers.now, build_plan(scenario, 1), 7, None), 0, 1
        )
        self.received: list[tuple[int, bytes]] = []
        for socket in self.proxy.sockets:
            socket.transport = SimpleNamespace(
                write=lambda data, address, socket=socket: self.received.append((socket.relay, data))
            )

    def send(self, one: int, other: int, count: int = 1) -> int:
        """Sends datagrams from one relay to another and returns how many arrive."""
        self.received.clear()
        for number in range(count):
            self.proxy.sockets[other].datagramReceived(b"%d" % number, (peer_address(one), 7))
        self.clock.advance(2)
        return len(self.received)

    def apply(self, action: str, size: float, one: int = 0, other: int = 1) -> None:
        self.proxy._apply(ScheduledEvent(0, "lane", action, one, size, other))


def test_faults_apply_to_one_direction_between_relays() -> None:
    network = UdpNetwork()
    network.apply("cut", 1.0)
    assert [network.send(*link) for link in ((0, 1), (1, 0), (0, 2))] == [0, 1, 1]
    network.apply("cut", 0.0)
    network.apply("loss", 0.3)
    assert 70 < 400 - network.send(0, 1, 400) < 170 and network.send(1, 0, 400) == 400
    network.apply("loss", 0.0)
    network.apply("twice", 0.5)
    assert 550 < network.send(0, 1, 400) < 650
    network.apply("twice", 0.0)
    network.apply("delay", 0.2)
    assert network.send(0, 1, 100) == 100
    order = [int(data) for _, data in network.received]
    assert 0 < sum(later < sooner for sooner, later in pairwise(order)) < 20, "a tenth is reordered"
    network.apply("delay", 0.0)
    network.apply("rate", 100.0)
    assert 10 <= network.send(0, 1, 400) <= 40, "datagrams beyond the queue limit are dropped"


def test_zone_delay_applies_and_unknown_senders_are_dropped() -> None:
    network = UdpNetwork(trip_ms=80)
    network.proxy.sockets[1].datagramReceived(b"x", (peer_address(0), 7))
    network.clock.advance(0.03)
    assert not network.received
    network.clock.advance(0.02)
    assert network.received == [(1, b"x")]
    network.proxy.sockets[1].datagramReceived(b"x", ("127.0.0.1", 7))
    network.clock.advance(1)
    assert len(network.received) == 1 and peer_proxy_address(1) != peer_address(1)


def test_a_scenario_contains_an_operator_file_that_can_be_left_out(tmp_path: Path) -> None:
    path = tmp_path / "scenario.toml"
    path.write_text('title = "x"\n[operator.peers]\non = "yes"\n[operator.log]\nlevel = "loud"\n')
    with raises(BadFileError) as caught:
        load_scenario(str(path))
    assert [problem.split(":")[0] for problem in caught.value.problems] == [
        "operator.log.level",
        "operator.peers.on",
    ]
    with raises(BadFileError, match=r"fault\[0\].kind: 'peers_cut' is nothing without operator.peers.on"):
        read_tables({"title": "x", "fault": [{"kind": "peers_cut", "start": 1}]}, Scenario)
    with raises(BadFileError, match=r"zones.regions: 3 of 2 zones"):
        read_tables({"title": "x", "zones": {"regions": 3}}, Scenario)
    scenario = load_scenario("peers")
    on, off = build_plan(scenario, 1), build_plan(without_operator(scenario), 1)
    assert (
        on.peers_enabled
        and not off.peers_enabled
        and not [event for event in off.events if event.target == "lane"]
    )
    assert [event for event in on.events if event.target == "relay"] == [
        event for event in off.events if event.target == "relay"
    ]
    done = subprocess.run(
        [sys.executable, "-m", "cedarledge", "check", "--scenario", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and "operator.peers.on" in done.stderr


def test_log_lines_about_membership_are_limited_and_the_rest_counted() -> None:
    clock, timers = virtual_timers()
    lines: list[str] = []
    number = logger.add(lines.append, format="{message}")
    shell = Shell(None, timers, "127.0.0.1:7", dict)
    for name in range(MAX_LOG_LINES + 60):
        shell.changed(f"n{name}", None, None, "x")
    clock.advance(11)
    logger.remove(number)
    assert len(lines) == MAX_LOG_LINES + 1 and "60 more changes" in lines[-1]
