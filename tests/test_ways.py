"""The ways of a run: what is cut, late, doubled, slow or stalled, in each direction by itself, and nothing
else."""

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
from cedarledge.standins.tcp_proxy import End, Flow, Way
from cedarledge.standins.udp_proxy import Lanes
from cedarledge.terms import MS, SECOND


def virtual_timers() -> tuple[Clock, Timers]:
    clock = Clock()
    return clock, Timers(clock, lambda: round(clock.seconds() * SECOND))


class Pipe:
    """One direction of a connection, with its ends in hand."""

    def __init__(self, **way: object) -> None:
        self.clock, timers = virtual_timers()
        ways = SimpleNamespace(now=timers.now, timers=timers, ended=lambda _end: None, chance=Random(1))
        self.way = Way(**way)
        self.source, self.sink = End(), End()
        self.source.transport, self.sink.transport = StringTransport(), StringTransport()
        self.flow = self.source.flow = Flow(ways, self.way, self.source, self.sink)
        self.ended: list[str] = []
        self.sink.end = self.ended.append

    def got(self, after: float = 0) -> bytes:
        self.clock.pump([0.01] * round(after * 100))
        return self.sink.transport.value()

    def change(self, **way: object) -> None:
        for name, value in way.items():
            setattr(self.way, name, value)
        self.flow.changed()


def test_a_cut_way_holds_back_all_and_passes_it_in_order_once_it_is_whole() -> None:
    pipe = Pipe(cut=True)
    pipe.source.dataReceived(b"one\r\n")
    pipe.source.dataReceived(b"two\r\n")
    pipe.source.readConnectionLost()
    assert pipe.got(5) == b"" and not pipe.ended
    pipe.change(cut=False)
    assert pipe.got() == b"one\r\ntwo\r\n" and pipe.ended == ["half"]


def test_a_late_a_slow_and_a_stalled_way_do_what_they_say() -> None:
    pipe = Pipe(delay=300 * MS)
    pipe.source.dataReceived(b"late\r\n")
    assert pipe.got(0.29) == b"" and pipe.got(0.02) == b"late\r\n"
    pipe = Pipe(rate=1000)
    pipe.source.dataReceived(b"x" * 500)
    assert 200 <= len(pipe.got(0.25)) <= 300 and len(pipe.got(0.3)) == 500
    pipe = Pipe(stall=True)
    pipe.source.dataReceived(b"STATS 1 2 3\r\n")
    assert pipe.got(9) == b"STATS"
    pipe.change(stall=False)
    assert pipe.got() == b"STATS 1 2 3\r\n"


def test_what_is_lost_comes_again_and_holds_up_what_is_behind_it() -> None:
    pipe = Pipe(loss=0.3, jitter=50 * MS)
    for number in range(20):
        pipe.source.dataReceived(b"%d " % number)
    early = pipe.got(0.1)
    assert 0 < len(early.split()) < 20
    assert pipe.got(0.3) == b"".join(b"%d " % number for number in range(20))


def test_what_is_not_read_stays_with_its_sender() -> None:
    pipe = Pipe()
    pipe.change(unread=True)
    assert pipe.source.transport.producerState == "paused"
    pipe.change(unread=False)
    assert pipe.source.transport.producerState == "producing"


class Field:
    """The ways between three relays, and what came out of them."""

    def __init__(self, **zones: object) -> None:
        scenario = Scenario("Test", relays=3, zones=Zones(**zones))
        self.clock, timers = virtual_timers()
        self.lanes = Lanes(ProcessContext(None, timers, timers.now, build_plan(scenario, 1), 7, None), 0, 1)
        self.came: list[tuple[int, bytes]] = []
        for door in self.lanes.doors:
            door.transport = SimpleNamespace(
                write=lambda data, address, door=door: self.came.append((door.relay, data))
            )

    def say(self, one: int, other: int, count: int = 1) -> int:
        """How many of so many came."""
        self.came.clear()
        for number in range(count):
            self.lanes.doors[other].datagramReceived(b"%d" % number, (peer_address(one), 7))
        self.clock.advance(2)
        return len(self.came)

    def play(self, what: str, size: float, one: int = 0, other: int = 1) -> None:
        self.lanes._played(ScheduledEvent(0, "lane", what, one, size, other))


def test_each_direction_between_relays_is_broken_by_itself() -> None:
    field = Field()
    field.play("cut", 1.0)
    assert [field.say(*way) for way in ((0, 1), (1, 0), (0, 2))] == [0, 1, 1]
    field.play("cut", 0.0)
    field.play("loss", 0.3)
    assert 70 < 400 - field.say(0, 1, 400) < 170 and field.say(1, 0, 400) == 400
    field.play("loss", 0.0)
    field.play("twice", 0.5)
    assert 550 < field.say(0, 1, 400) < 650
    field.play("twice", 0.0)
    field.play("delay", 0.2)
    assert field.say(0, 1, 100) == 100
    order = [int(data) for _, data in field.came]
    assert 0 < sum(later < sooner for sooner, later in pairwise(order)) < 20, "a tenth is overtaken"
    field.play("delay", 0.0)
    field.play("rate", 100.0)
    assert 10 <= field.say(0, 1, 400) <= 40, "past what waits it is dropped"


def test_zones_have_their_distance_and_strangers_no_way() -> None:
    field = Field(trip_ms=80)
    field.lanes.doors[1].datagramReceived(b"x", (peer_address(0), 7))
    field.clock.advance(0.03)
    assert not field.came
    field.clock.advance(0.02)
    assert field.came == [(1, b"x")]
    field.lanes.doors[1].datagramReceived(b"x", ("127.0.0.1", 7))
    field.clock.advance(1)
    assert len(field.came) == 1 and peer_proxy_address(1) != peer_address(1)


def test_a_scenario_carries_its_relays_operator_file_and_can_leave_it_out(tmp_path: Path) -> None:
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
    told = load_scenario("peers")
    on, off = build_plan(told, 1), build_plan(without_operator(told), 1)
    assert (
        on.peers_enabled and not off.peers_enabled and not [act for act in off.events if act.target == "lane"]
    )
    assert [act for act in on.events if act.target == "relay"] == [
        act for act in off.events if act.target == "relay"
    ]
    done = subprocess.run(
        [sys.executable, "-m", "cedarledge", "check", "--scenario", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and "operator.peers.on" in done.stderr


def test_log_lines_about_the_view_are_bounded_and_the_rest_counted() -> None:
    clock, timers = virtual_timers()
    lines: list[str] = []
    number = logger.add(lines.append, format="{message}")
    shell = Shell(None, timers, "127.0.0.1:7", dict)
    for name in range(MAX_LOG_LINES + 60):
        shell.changed(f"n{name}", None, None, "x")
    clock.advance(11)
    logger.remove(number)
    assert len(lines) == MAX_LOG_LINES + 1 and "60 more changes" in lines[-1]
