"""Runs the parts of a scenario one after the other and turns each into records with fitted curves."""

from __future__ import annotations

import subprocess
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from cedarledge.scale import comparison, hollow, membership, probing, quorum, relay_load
from cedarledge.scale.scenario import (
    ComparePart,
    HollowPart,
    MembershipPart,
    ProbingPart,
    QuorumPart,
    RelayPart,
    ScaleScenario,
    ViewPart,
)
from cedarledge.scale.slopes import Curve, MeasurementRun, curve_of
from cedarledge.terms import SECOND

ProgressReporter = Callable[[str], None]

UNITS = {
    "bytes": "bytes",
    "milliseconds": "ms",
    "messages": "messages",
    "processor_ms": "ms of a core",
    "processor_ms_per_second": "ms of a core a second",
    "bytes_per_second": "bytes/s",
    "messages_per_second": "messages/s",
    "false_suspicions_per_minute": "a member a minute",
    "undecided": "decisions",
    "memory_bytes": "bytes",
    "process_base_bytes": "bytes",
    "resident_bytes": "bytes",
    "processor_ms_per_open": "ms of a core",
    "opens_per_second": "a second",
    "latency_p50_ms": "ms",
    "latency_p99_ms": "ms",
    "latency_max_ms": "ms",
    "generator_late_ms": "ms",
    "lost": "connections",
    "false_deaths": "views",
}
# Hollow relays per process in the comparison with real relays.
HOLLOW_RELAYS_PER_PROCESS = 8
# Runs of hollow relays that all start within this time are stored as run `hollow`; those whose starts are
# spread over a longer time are stored as run `hollow_spread`.
MASS_START_SECONDS = 1.0
# Timeout of a change and spread of the starts in the comparison, which does not evaluate how long a change
# takes to be known.
CHANGE_TIMEOUT_SECONDS, START_SPREAD_SECONDS = 1.0, 1.0
SECONDS_PREFIXES = ("whole_view_after", "change_known", "death_seen", "backend_seen")


class SizeResult(NamedTuple):
    """One measurement: a size (relays, connections, ...) and the sample that was measured at it."""

    size: int
    sample: msgspec.Struct


class _Deadline:
    """The time limit of a scenario, checked before each measurement starts."""

    def __init__(self, seconds: float) -> None:
        """Starts the limit, which ends after `seconds`."""
        self.ends_at = time.monotonic() + seconds

    def passed(self) -> bool:
        """Returns whether the limit has been reached."""
        return time.monotonic() > self.ends_at


def unit_of(quantity: str) -> str:
    """Returns the unit of a quantity, derived from its name; empty if it has none."""
    if quantity.startswith(SECONDS_PREFIXES):
        return "s"
    return UNITS.get(quantity, "a second" if quantity.endswith("second") else "")


def curves_of(results: Iterable[SizeResult]) -> tuple[Curve, ...]:
    """Returns one curve for each field of the samples."""
    measured: dict[str, dict[float, list[float]]] = defaultdict(lambda: defaultdict(list))
    for size, sample in results:
        for quantity, value in msgspec.structs.asdict(sample).items():
            measured[quantity][size].append(float(value))
    return tuple(curve_of(quantity, unit_of(quantity), sizes) for quantity, sizes in measured.items())


def checkout_commit() -> str:
    """Returns the abbreviated commit of the running checkout, "unknown" outside of one.

    A `+` is appended if files of the package differ from the commit.
    """
    here = Path(__file__).parent
    try:
        commit = _git(here, "rev-parse", "--short=12", "HEAD")
        changed = _git(here, "status", "--porcelain", "--", str(here.parent))
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return commit + ("+" if changed else "")


def _git(folder: Path, *arguments: str) -> str:
    completed = subprocess.run(["git", *arguments], cwd=folder, capture_output=True, text=True, check=True)
    return completed.stdout.strip()


class Runner:
    """Runs the parts of one scenario."""

    def __init__(
        self, scenario: ScaleScenario, command: str, seed: int, jobs: int, report_progress: ProgressReporter
    ) -> None:
        """Starts the scenario's time limit.

        `command` is stored with each record. `seed` is the first of the seeds, `jobs` the number of
        virtual-time runs in parallel. `report_progress` gets a line of text for each completed measurement.
        """
        self.scenario = scenario
        self.command = command
        self.seed = seed
        self.jobs = jobs
        self.report_progress = report_progress
        self.commit = checkout_commit()
        self.deadline = _Deadline(scenario.limit_s)

    def runs(self, only: tuple[str, ...] = ()) -> Iterator[MeasurementRun]:
        """Yields the record of each run when it has completed; `only` restricts the parts that run."""
        for name in PARTS:
            part = getattr(self.scenario, name)
            if (only and name not in only) or not _has_sizes(part):
                continue
            yield from PARTS[name](self, part)

    def record(
        self, name: str, size_of: str, started_at: float, results: Iterable[SizeResult], notes: str = ""
    ) -> MeasurementRun:
        """Returns the record of a run, with curves fitted to the results."""
        return MeasurementRun(
            name,
            self.command,
            self.commit,
            size_of,
            round(time.monotonic() - started_at, 1),
            curves_of(results),
            notes,
        )

    def execute(self, name: str, calls: list[tuple[int, Callable[[], Any]]], jobs: int) -> list[SizeResult]:
        """Executes the calls, in `jobs` processes if more than one, and returns their samples.

        Calls that have not started when the time limit passes are skipped and reported.
        """
        results: list[SizeResult] = []
        if jobs == 1:
            for size, call in calls:
                if not self._may_start(name, size):
                    break
                results.append(SizeResult(size, call()))
                self._report_result(name, results[-1])
            return results
        with ProcessPoolExecutor(jobs) as pool:
            for size, future in [(size, pool.submit(call)) for size, call in calls]:
                if self.deadline.passed() and future.cancel():
                    self._may_start(name, size)
                    continue
                results.append(SizeResult(size, future.result()))
                self._report_result(name, results[-1])
        return results

    def _may_start(self, name: str, size: int) -> bool:
        if not self.deadline.passed():
            return True
        self.report_progress(
            f"{name}: size {size} and the following ones skipped, limit_s of the scenario has passed"
        )
        return False

    def _report_result(self, name: str, result: SizeResult) -> None:
        figures = " ".join(
            f"{key}={value:.4g}" for key, value in msgspec.structs.asdict(result.sample).items()
        )
        self.report_progress(f"{name} {result.size}: {figures}")


def _has_sizes(part: msgspec.Struct) -> bool:
    return any(isinstance(value, tuple) and value for value in msgspec.structs.asdict(part).values())


def _membership(runner: Runner, part: MembershipPart) -> Iterator[MeasurementRun]:
    started_at = time.monotonic()
    calls = [
        (
            size,
            partial(
                membership.measure, size, runner.seed + repetition, part.calm_s, part.loss, part.changing
            ),
        )
        for size in part.sizes
        for repetition in range(1 if size > part.most_samples_over else part.seeds)
    ]
    records = "change all the time as connections come and go" if part.changing else "do not change"
    change_timeout, death_timeout = (
        span / SECOND for span in (membership.CHANGE_TIMEOUT, membership.DEATH_TIMEOUT)
    )
    notes = (
        f"Virtual time, 1 ms a way, {part.loss:.0%} lost; records {records}. Times until a change is known "
        f"end at {change_timeout:g} s, until a death is at {death_timeout:g} s. Processor time has the "
        "model's own in it."
    )
    name = "membership" if part.changing else "membership_still"
    if part.loss:
        name += f"_loss_{part.loss * 100:.0f}"
    yield runner.record(name, "members", started_at, runner.execute(name, calls, runner.jobs), notes)


class ViewSample(msgspec.Struct, frozen=True):
    """Memory of one member's view, in bytes."""

    bytes: float


def _measure_view(size: int) -> ViewSample:
    return ViewSample(membership.view_bytes(size))


def _view(runner: Runner, part: ViewPart) -> Iterator[MeasurementRun]:
    started_at = time.monotonic()
    results = runner.execute("view", [(size, partial(_measure_view, size)) for size in part.sizes], 1)
    notes = "Allocated by one member for its view, by tracemalloc; the view has a bound of 4,096 members."
    yield runner.record("view", "members", started_at, results, notes)


def _quorum(runner: Runner, part: QuorumPart) -> Iterator[MeasurementRun]:
    started_at = time.monotonic()
    calls = [
        (
            count,
            partial(
                quorum.measure, count, runner.seed + repetition, part.decisions, part.delay_ms, part.loss
            ),
        )
        for count in part.voters
        for repetition in range(part.seeds)
    ]
    notes = (
        f"Virtual time, {part.delay_ms:g} ms a way, {part.loss:.0%} lost, {part.decisions} decisions a seed."
    )
    yield runner.record("quorum", "voters", started_at, runner.execute("quorum", calls, runner.jobs), notes)


def _probing(runner: Runner, part: ProbingPart) -> Iterator[MeasurementRun]:
    for name, sizes in (("relays", part.relays), ("backends", part.backends)):
        if not sizes:
            continue
        started_at = time.monotonic()
        calls = []
        for size in sizes:
            relays, backends = (size, part.fixed_backends) if name == "relays" else (part.fixed_relays, size)
            for repetition in range(part.seeds):
                seed = runner.seed + repetition
                calls.append((size, partial(probing.measure, relays, backends, seed, part.calm_s)))
        other = f"{part.fixed_backends} backends" if name == "relays" else f"{part.fixed_relays} relays"
        notes = (
            f"Virtual time, relays without clients, {other}; at most {probing.MAX_SIMULATED_RELAYS} relays "
            "are played and stand for the others."
        )
        results = runner.execute(f"probing_{name}", calls, runner.jobs)
        yield runner.record(f"probing_{name}", name, started_at, results, notes)


def _settle_seconds(part: HollowPart, size: int) -> float:
    return part.settle_s + part.settle_s_per_member * size


def _hollow(runner: Runner, part: HollowPart) -> Iterator[MeasurementRun]:
    started_at = time.monotonic()
    calls = [
        (
            size,
            partial(
                hollow.measure,
                size,
                part.processes,
                part.backends,
                part.start_s,
                _settle_seconds(part, size),
                part.calm_s,
                part.change_s,
            ),
        )
        for size in part.sizes
        for _ in range(part.repeats)
    ]
    notes = (
        f"UDP on loopback, {part.processes} processes at most, all started within {part.start_s:g} s; "
        f"records change all the time; {part.backends} backends, probes counted and not sent. Times until a "
        f"change is known end at {part.change_s:g} s; whole_view_after is -1 where not all views were whole "
        "in time."
    )
    name = "hollow" if part.start_s <= MASS_START_SECONDS else "hollow_spread"
    yield runner.record(name, "relays", started_at, runner.execute(name, calls, 1), notes)


def _compare(runner: Runner, part: ComparePart) -> Iterator[MeasurementRun]:
    """Alternates real and hollow relays, so that other load on the machine affects both alike."""
    started_at = time.monotonic()
    real_results: list[SizeResult] = []
    hollow_results: list[SizeResult] = []
    for size in part.sizes:
        for _ in range(part.repeats):
            durations = part.settle_s, part.calm_s
            real_results += runner.execute(
                "real", [(size, partial(comparison.measure, size, part.backends, *durations))], 1
            )
            processes = max(1, size // HOLLOW_RELAYS_PER_PROCESS)
            hollow_results += runner.execute(
                "hollow",
                [
                    (
                        size,
                        partial(
                            hollow.measure,
                            size,
                            processes,
                            part.backends,
                            START_SPREAD_SECONDS,
                            *durations,
                            CHANGE_TIMEOUT_SECONDS,
                        ),
                    )
                ],
                1,
            )
    notes = f"Without clients, {part.backends} backends; real and hollow relays in turn."
    yield runner.record("compare_real", "relays", started_at, real_results, notes)
    yield runner.record("compare_hollow", "relays", started_at, hollow_results, notes)


def _relay(runner: Runner, part: RelayPart) -> Iterator[MeasurementRun]:
    if part.connections:
        started_at = time.monotonic()
        calls = [
            (count, partial(relay_load.measure_idle, count, part.backends, part.settle_s, part.calm_s))
            for count in part.connections
            for _ in range(part.repeats)
        ]
        notes = f"One relay process, {part.backends} backends; memory of the process, without the kernel's."
        results = runner.execute("relay_rest", calls, 1)
        yield runner.record("relay_rest", "connections", started_at, results, notes)
    if part.deliveries:
        started_at = time.monotonic()
        count, size = part.connections_for_deliveries, part.line_bytes
        calls = [
            (
                rate,
                partial(
                    relay_load.measure_deliveries,
                    rate,
                    count,
                    part.backends,
                    size,
                    part.settle_s,
                    part.calm_s,
                ),
            )
            for rate in part.deliveries
            for _ in range(part.repeats)
        ]
        notes = f"One relay process, {count} connections, lines of {size} bytes from backend to client."
        results = runner.execute("relay_deliveries", calls, 1)
        yield runner.record("relay_deliveries", "deliveries/s", started_at, results, notes)


PARTS: dict[str, Callable[[Runner, Any], Iterator[MeasurementRun]]] = {
    "view": _view,
    "quorum": _quorum,
    "probing": _probing,
    "relay": _relay,
    "compare": _compare,
    "hollow": _hollow,
    "membership": _membership,
}
