"""Random scenarios of overlapping faults, judged by the rules and by the relays' own invariants."""

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

# Faults begin once the relays hold clients, and end before the run does, so that their effects are seen.
FIRST_FAULT, LAST_FAULT_BEFORE_END = 4.0, 4.0
# What a relay whose process stood still may say of itself: the pause is part of its lateness.
EXCUSED_BY_PAUSE = ("LATE_ANSWER", "OVERDUE_REQUEST")
BROKEN_LINE = re.compile(r"invariant broken: ([^:]+): (.*)")
TRACEBACK = "Traceback (most recent call last)"
# Exit codes of `rig run`.
HOLDS, BROKEN = 0, 1
TRIES = 3


class FaultRange(msgspec.Struct, frozen=True):
    """What a random fault of one kind may be."""

    kind: str
    length: tuple[float, float]
    share: tuple[float, float] = (0.1, 0.4)
    size: tuple[float, ...] = (1.0,)
    period: tuple[float, float] = (0.0, 0.0)


# Steps of a wall clock, in every run; the others are drawn.
CLOCK_STEPS = (
    FaultRange("clock_step", (3, 12), (0.3, 1.0), (0.2, 30.0), (0.3, 2.0)),
    FaultRange("clock_step", (3, 12), (0.2, 0.6), (3000.0, 4000.0), (0.5, 3.0)),
)
OTHERS = (
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
FAULTS_A_RUN = (5, 9)
# Every so many runs have a crowd: bad clients by the hundred on few descriptors.
CROWD_EVERY = 5
CROWD = FaultRange("rude", (5, 8), size=(60.0, 100.0))


class SoakResult(msgspec.Struct):
    """What came of one seed."""

    seed: int
    faults: list[str]
    rules: dict[str, int]  # broken, by the emulated systems' records
    invariants: dict[str, int]  # broken, by what the relays say of themselves
    tracebacks: int  # in relays' logs
    connections: int
    findings: list[str]
    problem: str = ""  # why the run could not be made or counts for nothing

    @property
    def passed(self) -> bool:
        return not (self.rules or self.invariants or self.tracebacks or self.problem)


def soak_scenario(seed: int, relays: int | None = None, seconds: float | None = None) -> Scenario:
    """The scenario of a seed. The sizes given go before those that are drawn."""
    chance = random.Random(seed)
    drawn_relays, drawn_seconds = chance.randint(12, 24), chance.uniform(18, 26)
    length = seconds or drawn_seconds
    kinds = [chance.choice(CLOCK_STEPS), *chance.sample(OTHERS, chance.randint(*FAULTS_A_RUN))]
    has_crowd = seed % CROWD_EVERY == 0
    if has_crowd:
        kinds.append(CROWD)
    faults = tuple(_fault(chance, kind, length) for kind in kinds)
    return Scenario(
        title=f"Soak {seed}",
        name=f"soak-{seed}",
        seconds=length,
        warm_up=3.0,
        relays=relays or drawn_relays,
        boxes=chance.randint(8, 18),
        rate=chance.uniform(25, 50),
        life=chance.uniform(5, 9),
        load=chance.uniform(0.3, 0.5),
        sockets=192 if has_crowd else 1024,
        fault=tuple(sorted(faults, key=lambda fault: fault.start)),
    )


def _fault(chance: random.Random, kind: FaultRange, seconds: float) -> Fault:
    last = seconds - LAST_FAULT_BEFORE_END
    length = chance.uniform(*kind.length)
    start = chance.uniform(FIRST_FAULT, max(FIRST_FAULT, last - length))
    return Fault(
        kind.kind,
        round(start, 2),
        round(min(length, max(0.05, last - start)), 2),
        round(chance.uniform(*kind.share), 2),
        kind.size,
        period=round(chance.uniform(*kind.period), 2),
    )


def broken_invariants(logs: Sequence[Path], excused: frozenset[int]) -> Iterator[tuple[str, str]]:
    """Each violation in relays' logs, `relay-N.log`: its name and its line. `excused` are the relays whose
    processes stood still."""
    from cedarledge.net.invariants import Invariant

    names = {invariant.value: invariant.name for invariant in Invariant}
    for path in logs:
        relay = int(path.stem.rpartition("-")[2])
        for line in path.read_text(errors="replace").splitlines():
            found = BROKEN_LINE.search(line)
            if found is None:
                continue
            name = names.get(found[1], found[1])
            if not (relay in excused and name in EXCUSED_BY_PAUSE):
                yield name, f"relay {relay}: {line}"


def soak_one(seed: int, folder: Path, relays: int | None = None, seconds: float | None = None) -> SoakResult:
    """Plays one seed in a process of its own and keeps its files in the folder. A run in which the emulated
    systems were late counts for nothing and is made again."""
    folder.mkdir(parents=True, exist_ok=True)
    scenario = soak_scenario(seed, relays, seconds)
    path, out = folder / "scenario.toml", folder / "out.json"
    path.write_text(tomli_w.dumps(msgspec.to_builtins(scenario)))
    plan = build_plan(load_scenario(str(path)), seed)
    result = SoakResult(seed, [fault.kind for fault in scenario.fault], {}, {}, 0, 0, [])
    for _ in range(TRIES):
        out.unlink(missing_ok=True)
        for log in folder.glob("relay-*.log"):
            log.unlink()
        command = [sys.executable, "-m", "cedarledge", "rig", "run", str(path), "--seed", str(seed)]
        done = subprocess.run(
            [*command, "--keep", str(folder), "--json", str(out)], capture_output=True, text=True, check=False
        )
        result.problem = done.stderr.strip()[-500:] if done.returncode not in (HOLDS, BROKEN) else ""
        if not out.exists():
            result.problem = result.problem or done.stderr.strip()[-500:] or "no result"
        elif msgspec.json.decode(out.read_bytes())["standins_late"]:
            result.problem = "the emulated systems ran late"
        else:
            break
    else:
        return result
    return _judged(result, msgspec.json.decode(out.read_bytes()), folder, frozenset(pause_spans(plan)))


def _judged(
    result: SoakResult, told: dict[str, Any], folder: Path, stood_still: frozenset[int]
) -> SoakResult:
    result.problem = ""
    result.rules = dict(Counter(finding["rule"] for finding in told["findings"]))
    result.connections = told["connections"]
    result.findings = [
        f"{finding['at'] / 1e9:.3f} {finding['rule']}: {finding['what']}" for finding in told["findings"][:20]
    ]
    logs = sorted(folder.glob("relay-*.log"))
    broken = list(broken_invariants(logs, stood_still))
    result.invariants = dict(Counter(name for name, _ in broken))
    result.findings += [line for _, line in broken[:20]]
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
    """Plays the seeds, so many side by side, each in a folder of its own."""

    def one(seed: int) -> SoakResult:
        result = soak_one(seed, folder / str(seed), relays, seconds)
        done(result)
        return result

    with ThreadPoolExecutor(max_workers=jobs) as pool:
        return list(pool.map(one, seeds))
