"""A relay's estimate of the fleet's load, rejections based on it, and trials.

Each test covers one cause of violations that tests/play_laws.py found; the laws are in test_policy_laws.py.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from itertools import pairwise

from helpers import SECOND, RuleCheckingHost, list_entry, make_settings
from policy_models import RequestClass
from pytest import approx
from test_policy_laws import MINIMAL, sent_too_many

from cedarledge.policy import utilization
from cedarledge.policy.cells import hash64, unit_hash
from cedarledge.policy.shedding import ORDER_SALT
from cedarledge.policy.state import MAX_UNATTEMPTED, State
from cedarledge.terms import MS, ExternalView, ListForm, LoadReport, Outcome


def fleet_load(state: State, now: int) -> float:
    """The mean load now, not the cached one."""
    state.fleet_load_expires_at = 0
    return utilization.fleet_load(state, now)


def test_an_adopted_connection_is_not_counted_on_top_of_a_report() -> None:
    """The backend's reports include its load already: counted twice, a fleet at 0.5 seemed to be at 0.75.

    Found by the law about relays that reject all requests: right after a start, when all connections are
    adopted, the mean was 2.06 (fleet 0.80), 1.35 (0.67) and 2.41 (1.05), and the shed fraction 0.76 to 0.98.
    """
    host = RuleCheckingHost(make_settings(relays=4))
    host.update_list(ListForm.RESTORED, *(list_entry(number) for number in range(4)))
    for number in range(40):
        host.adopt(number % 4, hint=10.0)
    for backend_id in range(4):
        host.balancer.probe_ended(host.now, backend_id, True, LoadReport(offered_load=0.5))
    assert fleet_load(host.balancer.state, host.now) == approx(0.5, abs=0.01)


def test_a_load_that_becomes_known_after_a_report_is_not_counted_on_top_of_it() -> None:
    """The load of an adopted connection may be unknown at first and become known by its messages."""
    host = RuleCheckingHost(make_settings(relays=4))
    host.update_list(ListForm.RESTORED, *(list_entry(number) for number in range(4)))
    connections = [host.adopt(number % 4) for number in range(40)]
    for connection_id in connections[:36]:
        host.balancer.load_changed(host.now, connection_id, 10.0)
    for backend_id in range(4):
        host.balancer.probe_ended(host.now, backend_id, True, LoadReport(offered_load=0.5))
    for connection_id in connections[36:]:
        host.balancer.load_changed(host.now, connection_id, 100.0)
    assert fleet_load(host.balancer.state, host.now) == approx(0.5, abs=0.01)


def test_the_mean_load_does_not_depend_on_where_a_relays_own_connections_are() -> None:
    """Capacities are estimated from own connections, so a backend with many of them seems to have more."""
    host = RuleCheckingHost(make_settings(relays=40))
    host.update_list(ListForm.RESTORED, *(list_entry(number) for number in range(8)))
    for number in range(9):
        host.adopt(0 if number < 8 else 1, hint=1.0)
    host.run(SECOND)
    for _ in range(8):
        for backend_id in range(8):
            asked = 0.9 if backend_id == 0 else 0.4
            host.balancer.probe_ended(host.now, backend_id, True, LoadReport(offered_load=asked))
    assert fleet_load(host.balancer.state, host.now) == approx((0.9 + 7 * 0.4) / 8, abs=0.02)


def test_without_probes_backends_without_a_report_do_not_cause_rejections() -> None:
    """Reports arrive only when connections end, so only from the few backends with clients of this relay.

    Found by the law about fresh relays: a single relay with 120 backends, 39 with a report. Their mean load
    was 1.58, the fleet's 0.57 as the others were idle, and the relay rejected 1,023 of 1,176 requests.
    """
    host = RuleCheckingHost(make_settings(relays=1, probes=False))
    host.update_list(ListForm.RESTORED, *(list_entry(number) for number in range(12)))
    for number in range(120):
        host.adopt(number % 4, hint=1.0)
    for backend_id in range(4):
        host.report(backend_id, 1.2)
    assert fleet_load(host.balancer.state, host.now) == approx(1.2 * 4 / 12, abs=0.05)


def test_with_almost_no_clients_here_backends_without_any_are_not_taken_as_idle() -> None:
    host = RuleCheckingHost(make_settings(relays=230, probes=False))
    host.update_list(ListForm.RESTORED, *(list_entry(number) for number in range(54)))
    for backend_id in range(5):
        host.adopt(backend_id, hint=1.0)
        host.report(backend_id, 0.9)
    assert fleet_load(host.balancer.state, host.now) > 0.45


def test_with_probes_only_backends_with_reports_count() -> None:
    """Probes reach all backends in turn, so those without a report yet are like those with one."""
    host = RuleCheckingHost(make_settings(relays=1, probes=True))
    host.update_list(ListForm.RESTORED, *(list_entry(number) for number in range(12)))
    for number in range(120):
        host.adopt(number % 4, hint=1.0)
    for backend_id in range(4):
        host.report(backend_id, 0.9)
    assert fleet_load(host.balancer.state, host.now) == approx(0.9, abs=0.01)


def rejected(host: RuleCheckingHost) -> set[int]:
    return {connection_id for _, connection_id in host.rejections}


def few_overloaded_backends(relays: int) -> RuleCheckingHost:
    """A relay that knows 54 backends and has recent reports of four, all of them overloaded."""
    host = RuleCheckingHost(make_settings(relays=relays, grouped=True), answers=False)
    host.update_list(ListForm.RESTORED, *(list_entry(number) for number in range(54)))
    for backend_id in range(4):
        host.adopt(backend_id, hint=1.0)
        host.report(backend_id, 1.1)
    host.balancer.state.shed_fraction, host.balancer.state.shed_order = 1.0, [(0.0, 1.0)] * 5
    fleet_load(host.balancer.state, host.now)
    return host


def test_a_relay_with_few_reports_probes_another_backend_before_it_rejects() -> None:
    host = few_overloaded_backends(relays=230)
    connection_id = host.arrive(key="client")
    (probed,) = host.balancer.state.awaiting_probe.values()
    assert probed.reported < 0 and not host.rejections
    host.balancer.probe_ended(host.now, probed.backend_id, True, LoadReport(offered_load=1.1))
    assert connection_id in rejected(host), "only one probe, as the client waits"


def test_an_unanswered_probe_before_a_rejection_delays_it_only_briefly() -> None:
    host = few_overloaded_backends(relays=230)
    connection_id = host.arrive(key="client")
    host.run(SECOND // 10)
    assert connection_id in rejected(host)


def test_a_relay_with_enough_reports_rejects_at_once() -> None:
    host = few_overloaded_backends(relays=230)
    for backend_id in range(4, 14):
        host.report(backend_id, 1.1)
    connection_id = host.arrive(key="client")
    assert connection_id in rejected(host)


def test_a_client_that_leaves_before_the_probe_is_answered_is_neither_rejected_nor_attempted() -> None:
    host = few_overloaded_backends(relays=230)
    connection_id = host.arrive(key="client")
    (probed,) = host.balancer.state.awaiting_probe.values()
    host.balancer.client_gone(host.now, connection_id)
    host.balancer.probe_ended(host.now, probed.backend_id, True, LoadReport(offered_load=0.1))
    assert connection_id not in rejected(host) and not host.requests[connection_id].attempts


def full_fleet(**other: object) -> RuleCheckingHost:
    """A relay that sheds all arrivals, and eight backends that all report an overload."""
    host = RuleCheckingHost(make_settings(relays=40, probes=False, grouped=True, **other))
    host.update_list(ListForm.RESTORED, *(list_entry(number, cells=2) for number in range(8)))
    host.run(3 * SECOND)
    overload(host)
    return host


def overload(host: RuleCheckingHost) -> None:
    """Reports of all backends, which differ between relays as they are from different times."""
    for backend_id in range(8):
        host.report(backend_id, 1.3 + 0.05 * ((backend_id + host.settings.relay_index) % 8))
    host.balancer.state.shed_fraction, host.balancer.state.shed_order = 1.0, [(0.0, 1.0)] * 5


def arrive_one_by_one(host: RuleCheckingHost, count: int, interval: int, groups: list[str]) -> dict[int, str]:
    """Requests connections one after another and returns those that were attempted, with their group."""
    attempted = {}
    for number in range(count):
        overload(host)
        group = groups[number % len(groups)]
        connection_id = host.arrive(key=f"client {number}", group=group)
        if host.requests[connection_id].attempts:
            attempted[connection_id] = group
            host.end(connection_id, Outcome.DONE)
        host.run(interval)
    return attempted


def backends_of(host: RuleCheckingHost, connection_ids: Iterable[int]) -> set[int]:
    return {setup[0] for connection_id in connection_ids for setup in host.requests[connection_id].attempts}


def test_of_fifteen_arrivals_within_four_seconds_one_is_attempted_even_if_the_fleet_seems_full() -> None:
    host = full_fleet()
    attempted = arrive_one_by_one(host, 60, SECOND // 4, [f"group {number}" for number in range(60)])
    positions = [-1, *attempted, 60]
    assert max(after - before - 1 for before, after in pairwise(positions)) <= MAX_UNATTEMPTED


def test_a_relay_with_few_requests_makes_no_trials_in_a_full_fleet() -> None:
    """With hundreds of relays, a trial per five arrivals would overload the backends."""
    assert not arrive_one_by_one(full_fleet(), 30, SECOND, ["group"])


def test_a_burst_alone_causes_no_trial() -> None:
    host = full_fleet()
    host.balancer.state.last_attempt_at = host.now
    assert not arrive_one_by_one(host, 40, 0, ["group"])


def test_a_trial_is_placed_where_this_relay_holds_its_group() -> None:
    """Any other backend would repeat the group's shared work, so that one attempt costs as much as four."""
    host = full_fleet()
    groups = [f"group {backend_id}" for backend_id in range(8)]
    for backend_id, group in enumerate(groups):
        host.adopt(backend_id, hint=1.0, group=group)
    attempted = arrive_one_by_one(host, 60, SECOND // 4, groups)
    assert attempted
    for connection_id, group in attempted.items():
        assert backends_of(host, [connection_id]) == {groups.index(group)}


def test_all_relays_place_trials_of_a_group_that_they_do_not_hold_on_the_same_backend() -> None:
    chosen = set()
    for seed in range(6):
        host = full_fleet(seed=seed, relay_index=seed)
        chosen |= backends_of(host, arrive_one_by_one(host, 20, SECOND // 4, ["group"]))
    assert len(chosen) == 1


def test_a_trial_is_the_last_of_the_arrivals_in_the_shed_order() -> None:
    """Trials may be most of what a full fleet accepts, and would serve what should be shed first."""
    groups = [f"group {number}" for number in range(4)]
    attempted = arrive_one_by_one(full_fleet(), 60, SECOND // 4, groups)
    last = max(groups, key=lambda group: unit_hash(hash64(group), ORDER_SALT))
    assert set(attempted.values()) == {last}


def test_a_trial_is_not_placed_on_an_excluded_backend() -> None:
    host = full_fleet()
    host.adopt(0, hint=1.0, group="group")
    host.balancer.external_view_changed(host.now, ExternalView(excluded=frozenset({0})))
    attempted = arrive_one_by_one(host, 30, SECOND // 4, ["group"])
    assert attempted and 0 not in backends_of(host, attempted)


def test_two_hundred_relays_stay_within_the_allowance_of_a_backend_that_is_warm_within_seconds() -> None:
    """Known to fail: cells of two backends, cold capacity 0.47, warm after 6 s, 2.35 times the arrivals.

    All relays together send a cold backend 9.4 requests more than the rule allows, within 1.3 s. The cause
    has not been found.
    """
    deployment = replace(
        MINIMAL,
        seed=25,
        relays=200,
        backends=30,
        cell_size=2,
        classes=(RequestClass(14, 2500 * MS, 0.3),),
        load=0.56,
        connections_per_backend=20,
        lifetime=10 * SECOND,
        warmup_duration=6 * SECOND,
        cold_from=0.47,
        fall_multiple=2.89,
        fall_span=1282 * MS,
        pushed=True,
        group_size=30,
        group_cost=1.0,
        tenants=4,
        crossing=0.3,
        attempts=1,
        retries=2,
        report_period=532 * MS,
        report_delay=100 * MS,
    )
    assert sent_too_many(deployment, cold=2, rush=2.35) <= 0
