"""Soak test: random scenarios of overlapping faults, checked by the rules and the relays' own invariants."""

from __future__ import annotations

import random
import re
import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from cedarledge.rig.scenario import Fault, Scenario, load_scenario
from cedarledge.rig.schedule import build_plan
from cedarledge.standins.membership_audit import pause_spans

# Seconds without faults at the start, while relays get their clients, and at the end, so that the effects of
# the last faults are seen.
FAULT_FREE_START, FAULT_FREE_END = 4.0, 4.0
# Invariants that a relay may break if its process was suspended, since the pause makes it late.
EXCUSED_BY_PAUSE = ("LATE_ANSWER", "OVERDUE_REQUEST")
VIOLATION_PATTERN = re.compile(r"invariant broken: ([^:]+): (.*)")
TRACEBACK = "Traceback (most recent call last)"
# Exit codes of `rig run`.
RULES_KEPT, RULE_BROKEN = 0, 1
MAX_TRIES = 3


class FaultRange(msgspec.Struct, frozen=True):
    """The ranges that random faults of one kind are drawn from."""

    kind: str
    length: tuple[float, float]
    share: tuple[float, float] = (0.1, 0.4)
    size: tuple[float, ...] = (1.0,)
    period: tuple[float, float] = (0.0, 0.0)


# Each run has one of these; the other faults are drawn from OTHER_FAULTS.
CLOCK_STEP_FAULTS = (
    FaultRange("clock_step", (3, 12), (0.3, 1.0), (0.2, 30.0), (0.3, 2.0)),
    FaultRange("clock_step", (3, 12), (0.2, 0.6), (3000.0, 4000.0), (0.5, 3.0)),
)
OTHER_FAULTS = (
    FaultRange("slow", (3, 8), size=(4.0, 8.0)),
    FaultRange("hang", (2, 6), (0.1, 0.3)),
    FaultRange("errors", (2, 5), (0.1, 0.2)),
    FaultRange("late_up", (2, 5), (0.1, 0.2)),
    FaultRange("frozen", (3, 6)),
    FaultRange("crash", (3, 6), (0.1, 0.2)),
    FaultRange("elsewhere", (3, 6), (0.1, 0.2)),
    FaultRange("drain", (6, 10), (0.1, 0.3)),
    FaultRange("grow", (3, 4), (0.1, 0.2)),
    FaultRange("late_list", (3, 6), size=(0.2, 1.0)),
    FaultRange("no_list", (2, 6)),
    FaultRange("lying_list", (3, 6)),
    FaultRange("partition", (2, 5), (0.1, 0.3)),
    FaultRange("kill", (1, 4), (0.05, 0.2)),
    FaultRange("roll", (4, 8)),
    FaultRange("pause", (0.05, 0.15), (0.1, 0.5)),
    FaultRange("die_again", (1.5, 3), (0.05, 0.1), (1.0, 3.0)),
    FaultRange("storm", (1, 1), (0.1, 0.3)),
    FaultRange("rude", (3, 8), size=(4.0, 12.0)),
    FaultRange("signals", (3, 8), (0.2, 0.6), period=(0.05, 0.3)),
    FaultRange("system_calls", (1, 1), (0.2, 0.6), (0.001, 0.05)),
    FaultRange("way_cut", (2, 4), (0.1, 0.2)),
    FaultRange("way_one_way", (2, 4), (0.1, 0.2)),
    FaultRange("way_stall", (2, 4), (0.1, 0.2)),
    FaultRange("way_unread", (2, 4), (0.1, 0.2)),
    FaultRange("way_delay", (2, 4), (0.1, 0.2), (0.05, 0.2)),
)
OTHER_FAULTS_PER_RUN = (5, 9)
# Every fifth run has a flood: hundreds of misbehaving clients at relays with few descriptors.
FLOOD_EVERY = 5
FLOOD = FaultRange("rude", (5, 8), size=(60.0, 100.0))


class SoakResult(msgspec.Struct):
    """The result of one seed."""

    seed: int
    faults: list[str]
    rules: dict[str, int]  # violations by rule, from the emulated systems' event logs
    invariants: dict[str, int]  # violations by invariant, from the relays' logs
    tracebacks: int  # in the relays' logs
    connections: int
    findings: list[str]
    problem: str = ""  # why the run could not be made or is invalid

    @property
    def passed(self) -> bool:
        """True if the run was valid, kept all rules and invariants and logged no traceback."""
        return not (self.rules or self.invariants or self.tracebacks or self.problem)


def soak_scenario(seed: int, relays: int | None = None, seconds: float | None = None) -> Scenario:
    """Returns the scenario of a seed. The sizes given override those that are drawn."""
    rng = random.Random(seed)
    drawn_relays, drawn_seconds = rng.randint(12, 24), rng.uniform(18, 26)
    duration = seconds or drawn_seconds
    ranges = [
        rng.choice(CLOCK_STEP_FAULTS),
        *rng.sample(OTHER_FAULTS, rng.randint(*OTHER_FAULTS_PER_RUN)),
    ]
    has_flood = seed % FLOOD_EVERY == 0
    if has_flood:
        ranges.append(FLOOD)
    faults = tuple(_draw_fault(rng, fault_range, duration) for fault_range in ranges)
    return Scenario(
        title=f"Soak {seed}",
        name=f"soak-{seed}",
        seconds=duration,
        warm_up=3.0,
        relays=relays or drawn_relays,
        boxes=rng.randint(8, 18),
        rate=rng.uniform(25, 50),
        life=rng.uniform(5, 9),
        load=rng.uniform(0.3, 0.5),
        sockets=192 if has_flood else 1024,
        fault=tuple(sorted(faults, key=lambda fault: fault.start)),
    )


def _draw_fault(rng: random.Random, fault_range: FaultRange, duration: float) -> Fault:
    latest_end = duration - FAULT_FREE_END
    length = rng.uniform(*fault_range.length)
    start = rng.uniform(FAULT_FREE_START, max(FAULT_FREE_START, latest_end - length))
    return Fault(
        fault_range.kind,
        round(start, 2),
        round(min(length, max(0.05, latest_end - start)), 2),
        round(rng.uniform(*fault_range.share), 2),
        fault_range.size,
        period=round(rng.uniform(*fault_range.period), 2),
    )


def broken_invariants(logs: Sequence[Path], excused: frozenset[int]) -> Iterator[tuple[str, str]]:
    """Yields the invariant's name and the log line of each violation in the relays' logs, `relay-N.log`.

    `excused` are the relays whose processes were suspended; see EXCUSED_BY_PAUSE.
    """
    from cedarledge.net.invariants import Invariant

    names = {invariant.value: invariant.name for invariant in Invariant}
    for path in logs:
        relay = int(path.stem.rpartition("-")[2])
        for line in path.read_text(errors="replace").splitlines():
            match = VIOLATION_PATTERN.search(line)
            if match is None:
                continue
            name = names.get(match[1], match[1])
            if not (relay in excused and name in EXCUSED_BY_PAUSE):
                yield name, f"relay {relay}: {line}"


def soak_one(seed: int, folder: Path, relays: int | None = None, seconds: float | None = None) -> SoakResult:
    """Runs one seed in a process of its own and keeps its files in the folder.

    A run in which the emulated systems were late is invalid and repeated.
    """
    folder.mkdir(parents=True, exist_ok=True)
    scenario = soak_scenario(seed, relays, seconds)
    path, out = folder / "scenario.toml", folder / "out.json"
    path.write_text(tomli_w.dumps(msgspec.to_builtins(scenario)))
    plan = build_plan(load_scenario(str(path)), seed)
    result = SoakResult(seed, [fault.kind for fault in scenario.fault], {}, {}, 0, 0, [])
    for _ in range(MAX_TRIES):
        out.unlink(missing_ok=True)
        for log in folder.glob("relay-*.log"):
            log.unlink()
        command = [sys.executable, "-m", "cedarledge", "rig", "run", str(path), "--seed", str(seed)]
        process = subprocess.run(
            [*command, "--keep", str(folder), "--json", str(out)], capture_output=True, text=True, check=False
        )
        result.problem = (
            process.stderr.strip()[-500:] if process.returncode not in (RULES_KEPT, RULE_BROKEN) else ""
        )
        if not out.exists():
            result.problem = result.problem or process.stderr.strip()[-500:] or "no result"
        elif msgspec.json.decode(out.read_bytes())["standins_late"]:
            result.problem = "the emulated systems ran late"
        else:
            break
    else:
        return result
    return _evaluate(result, msgspec.json.decode(out.read_bytes()), folder, frozenset(pause_spans(plan)))


def _evaluate(
    result: SoakResult, run_results: dict[str, Any], folder: Path, paused_relays: frozenset[int]
) -> SoakResult:
    result.problem = ""
    result.rules = dict(Counter(finding["rule"] for finding in run_results["findings"]))
    result.connections = run_results["connections"]
    result.findings = [
        f"{finding['at'] / 1e9:.3f} {finding['rule']}: {finding['what']}"
        for finding in run_results["findings"][:20]
    ]
    logs = sorted(folder.glob("relay-*.log"))
    violations = list(broken_invariants(logs, paused_relays))
    result.invariants = dict(Counter(name for name, _ in violations))
    result.findings += [line for _, line in violations[:20]]
    result.tracebacks = sum(log.read_text(errors="replace").count(TRACEBACK) for log in logs)
    return result


def soak_all(
    seeds: Sequence[int],
    jobs: int,
    folder: Path,
    done: Callable[[SoakResult], None],
    relays: int | None = None,
    seconds: float | None = None,
) -> list[SoakResult]:
    """Runs the seeds, `jobs` at a time, each in a subfolder, and returns the results in order.

    Calls `done` with each result as soon as it is known.
    """

    def one(seed: int) -> SoakResult:
        result = soak_one(seed, folder / str(seed), relays, seconds)
        done(result)
        return result

    with ThreadPoolExecutor(max_workers=jobs) as pool:
        return list(pool.map(one, seeds))
