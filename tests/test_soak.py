"""The soak test of the rig: its random scenarios, its reading of logs, and short runs of a few seeds."""

from __future__ import annotations

from pathlib import Path

from pytest import mark

from cedarledge.rig.schedule import build_plan
from cedarledge.rig.soak import FLOOD_EVERY, broken_invariants, soak_one, soak_scenario

# Short runs with few relays for CI. Together these seeds have faults of boxes, discovery, clients, relays,
# clocks, system calls and links; seed 5 has a flood of misbehaving clients. Full-size soaks of more seeds are
# run by hand.
SEEDS, RELAYS, SECONDS = (5, 6, 7), 8, 14.0


@mark.parametrize("seed", range(1, 61))
def test_each_seed_gives_a_plan_whose_faults_overlap_steps_of_the_clock(seed: int) -> None:
    """A scenario depends on its seed alone; no fault lies in the first or last 4 s."""
    scenario = soak_scenario(seed)
    assert scenario == soak_scenario(seed)
    plan = build_plan(scenario, seed)
    assert any(event.action == "step" for event in plan.events)
    assert len(plan.faults) >= 6
    assert all(begin >= 4 and end <= plan.seconds - 4 + 0.01 for _, begin, end in plan.faults)
    assert ("rude" in [kind for kind, *_ in plan.faults]) >= (seed % FLOOD_EVERY == 0)


def test_violations_are_read_from_the_relays_logs(tmp_path: Path) -> None:
    """A suspended relay is excused for its lateness, but for nothing else."""
    paused, other = tmp_path / "relay-1.log", tmp_path / "relay-2.log"
    late = "12:00:00.000 ERROR invariant broken: an answer past the client's deadline: id, -90 ms left: ERR\n"
    twice = "12:00:00.000 ERROR invariant broken: an attempt while another is out: id: at s-1\n"
    for log in (paused, other):
        log.write_text("12:00:00.000 INFO no invariant broken\n" + late + twice)
    names = [name for name, _ in broken_invariants([paused, other], frozenset({1}))]
    assert names == ["TWO_ATTEMPTS", "LATE_ANSWER", "TWO_ATTEMPTS"]


@mark.parametrize("seed", SEEDS)
def test_random_overlapping_faults_break_no_rule(tmp_path: Path, seed: int) -> None:
    """Runs relays under random faults; the result includes relays' invariants and logged tracebacks."""
    result = soak_one(seed, tmp_path, RELAYS, SECONDS)
    assert result.passed, result
    assert result.connections > 100
