"""Failover plans: traffic goes to near zones first, within their capacity, and no single relay decides."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from pytest import approx, mark

from cedarledge.failover.plans import (
    HEADROOM,
    Plan,
    Planner,
    RelayReport,
    State,
    ZoneObservation,
    assign_traffic,
    routing_weights,
)
from cedarledge.model.zones import Fault, Fleet, run_seed
from cedarledge.terms import SECOND

REGIONS = {"a": "north", "b": "north", "c": "south"}


def relay_reports(
    load: float = 0.5,
    relays: int = 3,
    failing: dict[str, tuple[str, ...]] | None = None,
    silent: tuple[str, ...] = (),
) -> list[RelayReport]:
    """Reports of the relays of all zones, with 10 backends in each zone.

    `failing` has by zone the zones that its relays see fail; relays of the zones in `silent` do not report.
    """
    reports = []
    for zone in REGIONS:
        for _ in range(relays if zone not in silent else 0):
            failing_zones = (failing or {}).get(zone, ())
            observations = {
                other: ZoneObservation(
                    0 if other in failing_zones else 10,
                    0.0 if other in failing_zones else load,
                    float(other in failing_zones),
                    100 * (other == zone),
                    0,
                )
                for other in REGIONS
            }
            reports.append(RelayReport(zone, 100, observations))
    return reports


def plan_after(reports: list[RelayReport], planner: Planner | None = None, seconds: int = 4) -> Plan:
    """The plan after some seconds of these reports, with each proposed plan adopted at once."""
    planner = planner or Planner(REGIONS)
    for turn in range(seconds * 4):
        now = (turn + 8) * SECOND // 4
        plan = planner.propose_change(now, reports)
        if plan is not None:
            planner.adopt(now, plan)
    return planner.plan


B_FAILS = {"a": ("b",), "b": ("b",), "c": ("b",)}


def test_without_faults_each_zone_carries_its_own_traffic_and_no_plan_is_made() -> None:
    assert plan_after(relay_reports()) == Planner(REGIONS).plan
    assert plan_after(relay_reports(load=HEADROOM)).share("a", "a") == 100


def test_a_zone_without_backends_is_closed_and_near_zones_carry_its_traffic_within_their_capacity() -> None:
    plan = plan_after(relay_reports(0.5, failing=B_FAILS))
    assert [row.state for row in plan.zones] == [State.OPEN, State.CLOSED, State.OPEN]
    # Demand is 5 backends' worth: 3 go to the near zone, up to its headroom, and 2 to the far one.
    assert (plan.share("b", "a"), plan.share("b", "b"), plan.share("b", "c")) == (60, 0, approx(40, abs=1))
    assert "b closed: gone, 0 ready" in plan.reason
    full = plan_after(relay_reports(0.75, failing=B_FAILS))
    row = full.zones[1]
    assert row.rejected == 100 - sum(row.shares) > 80 and full.share("a", "a") == 100, (
        "a zone's own traffic has priority"
    )


def test_an_unreachable_zone_without_reports_may_be_partitioned_and_keeps_its_own_traffic() -> None:
    plan = plan_after(relay_reports(failing={"a": ("b",), "c": ("b",)}, silent=("b",)))
    assert plan.state("b") is State.LIMITED and plan.share("b", "b") == 100
    assert plan.share("a", "b") == plan.share("c", "b") == 0


def test_a_zone_whose_relays_do_not_report_is_not_treated_as_idle() -> None:
    """Guards against a fault of seed 27 with 4 zones: other zones' traffic was assigned to full backends."""
    plan = plan_after(relay_reports(failing={"a": ("c",), "c": ("c",)}, silent=("b",)))
    assert plan.state("b") is State.OPEN and plan.state("c") is State.CLOSED
    assert plan.share("c", "a") == plan.share("c", "b") == 50


def test_a_single_relay_closes_no_zone_and_an_isolated_voter_makes_no_plan() -> None:
    reports = relay_reports()
    reports[0] = RelayReport("a", 100, {zone: ZoneObservation(0, 9.9, 1.0, 0, 0) for zone in REGIONS})
    assert plan_after(reports) == Planner(REGIONS).plan
    assert plan_after(relay_reports(failing={"a": ("b", "c")}, silent=("b", "c"))) == Planner(REGIONS).plan
    all_fail = dict.fromkeys(REGIONS, tuple(REGIONS))
    assert plan_after(relay_reports(failing=all_fail)) == Planner(REGIONS).plan, (
        "a plan must not close all zones"
    )


def test_old_observations_are_ignored_and_pinned_states_override_observations() -> None:
    old = [
        report._replace(
            observations={
                zone: observation._replace(age=9 * SECOND)
                for zone, observation in report.observations.items()
            }
        )
        for report in relay_reports(failing=B_FAILS)
    ]
    assert plan_after(old) == Planner(REGIONS).plan
    assert (
        plan_after(relay_reports(failing=B_FAILS), Planner(REGIONS, {"b": State.OPEN})).state("b")
        is State.OPEN
    )
    assert plan_after(relay_reports(), Planner(REGIONS, {"c": State.CLOSED})).share("c", "c") == 0


def test_a_zone_returns_in_steps_and_the_delay_grows_with_each_withdrawal() -> None:
    planner = Planner(REGIONS)
    delays = []
    now = 0

    def run_until(wanted: State, reports: list[RelayReport]) -> int:
        nonlocal now
        start = now
        while planner.plan.state("b") is not wanted:
            now += SECOND // 4
            plan = planner.propose_change(now, reports)
            if plan is not None:
                planner.adopt(now, plan)
            assert now - start < 100 * SECOND
        return now - start

    for _ in range(3):
        run_until(State.CLOSED, relay_reports(failing=B_FAILS))
        delays.append(run_until(State.RETURNING, relay_reports()) // SECOND)
        assert 0 < planner.plan.share("b", "b") <= 20
    assert delays[1] > 1.5 * delays[0] and delays[2] > 1.5 * delays[1], delays


def test_own_observations_override_a_plan_and_a_voter_rejects_changes_it_does_not_observe() -> None:
    plan = plan_after(relay_reports(0.5, failing=B_FAILS))
    assert routing_weights(plan, "b", ()) == approx({"a": 0.6, "c": 0.4}, abs=0.02)
    assert routing_weights(plan, "b", {"a"}) == {"c": 1.0} and routing_weights(plan, "b", {"a", "c"}) == {}
    assert routing_weights(plan, "d", ()) == {}
    assert Planner(REGIONS).approves(SECOND, plan, relay_reports(failing=B_FAILS))
    assert not Planner(REGIONS).approves(SECOND, plan, relay_reports())
    other = Planner({"a": "north", "b": "north"})
    other.adopt(SECOND, plan)
    assert other.plan == other.initial_plan(), "a plan about other zones is not adopted"


AMOUNTS = st.lists(st.floats(0, 50), min_size=3, max_size=3)


@given(AMOUNTS, AMOUNTS, AMOUNTS)
def test_assigned_traffic_exceeds_neither_demand_nor_capacity(
    demands: list[float], capacities: list[float], own_amounts: list[float]
) -> None:
    demand, capacity = (dict(zip(REGIONS, row, strict=True)) for row in (demands, capacities))
    own_limit = {zone: min(amount, capacity[zone]) for zone, amount in zip(REGIONS, own_amounts, strict=True)}
    assigned, _ = assign_traffic(demand, capacity, own_limit, REGIONS)
    for zone in REGIONS:
        assert sum(assigned[zone].values()) <= demand[zone] + 1e-6
        assert sum(row.get(zone, 0.0) for row in assigned.values()) <= capacity[zone] + 1e-6
        assert min(assigned[zone].values()) >= 0


@mark.parametrize("shape", [(3, 3, 3, 30), (4, 3, 5, 12), (7, 2, 7, 4)])
def test_invariants_of_plans_hold_under_randomly_drawn_faults(shape: tuple[int, int, int, int]) -> None:
    zones, relays, voters, seeds = shape
    broken = [
        row for row in (run_seed(zones, relays, voters, seed) for seed in range(seeds)) if "broken" in row
    ]
    assert not broken, broken[0]


@mark.parametrize("kind", ["dead", "boxes_dead", "cut", "slow"])
def test_a_lost_zone_is_decided_within_three_seconds_and_changes_direction_at_most_twice(kind: str) -> None:
    fleet = Fleet(3, 5, 3, 4, [Fault(kind, 12 * SECOND, 30 * SECOND, 1)], load=0.4).run()
    assert fleet.decision_time < 3 and max(fleet.direction_changes.values()) <= 2
