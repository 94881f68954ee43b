"""Compares two variants in pairs of runs with equal seeds: differences, confidence intervals and verdicts."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from cedarledge.standins.judge import RULES

RESAMPLES, CONFIDENCE_LEVEL = 10_000, 0.95
# Name of each metric, how it is read from a run's results, and whether more is better.
COMPARED_METRICS: tuple[tuple[str, Callable[[dict[str, Any]], float], bool], ...] = (
    ("credit served", lambda results: results["credit_served"], True),
    ("well served", lambda results: results["well_served_all"], True),
    ("worst profile", lambda results: min(results["well_served"].values()), True),
    ("setups per tunnel", lambda results: results["setups_per_tunnel"], False),
    ("placement p50 ms", lambda results: results["placement_ms"]["p50"], False),
    ("placement p99 ms", lambda results: results["placement_ms"]["p99"], False),
    ("relay cpu s", lambda results: results["relay_cpu_s"], False),
    ("rules broken", lambda results: float(sum(results[rule] for rule in RULES)), False),
)


class ComparedMetric(msgspec.Struct, frozen=True):
    """One metric of a comparison: medians, mean paired difference, its confidence interval and verdict."""

    figure: str
    a: float  # median of A's runs
    b: float
    difference: float  # mean of B - A
    low: float  # bounds of the interval of `difference`
    high: float
    pairs: int
    verdict: str  # of B against A: better, worse, no difference seen


def bootstrap_interval(differences: Sequence[float], seed: int = 0) -> tuple[float, float]:
    """Returns the bootstrap interval of the mean of paired differences, at the level 0.95.

    A single pair gives no bounds: the interval is infinite.
    """
    if len(differences) < 2:
        return float("-inf"), float("inf")
    values = np.asarray(differences, dtype=float)
    draws = np.random.default_rng(seed).integers(0, len(values), (RESAMPLES, len(values)))
    low, high = np.quantile(
        values[draws].mean(axis=1), [(1 - CONFIDENCE_LEVEL) / 2, (1 + CONFIDENCE_LEVEL) / 2]
    )
    return float(low), float(high)


def compare(a: Sequence[dict[str, Any]], b: Sequence[dict[str, Any]]) -> list[ComparedMetric]:
    """Compares two lists of results, paired in order, and returns one item per metric.

    Raises ValueError if the lists are empty or differ in length.
    """
    if len(a) != len(b) or not a:
        raise ValueError(f"{len(a)} and {len(b)} runs make no pairs")
    metrics = []
    for name, read_metric, more_is_better in COMPARED_METRICS:
        a_values, b_values = [read_metric(results) for results in a], [read_metric(results) for results in b]
        differences = [b_value - a_value for a_value, b_value in zip(a_values, b_values, strict=True)]
        low, high = bootstrap_interval(differences)
        verdict = "no difference seen"
        if low > 0 or high < 0:
            verdict = "better" if (low > 0) == more_is_better else "worse"
        metrics.append(
            ComparedMetric(
                name,
                float(np.median(a_values)),
                float(np.median(b_values)),
                float(np.mean(differences)),
                low,
                high,
                len(a_values),
                verdict,
            )
        )
    return metrics


def run_in_subprocess(arguments: list[str], tries: int = 3) -> dict[str, Any]:
    """Runs `rig run` with these arguments in a process of its own and returns its results.

    A run in which the emulated systems were late is invalid and repeated. Raises RuntimeError with the last
    error if all tries fail.
    """
    with tempfile.TemporaryDirectory(prefix="cedarledge-rig-") as folder:
        out = Path(folder) / "out.json"
        error = ""
        for _ in range(tries):
            process = subprocess.run(
                [sys.executable, "-m", "cedarledge", "rig", "run", *arguments, "--json", str(out)],
                capture_output=True,
                text=True,
                check=False,
            )
            if out.exists():
                results = json.loads(out.read_text())
                out.unlink()
                if not results["standins_late"]:
                    return results
                error = f"the emulated systems ran {results['standins_late_ms']:.0f} ms late"
            else:
                error = process.stderr.strip()[-2000:]
    raise RuntimeError(f"rig run {' '.join(arguments)}: {error}")


def run_all(argument_lists: Sequence[list[str]], jobs: int, done: Callable[[], None]) -> list[dict[str, Any]]:
    """Makes all runs, `jobs` at a time, and returns their results in order. Calls `done` after each run.

    Raises RuntimeError if one cannot be made.
    """

    def one(arguments: list[str]) -> dict[str, Any]:
        results = run_in_subprocess(arguments)
        done()
        return results

    with ThreadPoolExecutor(max_workers=jobs) as pool:
        return list(pool.map(one, argument_lists))
