"""Runs of the rig: it detects relays that break a rule, and cedarledge breaks none in short scenarios."""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from pytest import mark

from cedarledge.cli import STANDINS_LATE
from cedarledge.standins.judge import RULES

# The rules that a relay can break by itself. The tests of the judge check the others.
RULES_BROKEN_BY_RELAYS = (
    "unanswered",
    "not_what_a_box_made",
    "overlapping_setups",
    "answered_twice",
    "lines_lost",
    "cut_without_move",
    "crashed",
    "late_sends_after_drain",
)
# Only the rules are checked in these scenarios, since the quality of service depends on the machine. They run
# in parallel, the longest first.
SHORT_SCENARIOS = (
    "ways",
    "waylist",
    "pause",
    "errors",
    "drain",
    "kill",
    "lyinglist",
    "roll",
    "rude",
    "returns",
)
PARALLEL_RUNS = 6

DRAIN_SCENARIO = """
title = "Drain, and bad clients"
seconds = 12
warm_up = 2
boxes = 4
rate = 12
life = 5
load = 0.3
[[fault]]
kind = "drain"
start = 3
length = 40
share = 0.5
"""

RUN_PROGRAM = """
import sys
from cedarledge.rig.run import run_plan
from cedarledge.rig.scenario import load_scenario
from cedarledge.rig.schedule import build_plan
from cedarledge.rig.variants import Variant
plan = build_plan(load_scenario(sys.argv[1]), 1, relays=1)
verdict = run_plan(plan, Variant("stub", [sys.executable, *sys.argv[2:]]))
print({rule: count for rule, count in verdict.counts.items() if count})
"""


def run_relay(*arguments: str) -> str:
    """Runs a scenario with a relay program; returns counts of the broken rules, and any error output."""
    process = subprocess.run(
        [sys.executable, "-c", RUN_PROGRAM, *arguments], capture_output=True, text=True, check=False
    )
    return process.stdout + process.stderr


def test_relays_that_break_a_rule_are_detected(tmp_path: Path) -> None:
    """Each run has a stub relay that breaks one rule; the verdict has to name that rule."""
    scenario = tmp_path / "short.toml"
    scenario.write_text(DRAIN_SCENARIO)
    stub = str(Path(__file__).with_name("broken_relay.py"))
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        outputs = dict(
            zip(
                RULES_BROKEN_BY_RELAYS,
                pool.map(lambda rule: run_relay(str(scenario), stub, rule), RULES_BROKEN_BY_RELAYS),
                strict=True,
            )
        )
    missed = {rule: output for rule, output in outputs.items() if f"'{rule}'" not in output}
    assert not missed


@mark.parametrize("first", range(0, len(SHORT_SCENARIOS), PARALLEL_RUNS))
def test_no_rule_breaks_in_short_scenarios(first: int, tmp_path: Path) -> None:
    """Runs in which the emulated systems were late prove nothing and count as passed.

    Runs whose processes were not ready in time are repeated once, one at a time.
    """
    not_ready = []

    def run(name: str) -> tuple[str, str]:
        out = tmp_path / f"{name}.json"
        process = subprocess.run(
            [
                sys.executable,
                "-m",
                "cedarledge",
                "rig",
                "run",
                name,
                "--seed",
                "3",
                "--boxes",
                "6",
                "--rate",
                "12",
                "--json",
                str(out),
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        if not out.exists():
            if process.returncode == STANDINS_LATE:
                not_ready.append(name)
            return name, process.stderr
        results = json.loads(out.read_text())
        broken = {} if results["standins_late"] else {rule: results[rule] for rule in RULES if results[rule]}
        return name, f"{broken} {results['findings']}" if broken else ""

    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        problems = dict(pool.map(run, SHORT_SCENARIOS[first : first + PARALLEL_RUNS]))
    # A machine may not have the processes of six runs ready in time; the repeated run decides.
    problems |= dict(map(run, tuple(not_ready)))
    assert not any(problems.values()), problems


# Scenarios with membership, and their numbers of relays.
MEMBERSHIP_SCENARIOS = {"peers": 5, "peers-restart": 4, "peers-ways": 4}


def test_relays_agree_on_membership_after_faults_and_break_no_rule(tmp_path: Path) -> None:
    """At the end all relays have the same view: running relays are alive in it, stopped ones are not."""

    def run(scenario: str) -> dict:
        out = tmp_path / f"{scenario}.json"
        sizes = [
            "--seed",
            "3",
            "--relays",
            str(MEMBERSHIP_SCENARIOS[scenario]),
            "--boxes",
            "6",
            "--rate",
            "12",
        ]
        command = [sys.executable, "-m", "cedarledge", "rig", "run", scenario, *sizes, "--json", str(out)]
        for _ in range(2):
            process = subprocess.run(command, capture_output=True, text=True, check=False)
            if process.returncode != STANDINS_LATE:
                break
        assert out.exists(), process.stderr
        return json.loads(out.read_text())

    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        verdicts = dict(zip(MEMBERSHIP_SCENARIOS, pool.map(run, MEMBERSHIP_SCENARIOS), strict=True))
    for scenario, results in verdicts.items():
        assert not {rule: results[rule] for rule in RULES if results[rule]}, (scenario, results["findings"])
        peers = results["peers"]
        seen = (peers["views"], peers["dead_but_reachable"], peers["missed_dead"])
        assert seen == (1, 0, 0), (scenario, peers)
        assert peers["agree_s"] < 8 and 0 < peers["bytes_per_s"] < 6000
    # In the other scenarios a relay may be back before its failure is detected.
    assert 1 < verdicts["peers"]["peers"]["detect_s"]["max"] < 9
