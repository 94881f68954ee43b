"""Plays the parts of a scenario one after the other, each a measurement run with its curves."""

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

Report = Callable[[str], None]

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
# Hollow relays to a process where they are compared with real ones.
HOLLOW_A_PROCESS = 8
# Hollow relays that all start within this make a record apart from those that start one by one.
MASS_START = 1.0
# Where times until a change is known are not what is measured.
CHANGE_AWAITED, START_OVER = 1.0, 1.0
SECONDS_PREFIXES = ("whole_view_after", "change_known", "death_seen", "backend_seen")


class Played(NamedTuple):
    """One size of a part, and what was measured there."""

    size: int
    sample: msgspec.Struct


class _Limit:
    """Ends a run between two sizes once its time is over."""

    def __init__(self, seconds: float) -> None:
        self.until = time.monotonic() + seconds

    def over(self) -> bool:
        return time.monotonic() > self.until


def unit_of(quantity: str) -> str:
    """By the name of a quantity."""
    if quantity.startswith(SECONDS_PREFIXES):
        return "s"
    return UNITS.get(quantity, "a second" if quantity.endswith("second") else "")


def curves_of(played: Iterable[Played]) -> tuple[Curve, ...]:
    """A curve for each field of the samples."""
    measured: dict[str, dict[float, list[float]]] = defaultdict(lambda: defaultdict(list))
    for size, sample in played:
        for quantity, value in msgspec.structs.asdict(sample).items():
            measured[quantity][size].append(float(value))
    return tuple(curve_of(quantity, unit_of(quantity), sizes) for quantity, sizes in measured.items())


def commit_of() -> str:
    """The commit of the checkout that runs, with a plus where files of the package differ from it."""
    here = Path(__file__).parent
    try:
        commit = _git(here, "rev-parse", "--short=12", "HEAD")
        changed = _git(here, "status", "--porcelain", "--", str(here.parent))
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return commit + ("+" if changed else "")


def _git(folder: Path, *arguments: str) -> str:
    done = subprocess.run(["git", *arguments], cwd=folder, capture_output=True, text=True, check=True)
    return done.stdout.strip()


class Runner:
    """Plays one scenario. `report` is told of each size that is done."""

    def __init__(self, scenario: ScaleScenario, command: str, seed: int, jobs: int, report: Report) -> None:
        self.scenario = scenario
        self.command = command
        self.seed = seed
        self.jobs = jobs
        self.report = report
        self.commit = commit_of()
        self.limit = _Limit(scenario.limit_s)

    def runs(self, only: tuple[str, ...] = ()) -> Iterator[MeasurementRun]:
        """One after the other, as each is done; with `only`, just those parts."""
        for name in PARTS:
            part = getattr(self.scenario, name)
            if (only and name not in only) or not _has_sizes(part):
                continue
            yield from PARTS[name](self, part)

    def record(
        self, name: str, size_of: str, began: float, played: Iterable[Played], notes: str = ""
    ) -> MeasurementRun:
        """What was played as a run with its curves."""
        return MeasurementRun(
            name,
            self.command,
            self.commit,
            size_of,
            round(time.monotonic() - began, 1),
            curves_of(played),
            notes,
        )

    def play(self, name: str, calls: list[tuple[int, Callable[[], Any]]], jobs: int) -> list[Played]:
        """Each call's sample; what begins past the limit is left out, and said."""
        played: list[Played] = []
        if jobs == 1:
            for size, call in calls:
                if not self._may_begin(name, size):
                    break
                played.append(Played(size, call()))
                self._tell(name, played[-1])
            return played
        with ProcessPoolExecutor(jobs) as pool:
            for size, future in [(size, pool.submit(call)) for size, call in calls]:
                if self.limit.over() and future.cancel():
                    self._may_begin(name, size)
                    continue
                played.append(Played(size, future.result()))
                self._tell(name, played[-1])
        return played

    def _may_begin(self, name: str, size: int) -> bool:
        if not self.limit.over():
            return True
        self.report(f"{name}: size {size} and what follows left out, the scenario's limit_s is over")
        return False

    def _tell(self, name: str, played: Played) -> None:
        told = " ".join(f"{key}={value:.4g}" for key, value in msgspec.structs.asdict(played.sample).items())
        self.report(f"{name} {played.size}: {told}")


def _has_sizes(part: msgspec.Struct) -> bool:
    return any(isinstance(value, tuple) and value for value in msgspec.structs.asdict(part).values())


def _membership(runner: Runner, part: MembershipPart) -> Iterator[MeasurementRun]:
    began = time.monotonic()
    calls = [
        (size, partial(membership.measure, size, runner.seed + turn, part.calm_s, part.loss, part.changing))
        for size in part.sizes
        for turn in range(1 if size > part.most_samples_over else part.seeds)
    ]
    records = "change all the time as connections come and go" if part.changing else "do not change"
    change_most, death_most = (
        span / SECOND for span in (membership.CHANGE_AWAITED, membership.DEATH_AWAITED)
    )
    notes = (
        f"Virtual time, 1 ms a way, {part.loss:.0%} lost; records {records}. Times until a change is known "
        f"end at {change_most:g} s, until a death is at {death_most:g} s. Processor time has the model's own "
        "in it."
    )
    name = "membership" if part.changing else "membership_still"
    if part.loss:
        name += f"_loss_{part.loss * 100:.0f}"
    yield runner.record(name, "members", began, runner.play(name, calls, runner.jobs), notes)


class ViewSample(msgspec.Struct, frozen=True):
    """Memory of one view."""

    bytes: float


def _measure_view(size: int) -> ViewSample:
    return ViewSample(membership.view_bytes(size))


def _view(runner: Runner, part: ViewPart) -> Iterator[MeasurementRun]:
    began = time.monotonic()
    played = runner.play("view", [(size, partial(_measure_view, size)) for size in part.sizes], 1)
    notes = "Allocated by one member for its view, by tracemalloc; the view has a bound of 4,096 members."
    yield runner.record("view", "members", began, played, notes)


def _quorum(runner: Runner, part: QuorumPart) -> Iterator[MeasurementRun]:
    began = time.monotonic()
    calls = [
        (
            count,
            partial(quorum.measure, count, runner.seed + turn, part.decisions, part.delay_ms, part.loss),
        )
        for count in part.voters
        for turn in range(part.seeds)
    ]
    notes = (
        f"Virtual time, {part.delay_ms:g} ms a way, {part.loss:.0%} lost, {part.decisions} decisions a seed."
    )
    yield runner.record("quorum", "voters", began, runner.play("quorum", calls, runner.jobs), notes)


def _probing(runner: Runner, part: ProbingPart) -> Iterator[MeasurementRun]:
    for name, sizes in (("relays", part.relays), ("backends", part.backends)):
        if not sizes:
            continue
        began = time.monotonic()
        calls = []
        for size in sizes:
            relays, backends = (size, part.fixed_backends) if name == "relays" else (part.fixed_relays, size)
            for turn in range(part.seeds):
                seed = runner.seed + turn
                calls.append((size, partial(probing.measure, relays, backends, seed, part.calm_s)))
        other = f"{part.fixed_backends} backends" if name == "relays" else f"{part.fixed_relays} relays"
        notes = (
            f"Virtual time, relays without clients, {other}; at most {probing.MOST_PLAYED} relays are played "
            "and stand for the others."
        )
        played = runner.play(f"probing_{name}", calls, runner.jobs)
        yield runner.record(f"probing_{name}", name, began, played, notes)


def _settle_seconds(part: HollowPart, size: int) -> float:
    return part.settle_s + part.settle_s_per_member * size


def _hollow(runner: Runner, part: HollowPart) -> Iterator[MeasurementRun]:
    began = time.monotonic()
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
    name = "hollow" if part.start_s <= MASS_START else "hollow_spread"
    yield runner.record(name, "relays", began, runner.play(name, calls, 1), notes)


def _compare(runner: Runner, part: ComparePart) -> Iterator[MeasurementRun]:
    """Real and hollow in turn, so that what else the machine does falls on both."""
    began = time.monotonic()
    real: list[Played] = []
    light: list[Played] = []
    for size in part.sizes:
        for _ in range(part.repeats):
            spans = part.settle_s, part.calm_s
            real += runner.play("real", [(size, partial(comparison.measure, size, part.backends, *spans))], 1)
            processes = max(1, size // HOLLOW_A_PROCESS)
            light += runner.play(
                "hollow",
                [
                    (
                        size,
                        partial(
                            hollow.measure, size, processes, part.backends, START_OVER, *spans, CHANGE_AWAITED
                        ),
                    )
                ],
                1,
            )
    notes = f"Without clients, {part.backends} backends; real and hollow relays in turn."
    yield runner.record("compare_real", "relays", began, real, notes)
    yield runner.record("compare_hollow", "relays", began, light, notes)


def _relay(runner: Runner, part: RelayPart) -> Iterator[MeasurementRun]:
    if part.connections:
        began = time.monotonic()
        calls = [
            (count, partial(relay_load.measure_rest, count, part.backends, part.settle_s, part.calm_s))
            for count in part.connections
            for _ in range(part.repeats)
        ]
        notes = f"One relay process, {part.backends} backends; memory of the process, without the kernel's."
        played = runner.play("relay_rest", calls, 1)
        yield runner.record("relay_rest", "connections", began, played, notes)
    if part.deliveries:
        began = time.monotonic()
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
        played = runner.play("relay_deliveries", calls, 1)
        yield runner.record("relay_deliveries", "deliveries/s", began, played, notes)


PARTS: dict[str, Callable[[Runner, Any], Iterator[MeasurementRun]]] = {
    "view": _view,
    "quorum": _quorum,
    "probing": _probing,
    "relay": _relay,
    "compare": _compare,
    "hollow": _hollow,
    "membership": _membership,
}
