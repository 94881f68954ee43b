"""What a simulated box can do, what comparisons say, and the command line's words and exit codes."""

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


def test_a_box_slows_down_as_it_fills_and_recovers_when_it_is_left() -> None:
    model = box()
    idle = model.message(0)
    model.opened(1.6)
    assert model.message(SECOND) > 3 * idle
    model.opened(1.0)
    times = [model.message(second * SECOND) for second in range(2, 6)]
    assert times == sorted(times), "what is asked beyond its strength piles up"
    model.ended(1.0)
    model.ended(1.6)
    assert model.message(30 * SECOND) == idle


def test_a_full_a_drained_and_a_buried_box_turn_new_connections_away() -> None:
    model = box()
    for _ in range(BOX.cap):
        assert model.takes(0)
        model.opened(0.1)
    assert not model.takes(0)
    model = box()
    model.draining = True
    assert not model.takes(0)
    model = box()
    model.opened(8.0)
    model.advance(0)
    assert model.takes(0)
    assert not model.takes(SECOND)


def test_a_cold_box_warms_and_falls_only_under_long_pressure() -> None:
    model = box(cold=True)
    assert model.strength(0) == approx(TERMS.cold_from * 2)
    assert model.strength(TERMS.warmup_duration // 2) == approx((1 + TERMS.cold_from) / 2 * 2)
    assert model.strength(TERMS.warmup_duration) == 2
    load = 1.05 * TERMS.overload_multiple * model.strength(2 * SECOND)
    model.opened(load)
    assert not model.is_pushed_over(0)
    assert not model.is_pushed_over(TERMS.overload_duration - MS)
    assert model.is_pushed_over(TERMS.overload_duration)
    warm = box()
    warm.opened(load)
    assert not any(warm.is_pushed_over(second * SECOND) for second in range(9)), "a warm one does not fall"
    eased = box(cold=True)
    eased.opened(load)
    eased.is_pushed_over(0)
    eased.ended(load)
    eased.is_pushed_over(SECOND)
    eased.opened(load)
    assert not eased.is_pushed_over(TERMS.overload_duration + MS), "pressure that lets up begins anew"


def test_reports_are_refreshed_now_and_then_and_come_late() -> None:
    model = box()
    assert model.report(0).asked == 0
    model.opened(1.0)
    assert model.report(TERMS.report_interval - MS).asked == 0, "not made anew yet"
    assert model.report(TERMS.report_interval).asked == 0, "made, and on its way"
    assert model.report(TERMS.report_interval + TERMS.report_delay).asked == 0.5
    model.frozen = True
    model.opened(1.0)
    assert model.report(60 * SECOND).asked == 0.5


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 900), st.sampled_from("osem"), st.floats(0.01, 2)), max_size=40))
def test_whatever_is_done_to_a_box_its_figures_stay_within_bounds(
    steps: list[tuple[int, str, float]],
) -> None:
    model, now, held = box(cold=True), 0, []
    for wait, what, size in steps:
        now += wait * MS
        if what == "o":
            model.opened(size)
            held.append(size)
        elif what == "e" and held:
            model.ended(held.pop())
        elif what == "s":
            assert model.setup(now, taken=size > 1) >= TERMS.round_trip
        assert 0 < model.message(now) <= MAX_BACKLOG + 1000 * MS
        assert 0 <= model.piled <= MAX_BACKLOG
        assert model.report(now).held >= 0
    assert model.held == len(held)
    assert model.load == approx(sum(held), abs=1e-9)


def told(credit: float) -> dict:
    return {
        "credit_served": credit,
        "well_served_all": credit,
        "well_served": {"a": credit, "b": 1.0},
        "setups_per_tunnel": 2 - credit,
        "placement_ms": {"p50": 20, "p99": 90},
        "relay_cpu_s": 3.0,
    } | dict.fromkeys(RULES, 0)


def test_a_verdict_needs_an_interval_that_leaves_out_zero() -> None:
    better = {
        line.figure: line
        for line in compare(
            [told(0.5 + 0.01 * n) for n in range(8)], [told(0.6 + 0.011 * n) for n in range(8)]
        )
    }
    assert better["credit served"].verdict == better["setups per tunnel"].verdict == "better"
    assert better["credit served"].low > 0
    assert better["relay cpu s"].verdict == "no difference seen"
    assert set(better) == {name for name, _, _ in COMPARED_METRICS}
    mixed = compare([told(0.5), told(0.6), told(0.7)], [told(0.6), told(0.5), told(0.7)])
    assert {line.verdict for line in mixed} == {"no difference seen"}
    assert compare([told(0.5)], [told(0.9)])[0].verdict == "no difference seen", "one pair proves nothing"
    with raises(ValueError, match="make no pairs"):
        compare([told(0.5)], [])
    low, high = bootstrap_interval([0.1, 0.2, 0.15, 0.12, 0.18])
    assert 0.1 < low < 0.15 < high < 0.2


def test_a_report_holds_its_plots_and_says_what_broke(tmp_path: Path) -> None:
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
    ("arguments", "code", "said"),
    [
        (["--version"], 0, "cedarledge"),
        (["--help"], 0, "codes: 0 success; 1 a rule was broken"),
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
def test_the_command_line_says_what_is_wrong_and_exits_as_its_help_has_it(
    arguments: list[str], code: int, said: str
) -> None:
    done = command(*arguments)
    assert done.returncode == code, done.stderr
    assert said in done.stdout + done.stderr
    assert "Traceback" not in done.stderr


def test_the_relay_without_arguments_imports_nothing_of_the_commands() -> None:
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
