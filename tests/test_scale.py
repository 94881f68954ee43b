"""Capacity planning: fits, records, scenarios, and small runs."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from cedarledge.cli import main
from cedarledge.operator.tables import BadFileError
from cedarledge.scale.assumptions import BUDGET_SHARES
from cedarledge.scale.capacity import tables
from cedarledge.scale.figures import Slopes
from cedarledge.scale.fit import fit
from cedarledge.scale.scenario import load_scale_scenario, shipped_scenarios
from cedarledge.scale.slopes import MeasurementRun, RunRecordError, curve_of, read_run, write_run


def run_of(*curves) -> MeasurementRun:
    return MeasurementRun("made", "cedarledge scale run made", "abc", "members", 1.0, tuple(curves))


def test_a_line_with_noise_is_fitted_within_its_interval() -> None:
    points = [(size, 3.0 * size + 50 + (-1) ** turn) for size in (8, 16, 64, 256, 460) for turn in (0, 1)]
    found = fit(points)
    assert found.is_line
    assert found.slope_low <= 3.0 <= found.slope_high
    assert found.value_at(1000) == pytest.approx(3050, rel=0.01)


def test_a_square_is_said_to_be_no_line_and_has_its_exponent() -> None:
    found = fit([(size, 0.5 * size**2) for size in (8, 16, 64, 256, 460)])
    assert not found.is_line
    assert found.exponent == pytest.approx(2.0, abs=0.01)
    assert found.value_at(1000) == pytest.approx(500_000, rel=0.05)
    assert "no line" in found.formula()


def test_two_sizes_give_no_fit() -> None:
    assert curve_of("messages", "", {3: [1.0], 5: [2.0]}).fit is None


def test_a_curve_tells_whether_its_sizes_are_far_enough_apart() -> None:
    assert curve_of("q", "", {size: [1.0] for size in (8, 16, 64, 128, 256)}).has_sufficient_sizes()
    assert not curve_of("q", "", {size: [1.0] for size in (8, 16, 64, 128, 200)}).has_sufficient_sizes()
    assert not curve_of("q", "", {size: [1.0] for size in (8, 64, 256)}).has_sufficient_sizes()


def test_a_record_is_read_as_it_was_written(tmp_path: Path) -> None:
    run = run_of(curve_of("bytes", "bytes", {8: [80.0, 82.0], 16: [160.0], 64: [650.0]}))
    assert read_run(write_run(run, tmp_path)) == run


def test_a_record_whose_fit_was_changed_by_hand_is_refused(tmp_path: Path) -> None:
    run = run_of(curve_of("bytes", "bytes", {8: [80.0], 16: [160.0], 64: [650.0]}))
    path = write_run(run, tmp_path)
    told = msgspec.json.decode(path.read_bytes())
    told["curves"][0]["fit"]["slope"] *= 1.01
    path.write_bytes(msgspec.json.encode(told))
    with pytest.raises(RunRecordError, match="'bytes' is not that of its samples"):
        read_run(path)


def test_a_record_with_an_unknown_field_is_refused(tmp_path: Path) -> None:
    path = write_run(run_of(), tmp_path)
    path.write_bytes(path.read_bytes().replace(b'"notes"', b'"remarks"'))
    with pytest.raises(RunRecordError, match="remarks"):
        read_run(path)


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ('title = "t"\n[membership]\nsizez = [8]\n', "membership.sizez: unknown name; did you mean 'sizes'"),
        ('title = "t"\n[hollow]\nsizes = [8, 9000]\n', "hollow.sizes[1]: expected `int` <= 5000"),
        ('title = "t"\n[quorum]\nvoters = [4]\n', "quorum: voters: 3, 5 or 7, got 4"),
        ('title = "t"\nlimit_s = 1e9\n', "limit_s: expected `float` <= 7200"),
    ],
)
def test_a_scenario_that_can_not_be_used_is_refused_with_its_place(
    tmp_path: Path, text: str, problem: str
) -> None:
    path = tmp_path / "scenario.toml"
    path.write_text(text)
    with pytest.raises(BadFileError) as caught:
        load_scale_scenario(str(path))
    assert problem in str(caught.value)
    told = CliRunner().invoke(main, ["scale", "run", str(path)])
    assert told.exit_code == 2
    assert problem in told.output


def test_shipped_scenarios_can_be_used() -> None:
    assert {"slopes", "small"} <= set(shipped_scenarios())
    for name in shipped_scenarios():
        assert load_scale_scenario(name).title


def test_the_small_run_gives_the_same_counts_for_the_same_seed(tmp_path: Path) -> None:
    told = []
    for turn in range(2):
        path = tmp_path / f"{turn}.json"
        arguments = ["scale", "run", "small", "--seed", "3", "--jobs", "1", "--json", str(path)]
        done = CliRunner().invoke(main, arguments)
        assert done.exit_code == 0, done.output
        runs = msgspec.json.decode(path.read_bytes(), type=list[MeasurementRun])
        assert [run.name for run in runs] == [
            "view",
            "quorum",
            "probing_relays",
            "probing_backends",
            "membership",
        ]
        told.append({run.name: run for run in runs})
    for name, quantity in (
        ("membership", "bytes_per_second"),
        ("membership", "change_known_all"),
        ("quorum", "messages"),
        ("probing_relays", "probes_per_backend_second"),
    ):
        assert told[0][name].curve(quantity) == told[1][name].curve(quantity)


def test_a_decision_takes_messages_in_proportion_to_the_other_voters() -> None:
    from cedarledge.scale.quorum import measure

    assert [measure(voters, 1, 5, 1.0).messages for voters in (3, 5, 7)] == [10, 20, 30]


def test_the_relay_without_arguments_imports_nothing_of_capacity_planning() -> None:
    seen = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, cedarledge.__main__, cedarledge.net.relay; print([name for name in sys.modules if "
            "name in ('click', 'msgspec', 'numpy', 'hdrh') or "
            "name.startswith(('cedarledge.scale', 'cedarledge.peers', 'cedarledge.model'))])",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    assert seen.stdout.strip() == "[]"


def test_the_small_run_on_sockets_measures_hollow_relays_and_a_real_one(tmp_path: Path) -> None:
    path = tmp_path / "runs.json"
    done = CliRunner().invoke(main, ["scale", "run", "sockets", "--json", str(path)])
    assert done.exit_code == 0, done.output
    runs = {run.name: run for run in msgspec.json.decode(path.read_bytes(), type=list[MeasurementRun])}
    assert set(runs) == {"relay_rest", "relay_deliveries", "hollow"}
    assert runs["hollow"].curve("messages_per_second").mean_at(3) > 0
    assert runs["hollow"].curve("process_base_bytes").mean_at(3) > 1e6
    assert runs["relay_rest"].curve("resident_bytes").mean_at(20) > 1e6
    assert runs["relay_deliveries"].curve("delivered_share").mean_at(50) == 1.0


FOLDER = Path(__file__).parents[1] / "docs" / "scale" / "slopes"
CAPACITY_PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"


def check(page: Path, folder: Path = FOLDER):
    return CliRunner().invoke(main, ["scale", "check", "--page", str(page), "--folder", str(folder)])


def test_the_capacity_page_agrees_with_the_committed_slopes() -> None:
    done = check(CAPACITY_PAGE)
    assert done.exit_code == 0, done.output


def test_a_figure_that_was_changed_on_the_page_is_caught_and_its_row_named(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(
        CAPACITY_PAGE.read_text().replace(
            "| connections a relay | 93,500 |", "| connections a relay | 93,600 |"
        )
    )
    done = check(page)
    assert done.exit_code == 1
    assert "target, row 'connections a relay'" in done.output
    assert len(done.output.splitlines()) == 1


def test_a_row_that_is_missing_or_added_on_the_page_is_caught(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    text = CAPACITY_PAGE.read_text()
    row = next(line for line in text.splitlines() if line.startswith("| shards a relay |"))
    page.write_text(text.replace(row, "| made up | 1 | arithmetic |"))
    done = check(page)
    assert done.exit_code == 1
    assert "target, row 'shards a relay'" in done.output
    assert "target, row 'made up': on the page alone" in done.output


def test_slopes_that_have_changed_since_the_page_was_written_are_caught(tmp_path: Path) -> None:
    for path in FOLDER.glob("*.json"):
        (tmp_path / path.name).write_bytes(path.read_bytes())
    run = read_run(tmp_path / "view.json")
    curve = run.curve("bytes")
    measured = {row.size: [1.2 * value for value in row.values] for row in curve.samples}
    write_run(msgspec.structs.replace(run, curves=(curve_of("bytes", "bytes", measured),)), tmp_path)
    done = check(CAPACITY_PAGE, tmp_path)
    assert done.exit_code == 1
    assert "row 'view.bytes'" in done.output
    assert "control-memory, row 'membership'" in done.output


def test_parts_of_the_control_budget_make_up_the_whole_of_it() -> None:
    assert sum(BUDGET_SHARES.values()) == 100


def test_what_was_not_run_is_said_to_be_so() -> None:
    rows = {row[0]: row for table in tables({}) if table.name == "control-bytes" for row in table.rows}
    assert rows["membership"][2] == "not run"
    assert rows["all"][2] == "not run"
    assert rows["shard and topic assignment"][1] == "**missing**"


def test_a_figure_beyond_the_largest_size_run_says_how_far() -> None:
    run = run_of(curve_of("bytes", "bytes", {size: [100.0 * size] for size in (8, 16, 64, 128, 256)}))
    figure = Slopes({"made": run}).at("made", "bytes", 512)
    assert figure.value == pytest.approx(51_200)
    assert figure.origin() == "slope: made.bytes, run to 256, reach x 2"
