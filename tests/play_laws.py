"""Runs the property tests of the policy with other seeds and prints how often each law is violated.

The laws are those of test_policy_laws.py, with their bodies, limits and ranges; only the seeds and the number
of draws differ from CI, and explicit examples are left out. docs/policy-laws.md describes the options.

    python tests/play_laws.py --seeds 1-10 --draws 30 --jobs 8
"""

from __future__ import annotations

import argparse
import json
import math
import re
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from pathlib import Path

import test_policy_laws as laws
from hypothesis import HealthCheck, Phase, given, seed, settings

# 95% of a normal distribution is within this number of standard deviations.
STANDARD_DEVIATIONS = 1.96
SEED_RANGE = re.compile(r"(\d+)(?:-(\d+))?")
# Patterns for the severity of a violation in an assertion's message; the first that matches is used.
SEVERITY = (
    re.compile(r"attempted none of (?P<count>\d+) requests"),
    re.compile(r"(?P<count>\d+) of (?P<total>\d+)"),
    re.compile(r"(?P<count>\d+) rejected"),
)


@dataclass(frozen=True)
class Law:
    """A law, with its name on the command line and in the table."""

    name: str
    function: str

    def test(self) -> object:
        """Returns the test of the law."""
        return getattr(laws, self.function)


LAWS = (
    Law("stuck", "test_no_relay_rejects_all_it_gets_for_seconds_without_an_attempt"),
    Law("unseen", "test_a_relay_that_has_seen_few_backends_probes_before_it_rejects"),
    Law("fresh", "test_a_fresh_relay_serves_its_share_within_seconds_where_the_fleet_has_room"),
    Law("idle", "test_no_slow_start_budget_lies_idle_while_requests_are_rejected"),
    Law("few", "test_few_relays_stay_within_a_cold_backends_allowance"),
    Law("hundreds", "test_hundreds_of_relays_stay_within_a_cold_backends_allowance"),
    Law("used", "test_some_of_a_cold_backends_allowance_is_used"),
)


@dataclass(frozen=True)
class Break:
    """A draw that violated a law."""

    law: str
    seed: int
    severity: float  # the requests that the message counts, divided by their total if it has one
    message: str
    draw: str


@dataclass(frozen=True)
class Result:
    """The result of one law for the draws of one seed."""

    law: str
    seed: int
    draws: int
    breaks: tuple[Break, ...]
    seconds: float


def severity_of(message: str) -> float:
    """Returns the severity of a violation, from the assertion's message; draws of a law are sorted by it."""
    for pattern in SEVERITY:
        match = pattern.search(message)
        if match:
            numbers = match.groupdict()
            return int(numbers["count"]) / int(numbers.get("total") or 1)
    return 0.0


def play(law: Law, draw_seed: int, draws: int) -> Result:
    """Runs one law with the draws of one seed."""
    statement = law.test().hypothesis.inner_test
    # The handle has the strategies of the test's arguments; hypothesis has no public name for them.
    strategies = law.test().hypothesis._given_kwargs
    played, breaks = 0, []

    @seed(draw_seed)
    @settings(
        max_examples=draws,
        derandomize=False,
        database=None,
        deadline=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(**strategies)
    def counted(**drawn: object) -> None:
        nonlocal played
        played += 1
        try:
            statement(**drawn)
        except AssertionError as error:
            message = str(error).split("\n")[0]
            text = ", ".join(f"{name}={value!r}" for name, value in drawn.items())
            breaks.append(Break(law.name, draw_seed, severity_of(message), message, text))

    started_at = time.monotonic()
    counted()
    return Result(law.name, draw_seed, played, tuple(breaks), time.monotonic() - started_at)


def interval(broken: int, draws: int) -> tuple[float, float]:
    """Returns the Wilson interval at 95% for the share of violations."""
    if not draws:
        return 0.0, 1.0
    share, square = broken / draws, STANDARD_DEVIATIONS**2
    center = (share + square / (2 * draws)) / (1 + square / draws)
    deviation = math.sqrt(share * (1 - share) / draws + square / (4 * draws**2))
    half = STANDARD_DEVIATIONS * deviation / (1 + square / draws)
    return max(0.0, center - half), min(1.0, center + half)


def parse_seeds(text: str) -> list[int]:
    """Returns the seeds of a list such as 1-10,42. Raises ArgumentTypeError if the list is invalid."""
    seeds = []
    for part in text.split(","):
        match = SEED_RANGE.fullmatch(part.strip())
        if not match:
            raise argparse.ArgumentTypeError(f"{text!r} is not a list of seeds such as 7 or 1-10,42")
        first, last = int(match[1]), int(match[2] or match[1])
        if last < first:
            raise argparse.ArgumentTypeError(f"{part.strip()!r} is a descending range")
        seeds += range(first, last + 1)
    return seeds


def play_all(chosen: list[Law], seeds: list[int], draws: int, jobs: int) -> Iterator[Result]:
    """Runs each law with each seed, with the given number of processes in parallel."""
    with ProcessPoolExecutor(jobs) as pool:
        futures = [pool.submit(play, law, one, draws) for law in chosen for one in seeds]
        for future in as_completed(futures):
            yield future.result()


def report(chosen: list[Law], results: list[Result], worst: int) -> None:
    """Prints a line for each law, and its most severe draws."""
    print("law       broken  draws  share   95%             by seed")
    for law in chosen:
        own = sorted((one for one in results if one.law == law.name), key=lambda one: one.seed)
        broken, draws = sum(len(one.breaks) for one in own), sum(one.draws for one in own)
        low, high = interval(broken, draws)
        by_seed = " ".join(str(len(one.breaks)) for one in own)
        share = broken / draws if draws else 0.0
        print(f"{law.name:9} {broken:6} {draws:6}  {share:.3f}   {low:.3f} to {high:.3f}  {by_seed}")
    for law in chosen:
        breaks = [one for result in results if result.law == law.name for one in result.breaks]
        for one in sorted(breaks, key=lambda one: one.severity, reverse=True)[:worst]:
            print(f"\n{law.name}, seed {one.seed}: {one.message}\n  {one.draw}")


def main() -> int:
    names = [law.name for law in LAWS]
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--law", action="append", choices=names, help="one law, may be repeated")
    parser.add_argument("--seeds", type=parse_seeds, default=[1], help="seeds, such as 7 or 1-10,42")
    parser.add_argument("--draws", type=int, default=30, help="deployments drawn with each seed")
    parser.add_argument("--jobs", type=int, default=1, help="processes side by side")
    parser.add_argument("--worst", type=int, default=3, help="draws that are shown of each law")
    parser.add_argument("--json", type=Path, help="a file for all results")
    arguments = parser.parse_args()
    if arguments.draws < 1 or arguments.jobs < 1:
        parser.error("--draws and --jobs are 1 at least")
    chosen = [law for law in LAWS if not arguments.law or law.name in arguments.law]
    results = []
    for result in play_all(chosen, arguments.seeds, arguments.draws, arguments.jobs):
        results.append(result)
        print(f"{result.law}, seed {result.seed}: {result.seconds:.0f} s", file=sys.stderr)
    report(chosen, results, arguments.worst)
    if arguments.json:
        arguments.json.write_text(json.dumps([asdict(result) for result in results], indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
