"""`cedarledge scale`: runs measurements, stores their slopes and checks docs/CAPACITY.md against them."""

from __future__ import annotations

import shlex
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from cedarledge.scale.runner import Runner
    from cedarledge.scale.slopes import MeasurementRun

EXIT_PAGE_DIFFERS, EXIT_INVALID_INPUT = 1, 2
MAX_JOBS = 16
DOCS = Path("docs")
SLOPES, PAGE = DOCS / "scale" / "slopes", DOCS / "CAPACITY.md"

_seed = click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
_jobs = click.option(
    "--jobs",
    type=click.IntRange(1, MAX_JOBS),
    default=2,
    show_default=True,
    help="Number of virtual-time runs that execute in parallel.",
)
_only = click.option("--only", multiple=True, help="Run only this part of the scenario; may be repeated.")


@click.group()
def scale() -> None:
    """Measure the cost of control traffic and connections by fleet size, for capacity planning."""


def _progress(text: str) -> None:
    click.echo(text, err=True)


def _runner(scenario: str, seed: int, jobs: int, only: tuple[str, ...]) -> Runner:
    from cedarledge.operator.tables import BadFileError
    from cedarledge.scale.runner import PARTS, Runner
    from cedarledge.scale.scenario import load_scale_scenario

    for part in only:
        if part not in PARTS:
            raise click.BadParameter(
                f"{part!r} is not a part of a scenario; parts: {', '.join(PARTS)}", param_hint="--only"
            )
    try:
        loaded = load_scale_scenario(scenario)
    except BadFileError as error:
        for problem in error.problems:
            click.echo(f"cedarledge: {problem}", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    command = "cedarledge " + shlex.join(sys.argv[1:])
    return Runner(loaded, command, seed, jobs, _progress)


def _summary(run: MeasurementRun) -> None:
    click.echo(f"{run.name} ({run.size_of}, {run.wall_seconds:g} s)")
    for curve in run.curves:
        formula = curve.fit.formula() if curve.fit is not None else "too few sizes for a fit"
        click.echo(f"  {curve.quantity:32} {formula}  up to {curve.largest_size():g}")


@scale.command("run")
@click.argument("file")
@_seed
@_jobs
@_only
@click.option(
    "--json", "out", type=click.Path(dir_okay=False), help="Write the records of the runs to this file."
)
@click.option("--plot", type=click.Path(file_okay=False), help="Write a plot of each run to this folder.")
def run_scenario(
    file: str, seed: int, jobs: int, only: tuple[str, ...], out: str | None, plot: str | None
) -> None:
    """Run a scenario: a FILE (TOML), or the name of one that is shipped with the program."""
    import msgspec

    from cedarledge.scale.plots import draw

    records = []
    for record in _runner(file, seed, jobs, only).runs(only):
        _summary(record)
        records.append(record)
        if plot:
            draw(record, Path(plot))
    if out:
        Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(records), indent=1))


@scale.command()
@click.argument("file", default="slopes")
@_seed
@_jobs
@_only
@click.option("--folder", type=click.Path(file_okay=False), default=str(SLOPES), show_default=True)
def slopes(file: str, seed: int, jobs: int, only: tuple[str, ...], folder: str) -> None:
    """Repeat the runs that docs/CAPACITY.md is computed from, and write their records and plots."""
    from cedarledge.scale.plots import draw
    from cedarledge.scale.slopes import write_run

    for record in _runner(file, seed, jobs, only).runs(only):
        _summary(record)
        path = write_run(record, Path(folder))
        click.echo(f"{path}, {draw(record, Path(folder).parent)}")


@scale.command()
@click.option("--folder", type=click.Path(file_okay=False), default=str(SLOPES), show_default=True)
@click.option("--page", type=click.Path(dir_okay=False), default=str(PAGE), show_default=True)
@click.option("--write", is_flag=True, help="Update the tables of the page first.")
def check(folder: str, page: str, write: bool) -> None:
    """Recompute the tables of the capacity page from the committed slopes.

    Prints a line for each row that differs and exits with code 1 if there is any.
    """
    from cedarledge.scale.capacity import tables
    from cedarledge.scale.page import differences, replace_tables
    from cedarledge.scale.slopes import RunRecordError, read_runs

    path = Path(page)
    try:
        computed = tables(read_runs(Path(folder)))
        text = path.read_text(encoding="utf-8")
    except (RunRecordError, OSError) as error:
        click.echo(f"cedarledge: {error}", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    if write:
        text = replace_tables(text, computed)
        path.write_text(text, encoding="utf-8")
    mismatches = differences(text, computed)
    for difference in mismatches:
        click.echo(difference)
    if mismatches:
        sys.exit(EXIT_PAGE_DIFFERS)
    rows = sum(len(table.rows) for table in computed)
    click.echo(f"{page}: {rows} rows in {len(computed)} tables agree with {folder}")
