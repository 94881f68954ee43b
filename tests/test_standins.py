"""The model of an emulated box, comparisons of runs, and output and exit codes of the command line."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import approx, mark, raises

from cedarledge.rig.compare import COMPARED_METRICS, bootstrap_interval, compare
from cedarledge.rig.report import write_report
from cedarledge.rig.scenario import Scenario
from cedarledge.rig.schedule import build_plan
from cedarledge.standins.box_model import MAX_BACKLOG, BoxModel
from cedarledge.standins.event_log import BoxLoad, ServedSecond
from cedarledge.standins.judge import RULES, Judge
from cedarledge.standins.plan import BoxPlan
from cedarledge.terms import MS, SECOND

TERMS = build_plan(Scenario("Test"), 1).box_settings
BOX = BoxPlan("s-1", 0, "zone-1", "full", 2.0, 1.0, 3, True)


def box(cold: bool = False) -> BoxModel:
    return BoxModel(BOX, TERMS, 0, cold)


def test_a_box_slows_down_under_load_and_recovers_after_it() -> None:
    model = box()
    idle = model.message_time(0)
    model.connection_opened(1.6)
    assert model.message_time(SECOND) > 3 * idle
    model.connection_opened(1.0)
    times = [model.message_time(second * SECOND) for second in range(2, 6)]
    assert times == sorted(times), "load beyond the capacity adds to the backlog"
    model.connection_closed(1.0)
    model.connection_closed(1.6)
    assert model.message_time(30 * SECOND) == idle


def test_a_full_a_draining_and_an_overloaded_box_reject_new_connections() -> None:
    model = box()
    for _ in range(BOX.cap):
        assert model.accepts(0)
        model.connection_opened(0.1)
    assert not model.accepts(0)
    model = box()
    model.draining = True
    assert not model.accepts(0)
    model = box()
    model.connection_opened(8.0)
    model.advance(0)
    assert model.accepts(0)
    assert not model.accepts(SECOND)


def test_a_cold_box_warms_up_and_fails_only_under_long_overload() -> None:
    model = box(cold=True)
    assert model.capacity(0) == approx(TERMS.cold_from * 2)
    assert model.capacity(TERMS.warmup_duration // 2) == approx((1 + TERMS.cold_from) / 2 * 2)
    assert model.capacity(TERMS.warmup_duration) == 2
    load = 1.05 * TERMS.overload_multiple * model.capacity(2 * SECOND)
    model.connection_opened(load)
    assert not model.fails_from_overload(0)
    assert not model.fails_from_overload(TERMS.overload_duration - MS)
    assert model.fails_from_overload(TERMS.overload_duration)
    warm = box()
    warm.connection_opened(load)
    assert not any(warm.fails_from_overload(second * SECOND) for second in range(9)), (
        "a warm box does not fail"
    )
    interrupted = box(cold=True)
    interrupted.connection_opened(load)
    interrupted.fails_from_overload(0)
    interrupted.connection_closed(load)
    interrupted.fails_from_overload(SECOND)
    interrupted.connection_opened(load)
    assert not interrupted.fails_from_overload(TERMS.overload_duration + MS), (
        "an interrupted overload is timed anew"
    )


def test_load_reports_are_updated_at_intervals_and_delayed() -> None:
    model = box()
    assert model.report(0).load_ratio == 0
    model.connection_opened(1.0)
    assert model.report(TERMS.report_interval - MS).load_ratio == 0, "not updated yet"
    assert model.report(TERMS.report_interval).load_ratio == 0, "updated, and not sent yet"
    assert model.report(TERMS.report_interval + TERMS.report_delay).load_ratio == 0.5
    model.frozen = True
    model.connection_opened(1.0)
    assert model.report(60 * SECOND).load_ratio == 0.5


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 900), st.sampled_from("osem"), st.floats(0.01, 2)), max_size=40))
def test_figures_of_a_box_stay_within_bounds(
    steps: list[tuple[int, str, float]],
) -> None:
    model, now, loads = box(cold=True), 0, []
    for wait, what, size in steps:
        now += wait * MS
        if what == "o":
            model.connection_opened(size)
            loads.append(size)
        elif what == "e" and loads:
            model.connection_closed(loads.pop())
        elif what == "s":
            assert model.begin_setup(now, accepted=size > 1) >= TERMS.round_trip
        assert 0 < model.message_time(now) <= MAX_BACKLOG + 1000 * MS
        assert 0 <= model.backlog <= MAX_BACKLOG
        assert model.report(now).connections >= 0
    assert model.connections == len(loads)
    assert model.load == approx(sum(loads), abs=1e-9)


def figures(credit: float) -> dict:
    return {
        "credit_served": credit,
        "well_served_all": credit,
        "well_served": {"a": credit, "b": 1.0},
        "setups_per_tunnel": 2 - credit,
        "placement_ms": {"p50": 20, "p99": 90},
        "relay_cpu_s": 3.0,
    } | dict.fromkeys(RULES, 0)


def test_a_comparison_needs_an_interval_without_zero() -> None:
    better = {
        line.figure: line
        for line in compare(
            [figures(0.5 + 0.01 * n) for n in range(8)], [figures(0.6 + 0.011 * n) for n in range(8)]
        )
    }
    assert better["credit served"].verdict == better["setups per tunnel"].verdict == "better"
    assert better["credit served"].low > 0
    assert better["relay cpu s"].verdict == "no difference seen"
    assert set(better) == {name for name, _, _ in COMPARED_METRICS}
    mixed = compare([figures(0.5), figures(0.6), figures(0.7)], [figures(0.6), figures(0.5), figures(0.7)])
    assert {line.verdict for line in mixed} == {"no difference seen"}
    assert compare([figures(0.5)], [figures(0.9)])[0].verdict == "no difference seen", (
        "one pair is not enough"
    )
    with raises(ValueError, match="make no pairs"):
        compare([figures(0.5)], [])
    low, high = bootstrap_interval([0.1, 0.2, 0.15, 0.12, 0.18])
    assert 0.1 < low < 0.15 < high < 0.2


def test_a_report_has_its_plots_and_the_rules_that_were_violated(tmp_path: Path) -> None:
    plan = build_plan(Scenario("Test", name="test"), 4)
    records = [ServedSecond(second, 0, 5.0, 4.0) for second in range(20)]
    records += [BoxLoad(second, 0, 0.5, 3) for second in range(20)]
    path = write_report(tmp_path / "new", "A <title>", "about", plan, Judge(plan, records).verdict())
    text = path.read_text()
    assert path.name == "test-4.html"
    assert text.count("data:image/png;base64") == 8, "four plots, light and dark"
    assert "A &lt;title&gt;" in text
    assert "All rules kept." in text


def command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "cedarledge", *arguments], capture_output=True, text=True, check=False
    )


@mark.parametrize(
    ("arguments", "code", "expected"),
    [
        (["--version"], 0, "cedarledge"),
        (["--help"], 0, "Exit codes"),
        (["rig", "list"], 0, "lyinglist"),
        (["rig", "run", "none"], 2, "no scenario of that name"),
        (["check", "none.toml"], 2, "none.toml"),
        (["rig", "run", "calm", "--policy", "hash", "--checkout", "."], 2, "takes neither --file nor"),
        (["rig", "compare", "random", "none"], 2, "no scenario, baseline, file or checkout"),
        (["rig", "compare", "random", "hash", "--seeds", "x"], 2, "no span of seeds"),
        (["none"], 2, "No such command"),
        (["relay"], 2, "BALANCER_CONFIG is not set"),
    ],
)
def test_the_command_line_reports_errors_with_the_documented_exit_codes(
    arguments: list[str], code: int, expected: str
) -> None:
    done = command(*arguments)
    assert done.returncode == code, done.stderr
    assert expected in done.stdout + done.stderr
    assert "Traceback" not in done.stderr


def test_the_relay_without_arguments_does_not_import_the_commands() -> None:
    seen = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, cedarledge.__main__, cedarledge.net.relay; print([name for name in sys.modules if "
            "name in ('click', 'msgspec', 'numpy', 'matplotlib', 'cedarledge.cli') or "
            "'standins' in name or 'rig' in name])",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    assert seen.stdout.strip() == "[]"
