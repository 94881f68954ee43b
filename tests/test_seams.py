"""Extension points of a relay: observers, logs, the operator file, and external facts for the balancer."""

from __future__ import annotations

import json
import os
import signal
import time
from pathlib import Path

import msgspec
from helpers import MS, SECOND, Backend, RelayProgram, host_with_backends, wait_until
from loguru import logger
from pytest import fixture, mark, raises
from twisted.internet.task import Clock

from cedarledge.net.interfaces import Observer
from cedarledge.net.logs import NonBlockingSink, as_json
from cedarledge.net.observers import MAX_FAULTS, Observers
from cedarledge.net.timers import Timers
from cedarledge.operator.file import OperatorFile, read_operator_file
from cedarledge.operator.tables import BadFileError, read_tables
from cedarledge.rig.scenario import Scenario, load_scenario, shipped_scenarios
from cedarledge.rig.schedule import build_plan
from cedarledge.terms import ExternalView


class SlowObserver(Observer):
    """Counts moves; each takes `cost` ns of the stopwatch, and fails if told to."""

    def __init__(self, cost: int = 0, fails: bool = False) -> None:
        self.events = 0
        self.cost = cost
        self.fails = fails

    def moved(self, now: int, tunnel_id: int, backend_id: int) -> None:
        self.events += 1
        SlowObserver.elapsed += self.cost
        if self.fails:
            raise ValueError("on purpose")

    elapsed = 0


def observers_of(*given: SlowObserver) -> tuple[Observers, Clock]:
    clock = Clock()

    def now() -> int:
        return round(clock.seconds() * SECOND)

    observers = Observers(now, Timers(clock, now), 0.05, 30 * SECOND, stopwatch=lambda: SlowObserver.elapsed)
    for observer in given:
        observers.add(observer)
    return observers, clock


@mark.parametrize("bad", [SlowObserver(fails=True), SlowObserver(cost=20 * MS)])
def test_an_observer_that_fails_or_is_slow_is_excluded_for_a_while_and_affects_no_other(
    bad: SlowObserver,
) -> None:
    good = SlowObserver()
    observers, clock = observers_of(bad, good)
    for _ in range(20):
        observers.notify("moved", 1, 2)
    assert good.events == 20
    assert bad.events <= MAX_FAULTS
    clock.advance(31)
    observers.notify("moved", 1, 2)
    assert bad.events <= MAX_FAULTS + 1
    assert good.events == 21


def test_an_observer_within_its_time_limit_is_never_excluded() -> None:
    observer = SlowObserver(cost=20 * MS)
    observers, clock = observers_of(observer)
    for _ in range(50):
        clock.advance(0.5)
        observers.notify("moved", 1, 2)
    assert observer.events == 50
    observers.notify("opened", 1, 2, 3)
    assert observer.events == 50, "it must not be notified of events that it does not override"


@fixture
def pipe() -> tuple[int, int]:
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def test_a_log_reader_that_stops_costs_lines_but_does_not_block(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    sink = NonBlockingSink(writer, max_bytes=8 << 10)
    line = "x" * 99 + "\n"
    began = time.monotonic()
    for _ in range(3000):
        sink(line)
    assert time.monotonic() - began < 1, "a write to a full pipe would block"
    assert sink.dropped > 1000
    got = b""
    while b"dropped" not in got:
        got += os.read(reader, 1 << 16)
        sink.flush()
    kept, notice = got.decode().split("\n")[:-2], got.decode().split("\n")[-2]
    assert len(kept) + sink.dropped == 3000, "every line must be written or counted"
    assert set(kept) == {"x" * 99}
    assert notice.startswith(f"{sink.dropped} log lines were dropped")


def test_json_lines_have_the_event_and_its_fields() -> None:
    lines: list[str] = []
    number = logger.add(lines.append, format=as_json)
    logger.bind(event="tunnel.opened", tunnel=7, took=5).info("{} <and> tags", "{braces}")
    logger.remove(number)
    record = json.loads(lines[0])
    assert (record["event"], record["tunnel"], record["took"]) == ("tunnel.opened", 7, 5)
    assert record["level"] == "INFO"


def test_a_fault_keeps_its_traceback_in_json() -> None:
    lines: list[str] = []
    number = logger.add(lines.append, format=as_json)
    try:
        raise ValueError("on purpose")
    except ValueError:
        logger.exception("failed")
    logger.remove(number)
    assert "test_a_fault_keeps" in json.loads(lines[0])["exception"]


def test_every_problem_of_a_file_is_reported_with_its_path(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(
        '[log]\nlevel = "loud"\nwaiting_kb = 1\nformm = "text"\n[boxes]\naside = ["a", 5]\n[level]\n'
    )
    with raises(BadFileError) as caught:
        read_operator_file(path)
    assert [problem.split(":")[0] for problem in caught.value.problems] == [
        "level",
        "log.formm",
        "log.level",
        "log.waiting_kb",
        "boxes.aside[1]",
    ]
    assert "did you mean 'form'?" in caught.value.problems[1]
    path.write_text("[log\n")
    with raises(BadFileError, match="not TOML"):
        read_operator_file(path)
    with raises(BadFileError, match="No such file"):
        read_operator_file(tmp_path / "none.toml")
    with raises(BadFileError, match=r"log: events: .* level = 'warning' hides"):
        read_tables({"log": {"level": "warning", "events": ["moved"]}}, OperatorFile)
    with raises(BadFileError, match=r"boxes: aside: 'a' is there twice"):
        read_tables({"boxes": {"aside": ["a", "a"]}}, OperatorFile)


def test_the_example_file_is_complete_and_has_the_defaults() -> None:
    path = Path(__file__).parents[1] / "deploy" / "operator.toml"
    assert read_operator_file(path) == OperatorFile()
    text = path.read_text()
    for table in msgspec.structs.fields(OperatorFile):
        assert f"[{table.name}]" in text
        for field in msgspec.structs.fields(table.type):
            assert f"\n{field.name} = " in text


def test_shipped_scenarios_are_valid_and_their_plans_depend_on_the_seed_alone() -> None:
    assert len(shipped_scenarios()) >= 20
    for name in shipped_scenarios():
        scenario = load_scenario(name)
        assert build_plan(scenario, 5) == build_plan(scenario, 5)
        assert all(act.at >= 0 for act in build_plan(scenario, 5).events)
        assert build_plan(scenario, 5) != build_plan(scenario, 6)
    with raises(BadFileError, match="rig list"):
        load_scenario("none")
    with raises(BadFileError, match=r"fault\[0\].kind"):
        read_tables({"title": "x", "fault": [{"kind": "bad", "start": 1}]}, Scenario)
    with raises(BadFileError, match=r"fault\[0\].start: 99 s is past the end"):
        read_tables({"title": "x", "fault": [{"kind": "hang", "start": 99.0}]}, Scenario)


def test_excluded_backends_get_no_new_connections_unless_all_are_excluded() -> None:
    host = host_with_backends(4, cells=1)
    host.balancer.external_view_changed(host.now, ExternalView(excluded=frozenset({0, 1, 2})))
    for number in range(6):
        host.arrive(key=f"k{number}")
    assert {backend_id for _, _, backend_id in host.attempts} == {3}
    host.balancer.external_view_changed(host.now, ExternalView(excluded=frozenset(range(4))))
    for number in range(30):
        host.arrive(key=f"n{number}")
    assert len({backend_id for _, _, backend_id in host.attempts}) > 1


def test_the_operator_file_is_applied_and_read_again_and_an_invalid_one_changes_nothing(
    tmp_path: Path,
) -> None:
    backends = [Backend("s-a"), Backend("s-b")]
    path = tmp_path / "operator.toml"
    path.write_text('[log]\nform = "json"\nevents = ["opened", "answered"]\n[boxes]\naside = ["s-a"]\n')
    with RelayProgram(tmp_path, backends, arguments=["relay", "--file", str(path)]) as program:
        clients = [program.client() for _ in range(4)]
        assert [client.open(f"k{number}") for number, client in enumerate(clients)] == ["UP r"] * 4
        assert (len(backends[0].open_lines), len(backends[1].open_lines)) == (0, 4)

        def records() -> list[dict]:
            return [json.loads(line) for line in program.log.read_text().splitlines() if line.startswith("{")]

        wait_until(lambda: sum(entry.get("event") == "tunnel.opened" for entry in records()) == 4)
        path.write_text("[boxes]\naside = 5\n")
        program.process.send_signal(signal.SIGHUP)
        wait_until(lambda: "boxes.aside" in program.log.read_text())
        assert program.client().open("k9") == "UP r"
        assert not backends[0].open_lines, "the old file stays in effect"
        path.write_text('[boxes]\naside = ["s-b"]\n')
        program.process.send_signal(signal.SIGHUP)
        wait_until(lambda: "configuration read again" in program.log.read_text())
        assert program.client().open("k9") == "UP r"
        assert len(backends[0].open_lines) == 1
