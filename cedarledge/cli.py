"""The command line. Without arguments the program is the relay and this module is not imported: see __main__.

Exit codes: 0 success; 1 a rule was broken, or a comparison failed; 2 bad usage, or a file that can't be used;
3 the stand-ins ran late, which makes the run invalid.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from cedarledge import __version__
from cedarledge.model.command import model, parse_seeds
from cedarledge.operator.tables import BadFileError
from cedarledge.peers.command import peers
from cedarledge.rig.variants import BASELINES
from cedarledge.scale.command import scale
from cedarledge.standins.plan import MAX_BOXES, MAX_RELAYS

RULE_BROKEN, BAD_FILE, STANDINS_LATE = 1, 2, 3


def _exit_unusable(why: BadFileError) -> None:
    for problem in why.problems:
        click.echo(f"cedarledge: {problem}", err=True)
    sys.exit(BAD_FILE)


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(__version__, prog_name="cedarledge")
def main() -> None:
    """A load balancer for long-lived connections, and a test rig for it.

    Without arguments it runs the relay that BALANCER_CONFIG configures.

    Exit codes: 0 success; 1 a rule was broken; 2 bad usage or a file that can't be used; 3 an invalid run,
    since the stand-ins ran late.

    For completion in bash: eval "$(_CEDARLEDGE_COMPLETE=bash_source cedarledge)"; zsh and fish likewise.
    """


@main.command()
@click.option("--file", "path", type=click.Path(dir_okay=False), help="Operator file (TOML); see `check`.")
def relay(path: str | None) -> None:
    """Run one relay with the configuration that BALANCER_CONFIG names.

    SIGTERM stops it after its clients have been answered and moved. SIGHUP reads BALANCER_CONFIG and the
    operator file again.
    """
    from cedarledge.__main__ import end_process, start

    end_process(start(path))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--scenario", is_flag=True, help="Check a scenario of the rig instead of an operator file.")
def check(file: str, scenario: bool) -> None:
    """Check an operator FILE and report every problem with its place."""
    from cedarledge.operator.file import read_operator_file
    from cedarledge.rig.scenario import load_scenario

    try:
        loaded = load_scenario(file) if scenario else read_operator_file(file)
    except BadFileError as why:
        _exit_unusable(why)
    on = [] if scenario else loaded.enabled_tables()
    click.echo(f"{file}: good" + (f"; on: {', '.join(on)}" if on else ""))


def _size_options(command: Callable[..., None]) -> Callable[..., None]:
    for option in (
        click.option(
            "--relays",
            type=click.IntRange(1, MAX_RELAYS),
            help="Number of relays instead of the scenario's.",
        ),
        click.option(
            "--boxes",
            type=click.IntRange(1, MAX_BOXES),
            help="Number of backends instead of the scenario's.",
        ),
        click.option("--rate", type=click.FloatRange(0.1), help="New connections a second."),
        click.option("--seconds", type=click.FloatRange(4, 3600), help="Length of the run."),
    ):
        command = option(command)
    return command


main.add_command(model)
main.add_command(peers)
main.add_command(scale)


@main.group()
def rig() -> None:
    """Test relays against emulated backends and clients on this machine's loopback interface."""


@rig.command("list")
def list_scenarios() -> None:
    """List the scenarios that come with the program."""
    from cedarledge.rig.scenario import load_scenario, shipped_scenarios

    for name in shipped_scenarios():
        scenario = load_scenario(name)
        click.echo(f"{name:12} {scenario.title}: {scenario.about}")


def _run(
    scenario: Any,
    plan: Any,
    variant: Any,
    progress: Any,
    keep: str | None,
    out: str | None,
    report: str | None,
) -> Any:
    from cedarledge.rig.run import RunError, TooSlowError, run_plan

    try:
        verdict = run_plan(plan, variant, progress, Path(keep) if keep else None)
    except RunError as why:
        click.echo(f"cedarledge: {why}", err=True)
        sys.exit(STANDINS_LATE if isinstance(why, TooSlowError) else RULE_BROKEN)
    if out:
        figures = verdict.to_flat_dict() | {"variant": variant.name}
        Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(figures), indent=1))
    if report:
        from cedarledge.rig.report import write_report

        path = write_report(
            Path(report),
            f"{scenario.title} ({variant.name}, seed {plan.seed})",
            scenario.about,
            plan,
            verdict,
        )
        click.echo(f"report: {path}")
    return verdict


def _exit_with_verdict(verdict: Any) -> None:
    sys.exit(STANDINS_LATE if verdict.standins_late else 0 if verdict.passed else RULE_BROKEN)


@rig.command()
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@_size_options
@click.option(
    "--policy",
    type=click.Choice(["cedarledge", *BASELINES]),
    default="cedarledge",
    show_default=True,
    help="A baseline instead of the relays.",
)
@click.option("--file", "operator_file", type=click.Path(exists=True), help="Operator file for the relays.")
@click.option("--off", is_flag=True, help="Run without the scenario's own operator file.")
@click.option(
    "--checkout", type=click.Path(exists=True, file_okay=False), help="Run the relays of another checkout."
)
@click.option(
    "--json", "out", type=click.Path(dir_okay=False), help="Write the results as JSON to this file."
)
@click.option(
    "--report", type=click.Path(file_okay=False), help="Write a report with plots into this folder."
)
@click.option("--keep", type=click.Path(file_okay=False), help="Keep records and logs in this folder.")
def run(
    scenario: str,
    seed: int,
    relays: int | None,
    boxes: int | None,
    rate: float | None,
    seconds: float | None,
    policy: str,
    operator_file: str | None,
    off: bool,
    checkout: str | None,
    out: str | None,
    report: str | None,
    keep: str | None,
) -> None:
    """Run a SCENARIO, by name or file, and check it against the rules."""
    from cedarledge.rig.demo import LiveTable, summary
    from cedarledge.rig.scenario import load_scenario, without_operator
    from cedarledge.rig.schedule import build_plan
    from cedarledge.rig.variants import create_variant

    try:
        loaded = load_scenario(scenario)
        if off:
            loaded = without_operator(loaded)
        variant = create_variant(policy, operator_file, checkout)
    except BadFileError as why:
        _exit_unusable(why)
    plan = build_plan(loaded, seed, relays=relays, boxes=boxes, rate=rate, seconds=seconds)
    table = LiveTable(plan) if sys.stdout.isatty() else None
    verdict = _run(loaded, plan, variant, table, keep, out, report)
    click.echo(summary(verdict))
    _exit_with_verdict(verdict)


def _run_arguments(what: str, scenario: str) -> list[str]:
    """Returns the arguments of `rig run` for one side: a checkout, operator file, baseline or scenario."""
    from cedarledge.rig.scenario import shipped_scenarios

    if what in shipped_scenarios():
        return [what]
    if what == "cedarledge":
        return [scenario]
    if what == "off":
        return [scenario, "--off"]
    if what in BASELINES:
        return [scenario, "--policy", what]
    if Path(what).is_dir():
        return [scenario, "--checkout", what]
    if Path(what).is_file():
        with contextlib.suppress(ValueError), Path(what).open("rb") as file:
            if "title" in tomllib.load(file):
                return [what]
        return [scenario, "--file", what]
    raise click.BadParameter(f"{what!r} is no scenario, baseline, file or checkout")


@rig.command()
@click.argument("a")
@click.argument("b")
@click.option(
    "--scenario", default="slow", show_default=True, help="Scenario if A and B are not scenarios themselves."
)
@click.option(
    "--seeds", default="1-8", show_default=True, help="A range like 1-8; each seed makes a pair of runs."
)
@_size_options
@click.option(
    "--jobs",
    type=click.IntRange(1, 64),
    default=1,
    show_default=True,
    help="Parallel runs; each needs about three cores.",
)
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the comparison to this file.")
def compare(
    a: str,
    b: str,
    scenario: str,
    seeds: str,
    relays: int | None,
    boxes: int | None,
    rate: float | None,
    seconds: float | None,
    jobs: int,
    out: str | None,
) -> None:
    """Compare A with B, seed by seed: two scenarios, operator files, checkouts or baselines.

    A baseline is random, fewest, hash or pass. `cedarledge` is the program itself, `off` the program without
    the scenario's operator file.
    """
    from cedarledge.rig.compare import compare as compare_pairs
    from cedarledge.rig.compare import run_all

    sizes = [
        text
        for name, value in (
            ("--relays", relays),
            ("--boxes", boxes),
            ("--rate", rate),
            ("--seconds", seconds),
        )
        if value is not None
        for text in (name, str(value))
    ]
    sides = [_run_arguments(what, scenario) for what in (a, b)]
    numbers = parse_seeds(seeds)
    lists = [[*side, "--seed", str(seed), *sizes] for seed in numbers for side in sides]
    count = itertools.count(1)

    def done() -> None:
        if sys.stderr.isatty():
            click.echo(f"\r{next(count)} of {len(lists)} runs", nl=False, err=True)

    try:
        figures = run_all(lists, jobs, done)
    except RuntimeError as why:
        click.echo(f"\ncedarledge: {why}", err=True)
        sys.exit(RULE_BROKEN)
    if sys.stderr.isatty():
        click.echo(err=True)
    lines = compare_pairs(figures[0::2], figures[1::2])
    click.echo(f"{'':18} {a[:14]:>14} {b[:14]:>14} {'B - A':>10}  95% interval")
    for line in lines:
        click.echo(
            f"{line.figure:18} {line.a:14.4f} {line.b:14.4f} {line.difference:+10.4f}  "
            f"[{line.low:+.4f}, {line.high:+.4f}]  {line.verdict}"
        )
    if out:
        Path(out).write_text(
            json.dumps(
                {"a": a, "b": b, "seeds": numbers, "lines": [msgspec.to_builtins(line) for line in lines]},
                indent=1,
            )
        )


@rig.command()
@click.option("--seeds", default="1-5", show_default=True, help="A range like 1-50.")
@click.option(
    "--relays", type=click.IntRange(1, MAX_RELAYS), help="Number of relays instead of a random one."
)
@click.option("--seconds", type=click.FloatRange(12, 120), help="Length of each run.")
@click.option("--jobs", type=click.IntRange(1, 64), default=1, show_default=True, help="Parallel runs.")
@click.option(
    "--keep", type=click.Path(file_okay=False), required=True, help="Folder for the files of each run."
)
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the results to this file.")
def soak(
    seeds: str, relays: int | None, seconds: float | None, jobs: int, keep: str, out: str | None
) -> None:
    """Inject random, overlapping faults into a few dozen processes.

    Each run is checked against the rules and the relays' own invariants.
    """
    from cedarledge.rig.soak import SoakResult, soak_all

    def done(result: SoakResult) -> None:
        outcome = "holds" if result.passed else result.problem or f"BROKEN {result.rules | result.invariants}"
        click.echo(f"seed {result.seed}: {result.connections} connections, {outcome}")
        for finding in result.findings:
            click.echo(f"  {finding}")

    results = soak_all(parse_seeds(seeds), jobs, Path(keep), done, relays, seconds)
    if out:
        Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1))
    passed = sum(result.passed for result in results)
    not_run = sum(bool(result.problem) for result in results)
    click.echo(f"{passed} of {len(results)} seeds hold, {not_run} could not be played")
    sys.exit(
        0 if passed == len(results) else STANDINS_LATE if passed + not_run == len(results) else RULE_BROKEN
    )


@main.command()
@click.option("--seconds", type=click.FloatRange(12, 120), default=20.0, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--json", "out", type=click.Path(dir_okay=False), help="Write the results as JSON to this file."
)
@click.option(
    "--report", type=click.Path(file_okay=False), help="Write a report with plots into this folder."
)
def demo(seconds: float, seed: int, out: str | None, report: str | None) -> None:
    """Run a small fleet on this machine: two relays, a slow backend, a drain and a killed relay."""
    from cedarledge.rig.demo import LiveTable, summary
    from cedarledge.rig.scenario import load_scenario
    from cedarledge.rig.schedule import build_plan
    from cedarledge.rig.variants import create_variant

    loaded = load_scenario("demo")
    plan = build_plan(loaded, seed, seconds=seconds)
    click.echo(
        f"{plan.relays} relays, {len(plan.boxes)} simulated boxes, about "
        f"{plan.client_settings.initial_clients} clients, for {seconds:g} s; on loopback, "
        f"as process {os.getpid()}."
    )
    verdict = _run(loaded, plan, create_variant(), LiveTable(plan), None, out, report)
    click.echo(summary(verdict))
    _exit_with_verdict(verdict)
