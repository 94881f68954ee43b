"""Tests of capacity planning: fits, run records, scenarios, small runs, and the capacity page check."""

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


def test_slope_of_noisy_line_lies_within_fitted_interval() -> None:
    points = [
        (size, 3.0 * size + 50 + (-1) ** sign_exponent)
        for size in (8, 16, 64, 256, 460)
        for sign_exponent in (0, 1)
    ]
    fitted = fit(points)
    assert fitted.is_line
    assert fitted.slope_low <= 3.0 <= fitted.slope_high
    assert fitted.value_at(1000) == pytest.approx(3050, rel=0.01)


def test_quadratic_curve_is_fitted_as_power_law() -> None:
    fitted = fit([(size, 0.5 * size**2) for size in (8, 16, 64, 256, 460)])
    assert not fitted.is_line
    assert fitted.exponent == pytest.approx(2.0, abs=0.01)
    assert fitted.value_at(1000) == pytest.approx(500_000, rel=0.05)
    assert "no line" in fitted.formula()


def test_curve_with_two_sizes_has_no_fit() -> None:
    assert curve_of("messages", "", {3: [1.0], 5: [2.0]}).fit is None


def test_fit_needs_enough_sizes_over_wide_enough_range() -> None:
    assert curve_of("q", "", {size: [1.0] for size in (8, 16, 64, 128, 256)}).has_sufficient_sizes()
    assert not curve_of("q", "", {size: [1.0] for size in (8, 16, 64, 128, 200)}).has_sufficient_sizes()
    assert not curve_of("q", "", {size: [1.0] for size in (8, 64, 256)}).has_sufficient_sizes()


def test_run_record_round_trip(tmp_path: Path) -> None:
    run = run_of(curve_of("bytes", "bytes", {8: [80.0, 82.0], 16: [160.0], 64: [650.0]}))
    assert read_run(write_run(run, tmp_path)) == run


def test_run_record_with_edited_fit_is_rejected(tmp_path: Path) -> None:
    run = run_of(curve_of("bytes", "bytes", {8: [80.0], 16: [160.0], 64: [650.0]}))
    path = write_run(run, tmp_path)
    record = msgspec.json.decode(path.read_bytes())
    record["curves"][0]["fit"]["slope"] *= 1.01
    path.write_bytes(msgspec.json.encode(record))
    with pytest.raises(RunRecordError, match="the stored fit of 'bytes' differs from the fit of its samples"):
        read_run(path)


def test_run_record_with_unknown_field_is_rejected(tmp_path: Path) -> None:
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
def test_invalid_scenario_is_rejected_with_path_of_the_value(tmp_path: Path, text: str, problem: str) -> None:
    path = tmp_path / "scenario.toml"
    path.write_text(text)
    with pytest.raises(BadFileError) as caught:
        load_scale_scenario(str(path))
    assert problem in str(caught.value)
    result = CliRunner().invoke(main, ["scale", "run", str(path)])
    assert result.exit_code == 2
    assert problem in result.output


def test_shipped_scenarios_are_valid() -> None:
    assert {"slopes", "small"} <= set(shipped_scenarios())
    for name in shipped_scenarios():
        assert load_scale_scenario(name).title


def test_small_run_is_deterministic_for_a_seed(tmp_path: Path) -> None:
    runs_by_name = []
    for repetition in range(2):
        path = tmp_path / f"{repetition}.json"
        arguments = ["scale", "run", "small", "--seed", "3", "--jobs", "1", "--json", str(path)]
        result = CliRunner().invoke(main, arguments)
        assert result.exit_code == 0, result.output
        runs = msgspec.json.decode(path.read_bytes(), type=list[MeasurementRun])
        assert [run.name for run in runs] == [
            "view",
            "quorum",
            "probing_relays",
            "probing_backends",
            "membership",
        ]
        runs_by_name.append({run.name: run for run in runs})
    for name, quantity in (
        ("membership", "bytes_per_second"),
        ("membership", "change_known_all"),
        ("quorum", "messages"),
        ("probing_relays", "probes_per_backend_second"),
    ):
        assert runs_by_name[0][name].curve(quantity) == runs_by_name[1][name].curve(quantity)


def test_messages_per_decision_are_proportional_to_the_other_voters() -> None:
    from cedarledge.scale.quorum import measure

    assert [measure(voters, 1, 5, 1.0).messages for voters in (3, 5, 7)] == [10, 20, 30]


def test_relay_does_not_import_capacity_planning() -> None:
    process = subprocess.run(
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
    assert process.stdout.strip() == "[]"


def test_small_run_on_sockets_measures_hollow_relays_and_a_real_relay(tmp_path: Path) -> None:
    path = tmp_path / "runs.json"
    result = CliRunner().invoke(main, ["scale", "run", "sockets", "--json", str(path)])
    assert result.exit_code == 0, result.output
    runs = {run.name: run for run in msgspec.json.decode(path.read_bytes(), type=list[MeasurementRun])}
    assert set(runs) == {"relay_rest", "relay_deliveries", "hollow"}
    assert runs["hollow"].curve("messages_per_second").mean_at(3) > 0
    assert runs["hollow"].curve("process_base_bytes").mean_at(3) > 1e6
    assert runs["relay_rest"].curve("resident_bytes").mean_at(20) > 1e6
    assert runs["relay_deliveries"].curve("delivered_share").mean_at(50) == 1.0


RECORDS_FOLDER = Path(__file__).parents[1] / "docs" / "scale" / "slopes"
CAPACITY_PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"


def run_check(page: Path, folder: Path = RECORDS_FOLDER):
    return CliRunner().invoke(main, ["scale", "check", "--page", str(page), "--folder", str(folder)])


def test_capacity_page_matches_committed_run_records() -> None:
    result = run_check(CAPACITY_PAGE)
    assert result.exit_code == 0, result.output


def test_check_reports_row_of_edited_figure(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(
        CAPACITY_PAGE.read_text().replace(
            "| connections a relay | 93,500 |", "| connections a relay | 93,600 |"
        )
    )
    result = run_check(page)
    assert result.exit_code == 1
    assert "target, row 'connections a relay'" in result.output
    assert len(result.output.splitlines()) == 1


def test_check_reports_missing_and_added_rows(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    text = CAPACITY_PAGE.read_text()
    row = next(line for line in text.splitlines() if line.startswith("| shards a relay |"))
    page.write_text(text.replace(row, "| made up | 1 | arithmetic |"))
    result = run_check(page)
    assert result.exit_code == 1
    assert "target, row 'shards a relay'" in result.output
    assert "target, row 'made up': on the page, but not computed" in result.output


def test_check_reports_rows_of_changed_run_record(tmp_path: Path) -> None:
    for path in RECORDS_FOLDER.glob("*.json"):
        (tmp_path / path.name).write_bytes(path.read_bytes())
    run = read_run(tmp_path / "view.json")
    curve = run.curve("bytes")
    measured = {row.size: [1.2 * value for value in row.values] for row in curve.samples}
    write_run(msgspec.structs.replace(run, curves=(curve_of("bytes", "bytes", measured),)), tmp_path)
    result = run_check(CAPACITY_PAGE, tmp_path)
    assert result.exit_code == 1
    assert "row 'view.bytes'" in result.output
    assert "control-memory, row 'membership'" in result.output


def test_shares_of_control_budget_add_up_to_100_percent() -> None:
    assert sum(BUDGET_SHARES.values()) == 100


def test_tables_without_runs_show_not_run() -> None:
    rows = {row[0]: row for table in tables({}) if table.name == "control-bytes" for row in table.rows}
    assert rows["membership"][2] == "not run"
    assert rows["all"][2] == "not run"
    assert rows["shard and topic assignment"][1] == "**missing**"


def test_extrapolated_figure_states_largest_size_and_factor() -> None:
    run = run_of(curve_of("bytes", "bytes", {size: [100.0 * size] for size in (8, 16, 64, 128, 256)}))
    figure = Slopes({"made": run}).at("made", "bytes", 512)
    assert figure.value == pytest.approx(51_200)
    assert figure.origin() == "slope: made.bytes, run to 256, reach x 2"
