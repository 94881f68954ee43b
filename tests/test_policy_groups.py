"""Groups of connections that share work, at many relays: ranking across zones, moves, load estimates."""

from __future__ import annotations

from helpers import SECOND, RuleCheckingHost, host_with_backends, list_entry, make_settings
from pytest import approx, mark

from cedarledge.policy import utilization
from cedarledge.policy.state import TICK
from cedarledge.settings import deployment_settings
from cedarledge.terms import ListForm, LoadReport, Outcome

ZONES = 3
GROUPS = "abcdefgh"


def zoned_fleet(zones: int, zone: int, **other: object) -> RuleCheckingHost:
    """A relay in one of the zones, and twelve backends at load 0.3 in two cells per zone."""
    settings = {"grouped": True, "cross_zone_cost": 0.2, "relays": 60, "zone_count": zones} | other
    host = RuleCheckingHost(make_settings(zone=zone, relay_index=zone, seed=zone, **settings))
    backends = [
        list_entry(number)._replace(zone=number % zones, cell=number % (2 * zones)) for number in range(12)
    ]
    host.update_list(ListForm.RESTORED, *backends)
    for backend in backends:
        host.report(backend.backend_id, 0.3)
    host.run(SECOND)
    for backend in backends:
        host.report(backend.backend_id, 0.3)
    return host


def first_backend(host: RuleCheckingHost, group: str) -> int:
    """Returns the backend that gets a group's first connection."""
    connection_id = host.arrive(key=f"client of {group}", group=group)
    backend_id = host.requests[connection_id].attempts[-1][0]
    host.end(connection_id, Outcome.DONE)
    return backend_id


def test_relays_of_more_than_two_zones_place_a_group_on_one_backend() -> None:
    """Each backend with connections of a group repeats its shared work: in five zones that is five times."""
    relays = [zoned_fleet(ZONES, zone) for zone in range(ZONES)]
    for group in GROUPS:
        assert len({first_backend(relay, group) for relay in relays}) == 1


def test_with_two_zones_a_group_stays_in_the_relays_own() -> None:
    for zone in range(2):
        relay = zoned_fleet(2, zone)
        assert {first_backend(relay, group) % 2 for group in GROUPS} == {zone}


def test_connections_without_a_group_stay_in_the_relays_own_zone() -> None:
    relay = zoned_fleet(ZONES, 1)
    placed = set()
    for number in range(20):
        connection_id = relay.arrive(key=str(number))
        placed.add(relay.requests[connection_id].attempts[-1][0] % ZONES)
        relay.end(connection_id, Outcome.DONE)
    assert placed == {1}


def test_the_number_of_zones_is_read_from_the_settings() -> None:
    settings = {
        "dcs": ["east", "west", "north"],
        "allowed": {},
        "safety": {"cold_from": 0.3, "warm_within": 9_000_000, "fall_multiple": 3, "overload_for": 2_000_000},
        "profiles": [{"name": "a", "setup_goal": 300_000, "client_timeout": 1_000_000, "credit": 1}],
    }
    assert deployment_settings(settings, 1, 0, {None: 0}).zone_count == 3


@mark.parametrize(("others", "moves"), [(0.66, True), (0.85, False)])
def test_groups_are_moved_off_an_overloaded_backend_while_the_others_have_capacity(
    others: float, moves: bool
) -> None:
    """The limit is the load to which backends are relieved, not the one from which arrivals are shed."""
    host = host_with_backends(8, others, cells=1, grouped=True, relays=1)
    for number in range(70):
        host.adopt(1 + number % 7, hint=10.0, group=GROUPS[number % 8])
    for number in range(20):
        host.adopt(0, hint=10.0, group=GROUPS[number % 8])
    host.run(3 * SECOND)
    for backend_id in range(8):
        host.report(backend_id, 1.1 if backend_id == 0 else others)
    host.balancer.state.fleet_load_expires_at = 0
    host.run(2 * TICK)
    assert bool(host.moves) is moves


@mark.parametrize("grouped", [True, False])
def test_few_overloaded_backends_are_no_sample_of_the_fleet(grouped: bool) -> None:
    """First reports are from backends of own clients: based on one of 54, most arrivals were rejected."""
    host = RuleCheckingHost(make_settings(grouped=grouped, relays=200, probes=False))
    host.update_list(ListForm.RESTORED, *(list_entry(number) for number in range(54)))
    for _ in range(20):
        host.report(0, 1.05)
        host.run(SECOND // 4)
    for number in range(30):
        host.arrive(key=str(number), group=f"group {number}")
    assert not host.rejections
    for backend_id in range(1, 6):
        host.report(backend_id, 1.05)
    host.run(SECOND)
    for number in range(30, 60):
        host.arrive(key=str(number), group=f"group {number}")
    assert host.rejections, "half a dozen reports are a sufficient sample"


def test_old_reports_cause_no_rejections() -> None:
    host = RuleCheckingHost(make_settings(grouped=True, relays=200, probes=False))
    host.update_list(ListForm.RESTORED, *(list_entry(number) for number in range(54)))
    for backend_id in range(8):
        host.report(backend_id, 1.05)
    host.run(20 * SECOND)
    for number in range(30):
        host.arrive(key=str(number), group=f"group {number}")
    assert not host.rejections


def test_backends_of_a_host_type_of_unknown_capacity_are_weighted_like_the_others() -> None:
    """Their weight was 1 next to millions, in the unit of the loads, so only own backends counted."""
    host = RuleCheckingHost(make_settings(relays=2))
    host.update_list(
        ListForm.RESTORED, *(list_entry(number)._replace(host_type=number // 4) for number in range(8))
    )
    state = host.balancer.state
    for backend_id in range(4):
        host.adopt(backend_id, hint=20_000.0)
    host.run(SECOND)
    for backend_id in range(8):
        host.balancer.probe_ended(
            host.now, backend_id, True, LoadReport(offered_load=0.9 if backend_id < 4 else 0.1)
        )
    state.fleet_load_expires_at = 0
    assert state.host_type_capacity[1].weight.read(host.now) == 0
    assert utilization.fleet_load(state, host.now) == approx(0.5, abs=0.05)


def test_without_any_reports_cold_backends_get_a_cautious_part_of_their_budget() -> None:
    """Reports may arrive only with answers: the budget of a whole warm-up was unused."""
    host = RuleCheckingHost(make_settings(relays=1, probes=False))
    host.update_list(ListForm.RESTORED, *(list_entry(number) for number in range(8)))
    for number in range(80):
        host.open(host.arrive(key=str(number)))
    host.run(SECOND)
    full_rate = 80 / 8 / 0.5 / 10  # per second, if all were known to be half full
    assert 0.3 * full_rate < host.balancer.state.fill_rate <= full_rate
