"""Compares two ways of running, seed by seed: paired differences, intervals, a plain verdict."""

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

RESAMPLES, LEVEL = 10_000, 0.95
# Figures that are compared, and whether more is better.
COMPARED_METRICS: tuple[tuple[str, Callable[[dict[str, Any]], float], bool], ...] = (
    ("credit served", lambda told: told["credit_served"], True),
    ("well served", lambda told: told["well_served_all"], True),
    ("worst profile", lambda told: min(told["well_served"].values()), True),
    ("setups per tunnel", lambda told: told["setups_per_tunnel"], False),
    ("placement p50 ms", lambda told: told["placement_ms"]["p50"], False),
    ("placement p99 ms", lambda told: told["placement_ms"]["p99"], False),
    ("relay cpu s", lambda told: told["relay_cpu_s"], False),
    ("rules broken", lambda told: float(sum(told[rule] for rule in RULES)), False),
)


class Line(msgspec.Struct, frozen=True):
    """One figure of a comparison: medians, the mean paired difference B - A, its interval, and what that
    says."""

    figure: str
    a: float
    b: float
    difference: float
    low: float
    high: float
    pairs: int
    verdict: str  # better, worse, no difference seen: of B against A


def bootstrap_interval(differences: Sequence[float], seed: int = 0) -> tuple[float, float]:
    """The bootstrap interval of the mean of paired differences, at 0.95. One pair alone has none."""
    if len(differences) < 2:
        return float("-inf"), float("inf")
    values = np.asarray(differences, dtype=float)
    draws = np.random.default_rng(seed).integers(0, len(values), (RESAMPLES, len(values)))
    low, high = np.quantile(values[draws].mean(axis=1), [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return float(low), float(high)


def compare(a: Sequence[dict[str, Any]], b: Sequence[dict[str, Any]]) -> list[Line]:
    """Pairs the two lists of reports in order. Raises ValueError where they don't pair."""
    if len(a) != len(b) or not a:
        raise ValueError(f"{len(a)} and {len(b)} runs make no pairs")
    lines = []
    for name, read, more_is_better in COMPARED_METRICS:
        left, right = [read(told) for told in a], [read(told) for told in b]
        differences = [two - one for one, two in zip(left, right, strict=True)]
        low, high = bootstrap_interval(differences)
        verdict = "no difference seen"
        if low > 0 or high < 0:
            verdict = "better" if (low > 0) == more_is_better else "worse"
        lines.append(
            Line(
                name,
                float(np.median(left)),
                float(np.median(right)),
                float(np.mean(differences)),
                low,
                high,
                len(left),
                verdict,
            )
        )
    return lines


def run_apart(arguments: list[str], tries: int = 3) -> dict[str, Any]:
    """Makes one run in a process of its own. One in which the stand-ins ran late counts for nothing and is
    made again. Raises RuntimeError with what it said."""
    with tempfile.TemporaryDirectory(prefix="cedarledge-rig-") as folder:
        out = Path(folder) / "out.json"
        said = ""
        for _ in range(tries):
            done = subprocess.run(
                [sys.executable, "-m", "cedarledge", "rig", "run", *arguments, "--json", str(out)],
                capture_output=True,
                text=True,
                check=False,
            )
            if out.exists():
                told = json.loads(out.read_text())
                out.unlink()
                if not told["standins_late"]:
                    return told
                said = f"the stand-ins ran {told['standins_late_ms']:.0f} ms late"
            else:
                said = done.stderr.strip()[-2000:]
    raise RuntimeError(f"rig run {' '.join(arguments)}: {said}")


def run_all(argument_lists: Sequence[list[str]], jobs: int, done: Callable[[], None]) -> list[dict[str, Any]]:
    """Makes the runs, so many side by side, and gives their reports in order."""

    def one(arguments: list[str]) -> dict[str, Any]:
        told = run_apart(arguments)
        done()
        return told

    with ThreadPoolExecutor(max_workers=jobs) as pool:
        return list(pool.map(one, argument_lists))
