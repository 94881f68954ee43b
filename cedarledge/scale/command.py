"""`cedarledge scale`: measurement runs, their slopes, and the check of docs/CAPACITY.md against them."""

from __future__ import annotations

import shlex
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from cedarledge.scale.runner import Runner
    from cedarledge.scale.slopes import MeasurementRun

DISAGREES, UNUSABLE = 1, 2
MOST_JOBS = 16
DOCS = Path("docs")
SLOPES, PAGE = DOCS / "scale" / "slopes", DOCS / "CAPACITY.md"

_seed = click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
_jobs = click.option(
    "--jobs",
    type=click.IntRange(1, MOST_JOBS),
    default=2,
    show_default=True,
    help="Runs in virtual time side by side.",
)
_only = click.option("--only", multiple=True, help="Just this part; may be given again.")


@click.group()
def scale() -> None:
    """Measure what control and connections cost as the fleet grows, and plan by it."""


def _progress(text: str) -> None:
    click.echo(text, err=True)


def _runner(scenario: str, seed: int, jobs: int, only: tuple[str, ...]) -> Runner:
    from cedarledge.operator.tables import BadFileError
    from cedarledge.scale.runner import PARTS, Runner
    from cedarledge.scale.scenario import load_scale_scenario

    for part in only:
        if part not in PARTS:
            raise click.BadParameter(f"{part!r}; known are {', '.join(PARTS)}", param_hint="--only")
    try:
        told = load_scale_scenario(scenario)
    except BadFileError as error:
        for problem in error.problems:
            click.echo(f"cedarledge: {problem}", err=True)
        sys.exit(UNUSABLE)
    command = "cedarledge " + shlex.join(sys.argv[1:])
    return Runner(told, command, seed, jobs, _progress)


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
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the records there.")
@click.option("--plot", type=click.Path(file_okay=False), help="Draw each run into this folder.")
def run_scenario(
    file: str, seed: int, jobs: int, only: tuple[str, ...], out: str | None, plot: str | None
) -> None:
    """Play a scenario FILE (TOML), or one that comes with the program by its name."""
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
    """Play the runs behind docs/CAPACITY.md and write their records and plots."""
    from cedarledge.scale.plots import draw
    from cedarledge.scale.slopes import write_run

    for record in _runner(file, seed, jobs, only).runs(only):
        _summary(record)
        path = write_run(record, Path(folder))
        click.echo(f"{path}, {draw(record, Path(folder).parent)}")


@scale.command()
@click.option("--folder", type=click.Path(file_okay=False), default=str(SLOPES), show_default=True)
@click.option("--page", type=click.Path(dir_okay=False), default=str(PAGE), show_default=True)
@click.option("--write", is_flag=True, help="Bring the page's tables up to date.")
def check(folder: str, page: str, write: bool) -> None:
    """Recompute the tables of the capacity page from the committed slopes.

    Exit code 1 where page and slopes disagree, with a line for each row.
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
        sys.exit(UNUSABLE)
    if write:
        text = replace_tables(text, computed)
        path.write_text(text, encoding="utf-8")
    found = differences(text, computed)
    for difference in found:
        click.echo(difference)
    if found:
        sys.exit(DISAGREES)
    rows = sum(len(table.rows) for table in computed)
    click.echo(f"{page}: {rows} rows in {len(computed)} tables agree with {folder}")
