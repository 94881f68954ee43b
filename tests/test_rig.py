"""The rig as it runs: relays that break a rule are found out, and cedarledge breaks none in short
scenarios."""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from pytest import mark

from cedarledge.cli import STANDINS_LATE
from cedarledge.standins.judge import RULES

# The rules that a relay can break by itself; the others are the judge's own tests'.
BROKEN = (
    "unanswered",
    "not_what_a_box_made",
    "overlapping_setups",
    "answered_twice",
    "lines_lost",
    "cut_without_move",
    "crashed",
    "late_sends_after_drain",
)
# Judged by the rules alone: how well a fleet is served hangs on the machine, whether a rule holds does not.
# The longest first, side by side.
SHORT = ("ways", "waylist", "pause", "errors", "drain", "kill", "lyinglist", "roll", "rude", "returns")
SIDE_BY_SIDE = 6

SHORT_DRAIN = """
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

ONE_RUN = """
import sys
from cedarledge.rig.run import run_plan
from cedarledge.rig.scenario import load_scenario
from cedarledge.rig.schedule import build_plan
from cedarledge.rig.variants import Variant
plan = build_plan(load_scenario(sys.argv[1]), 1, relays=1)
verdict = run_plan(plan, Variant("stub", [sys.executable, *sys.argv[2:]]))
print({rule: count for rule, count in verdict.counts.items() if count})
"""


def one_run(*arguments: str) -> str:
    done = subprocess.run(
        [sys.executable, "-c", ONE_RUN, *arguments], capture_output=True, text=True, check=False
    )
    return done.stdout + done.stderr


def test_relays_that_break_a_rule_are_found_out(tmp_path: Path) -> None:
    scenario = tmp_path / "short.toml"
    scenario.write_text(SHORT_DRAIN)
    stub = str(Path(__file__).with_name("broken_relay.py"))
    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        found = dict(
            zip(BROKEN, pool.map(lambda rule: one_run(str(scenario), stub, rule), BROKEN), strict=True)
        )
    missed = {rule: said for rule, said in found.items() if f"'{rule}'" not in said}
    assert not missed


@mark.parametrize("first", range(0, len(SHORT), SIDE_BY_SIDE))
def test_no_rule_breaks_in_short_scenarios(first: int, tmp_path: Path) -> None:
    late = []

    def run(name: str) -> tuple[str, str]:
        out = tmp_path / f"{name}.json"
        done = subprocess.run(
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
            if done.returncode == STANDINS_LATE:
                late.append(name)
            return name, done.stderr
        told = json.loads(out.read_text())
        # On a machine that is too busy nothing is proven either way.
        broken = {} if told["standins_late"] else {rule: told[rule] for rule in RULES if told[rule]}
        return name, f"{broken} {told['findings']}" if broken else ""

    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        said = dict(pool.map(run, SHORT[first : first + SIDE_BY_SIDE]))
    # Six at once may be more than a machine has ready in time. Alone they have a second try, which counts.
    said |= dict(map(run, tuple(late)))
    assert not any(said.values()), said


KNOWING = {"peers": 5, "peers-restart": 4, "peers-ways": 4}


def test_relays_know_who_is_there_after_each_fault_and_keep_the_rules_through_all(tmp_path: Path) -> None:
    def run(scenario: str) -> dict:
        out = tmp_path / f"{scenario}.json"
        sizes = ["--seed", "3", "--relays", str(KNOWING[scenario]), "--boxes", "6", "--rate", "12"]
        command = [sys.executable, "-m", "cedarledge", "rig", "run", scenario, *sizes, "--json", str(out)]
        for _ in range(2):
            done = subprocess.run(command, capture_output=True, text=True, check=False)
            if done.returncode != STANDINS_LATE:
                break
        assert out.exists(), done.stderr
        return json.loads(out.read_text())

    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        verdicts = dict(zip(KNOWING, pool.map(run, KNOWING), strict=True))
    for scenario, told in verdicts.items():
        assert not {rule: told[rule] for rule in RULES if told[rule]}, (scenario, told["findings"])
        peers = told["peers"]
        seen = (peers["views"], peers["dead_but_reachable"], peers["missed_dead"])
        assert seen == (1, 0, 0), (scenario, peers)
        assert peers["agree_s"] < 8 and 0 < peers["bytes_per_s"] < 6000
    # A relay that is back sooner than it is missed is detected by nobody.
    assert 1 < verdicts["peers"]["peers"]["detect_s"]["max"] < 9
