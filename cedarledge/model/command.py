"""The command `cedarledge model`: simulations in virtual time, over many seeds and on all cores."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

import click
import msgspec
import numpy as np

from cedarledge.model import explore as delivery_model
from cedarledge.model import peers as membership_model
from cedarledge.model import votes as voter_model
from cedarledge.model import zones as zone_model
from cedarledge.model.simulation import Link
from cedarledge.terms import SECOND

EXIT_INVARIANT_VIOLATED = 1
FLEET_SIZES = (8, 16, 32, 64, 128, 256, 512, 1000)


@click.group()
def model() -> None:
    """Simulate the state machines of many relays under faults, in virtual time."""


def parse_seeds(text: str) -> list[int]:
    """Returns the seeds of a range like 1-8 or of a single number.

    Raises click.BadParameter if the text is neither, or the range is empty.
    """
    low, dash, high = text.partition("-")
    try:
        seeds = list(range(int(low), int(high if dash else low) + 1))
    except ValueError:
        seeds = []
    if not seeds:
        raise click.BadParameter(f"{text!r} is no span of seeds like 1-8")
    return seeds


def parallel_map(
    function: Callable[[Any], Any], items: Iterable[Any], jobs: int, chunk: int = 1
) -> Iterator[Any]:
    """Applies a function to items in `jobs` processes and yields the results.

    They come in the order of the items, so that the output does not depend on the load of the machine.
    """
    if jobs == 1:
        yield from map(function, items)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(function, items, chunksize=chunk)


def percentiles(values: list[float]) -> dict[str, float]:
    """Returns median, 99th percentile and maximum by name, an empty dictionary without values."""
    if not values:
        return {}
    return {
        "p50": float(np.median(values)),
        "p99": float(np.quantile(values, 0.99)),
        "max": float(max(values)),
    }


def _parse_kinds(_context: Any, _option: Any, text: str) -> list[str]:
    kinds = [kind.strip().replace("-", "_") for kind in text.split(",")]
    unknown = [kind for kind in kinds if kind not in membership_model.FAULT_KINDS]
    if unknown:
        raise click.BadParameter(f"{unknown[0]!r}; known are {', '.join(membership_model.FAULT_KINDS)}")
    return kinds


_jobs_option = click.option(
    "--jobs", type=click.IntRange(1, 256), default=os.cpu_count(), show_default="all cores"
)


@model.command()
@click.option("--members", type=click.IntRange(3, 1000), default=5, show_default=True)
@click.option("--seeds", default="1-100", show_default=True, help="A range like 1-100.")
@click.option(
    "--faults",
    callback=_parse_kinds,
    default=",".join(membership_model.FAULT_KINDS),
    help="Kinds of faults to draw from.",
    show_default=True,
)
@_jobs_option
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the figures to this file.")
def peers(members: int, seeds: str, faults: list[str], jobs: int, out: str | None) -> None:
    """Simulate membership, one fleet per seed, check its invariants, and print figures.

    If an invariant is violated, prints the seed and a shortened history of the failure, and exits with
    code 1.
    """
    rows = []
    for row in parallel_map(
        partial(membership_model.run_seed, members, kinds=faults), parse_seeds(seeds), jobs
    ):
        rows.append(row)
        if "broken" in row:
            click.echo(f"seed {row['seed']}: {row['broken']}")
            for line in row["history"]:
                click.echo(f"  {line}")
            break
    passed = [row for row in rows if "broken" not in row]
    figures = {
        "members": members,
        "faults": faults,
        "seeds": len(rows),
        "broken": len(rows) - len(passed),
        "agree_s": percentiles([row["agree_s"] for row in passed]),
        "detect_s": percentiles([span for row in passed for span in row["detect_s"]]),
        "all_know_s": percentiles([span for row in passed for span in row["all_know_s"]]),
        "bytes_per_s": percentiles([row["bytes_per_s"] for row in passed]),
        "rows": rows,
    }
    if out:
        Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(figures), indent=1))
    for name in ("agree_s", "detect_s", "all_know_s", "bytes_per_s"):
        click.echo(f"{name:12} " + "  ".join(f"{key} {value:8.2f}" for key, value in figures[name].items()))
    click.echo(f"{len(passed)} of {len(rows)} seeds held")
    sys.exit(EXIT_INVARIANT_VIOLATED if figures["broken"] else 0)


@model.command()
@click.option(
    "--depth",
    type=click.IntRange(1, 12),
    default=5,
    show_default=True,
    help="Number of datagrams whose delivery is varied.",
)
@_jobs_option
def explore(depth: int, jobs: int) -> None:
    """Explore all losses, delays and duplicates of the first datagrams.

    Simulates three members in each of five cases: without a fault and with four kinds of faults.
    """
    for case in delivery_model.CASES:
        count = 0
        function = partial(delivery_model.explore, case)
        for broken in parallel_map(function, delivery_model.delivery_sequences(depth), jobs, 32):
            count += 1
            if broken:
                click.echo(broken)
                sys.exit(EXIT_INVARIANT_VIOLATED)
        click.echo(f"{case:8} {count} histories held")


@model.command()
@click.option("--voters", type=click.Choice(["3", "5", "7"]), default="3", show_default=True)
@click.option("--seeds", default="1-100", show_default=True, help="A range like 1-100.")
@click.option(
    "--depth",
    type=click.IntRange(0, 12),
    default=0,
    show_default=True,
    help="Also explore all orders of this many events of three voters.",
)
@_jobs_option
def votes(voters: str, seeds: str, depth: int, jobs: int) -> None:
    """Simulate voters under random faults and check that they choose one value per slot."""
    agreement_times = []
    for row in parallel_map(partial(voter_model.run_seed, int(voters)), parse_seeds(seeds), jobs):
        if "broken" in row:
            click.echo(f"seed {row['seed']}: {row['broken']}")
            sys.exit(EXIT_INVARIANT_VIOLATED)
        agreement_times.append(row["agree_s"])
    click.echo(
        "agree_s  " + "  ".join(f"{key} {value:.2f}" for key, value in percentiles(agreement_times).items())
    )
    click.echo(f"{len(agreement_times)} seeds held")
    if depth:
        states, history = voter_model.explore(depth)
        click.echo(f"{states} states to depth {depth}")
        if history:
            click.echo("\n".join(history))
            sys.exit(EXIT_INVARIANT_VIOLATED)


@model.command()
@click.option("--zones", type=click.IntRange(3, 16), default=3, show_default=True)
@click.option(
    "--relays", type=click.IntRange(1, 64), default=3, show_default=True, help="Relays in each zone."
)
@click.option("--voters", type=click.Choice(["3", "5", "7"]), default="3", show_default=True)
@click.option("--seeds", default="1-100", show_default=True, help="A range like 1-100.")
@_jobs_option
def zones(zones: int, relays: int, voters: str, seeds: str, jobs: int) -> None:
    """Simulate zones that fail, are partitioned, slow or unstable, and check the failover plans."""
    rows: list[dict[str, Any]] = []
    for row in parallel_map(
        partial(zone_model.run_seed, zones, relays, int(voters)), parse_seeds(seeds), jobs
    ):
        if "broken" in row:
            click.echo(f"seed {row['seed']}: {row['broken']}")
            for line in row["history"]:
                click.echo(f"  {line}")
            sys.exit(EXIT_INVARIANT_VIOLATED)
        rows.append(row)
    for kind in zone_model.FAULT_KINDS:
        runs = [row for row in rows if row["kinds"] == [kind]]
        decided = percentiles([row["decided_s"] for row in runs if row["decided_s"] is not None])
        text = "  ".join(f"{key} {value:.2f}" for key, value in decided.items())
        changes = max((row["direction_changes"] for row in runs), default=0)
        click.echo(
            f"{kind:12} {len(runs):4} alone  decided_s  {text or 'nothing was':24}  at most {changes} changes"
        )
    click.echo(f"{len(rows)} seeds held")


def _measure_size(seed: int, size: int) -> dict[str, Any]:
    """Runs two fleets of a size: one with a killed member, one that loses a fifth of all datagrams."""
    kill = membership_model.Fault(
        "kill", membership_model.FIRST_FAULT_AT, membership_model.FIRST_FAULT_AT + SECOND, (size // 2,)
    )
    prejoined = size >= membership_model.MIN_MEMBERS_PREJOINED
    killed = membership_model.Fleet(size, seed, [kill], prejoined=prejoined).run()
    lossy = membership_model.Fleet(size, seed, link=Link(loss=0.2), prejoined=prejoined)
    lossy.simulation.run(60 * SECOND)
    return {
        "size": size,
        "seed": seed,
        "detect_s": killed.detection_times[0] / SECOND,
        "all_know_s": killed.full_detection_times[0] / SECOND,
        "bytes_per_s": killed.bytes_per_second(),
        "false_suspicions_per_min": lossy.false_suspicions / size,
        "false_deaths": lossy.false_deaths,
    }


@model.command()
@click.option("--seeds", default="1-5", show_default=True, help="A range like 1-5.")
@click.option("--most", type=click.IntRange(8, 1000), default=1000, show_default=True)
@_jobs_option
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the figures to this file.")
@click.option("--plot", type=click.Path(dir_okay=False), help="Plot the figures into this file.")
def sizes(seeds: str, most: int, jobs: int, out: str | None, plot: str | None) -> None:
    """Measure detection time, false suspicions and bytes by size of the fleet."""
    rows = []
    for size in (limit for limit in FLEET_SIZES if limit <= most):
        found = list(parallel_map(partial(_measure_size, size=size), parse_seeds(seeds), jobs))
        row = {"size": size} | {
            name: float(np.median([one[name] for one in found]))
            for name in found[0]
            if name not in ("size", "seed")
        }
        row["detect_max_s"] = max(one["detect_s"] for one in found)
        rows.append(row)
        click.echo("  ".join(f"{name} {value:.4g}" for name, value in row.items()))
    if out:
        Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(rows), indent=1))
    if plot:
        draw_plot(rows, plot)


def draw_plot(rows: list[dict[str, float]], path: str) -> None:
    """Plots the figures of the command `sizes` into an image file, on a logarithmic axis of sizes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4))
    shapes = (
        ("s until dead", ("detect_s", "all_know_s")),
        ("bytes/s a relay", ("bytes_per_s",)),
        ("false suspicions a member a minute, 20% lost", ("false_suspicions_per_min",)),
    )
    for axis, (title, names) in zip(axes, shapes, strict=True):
        for name in names:
            axis.plot([row["size"] for row in rows], [row[name] for row in rows], marker="o", label=name)
        axis.set(xscale="log", xlabel="members (modelled)", title=title, ylim=(0, None))
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
