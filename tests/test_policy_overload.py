"""What a relay takes for the fleet's load, and what it rejects by it, at deployments of the laws' range.

Each test is one cause of the breaks that tests/play_laws.py found; the laws are in test_policy_laws.py.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from itertools import pairwise

from helpers import SECOND, RuleCheckingHost, list_entry, make_settings
from policy_models import RequestClass
from pytest import approx
from test_policy_laws import LEAST, sent_too_many

from cedarledge.policy import utilization
from cedarledge.policy.cells import hash64, unit_hash
from cedarledge.policy.shedding import ORDER_SALT
from cedarledge.policy.state import MAX_UNATTEMPTED, State
from cedarledge.terms import MS, ExternalView, ListForm, LoadReport, Outcome


def fleet_load(state: State, now: int) -> float:
    """The mean as it is now, not as it was a moment ago."""
    state.fleet_load_expires_at = 0
    return utilization.fleet_load(state, now)


def test_a_connection_that_was_open_before_this_relay_is_no_change_since_a_report() -> None:
    """Its load is in the backend's reports already: counted on top, a fleet at 0.5 looked like 0.75.

    Found by the law of relays that reject all they get: right after a start, with every connection adopted,
    the mean stood at 2.06 (fleet 0.80), 1.35 (0.67) and 2.41 (1.05), and the shed fraction at 0.76 to 0.98.
    """
    host = RuleCheckingHost(make_settings(relays=4))
    host.tell(ListForm.RESTORED, *(list_entry(number) for number in range(4)))
    for number in range(40):
        host.adopt(number % 4, hint=10.0)
    for backend_id in range(4):
        host.balancer.probe_ended(host.now, backend_id, True, LoadReport(offered_load=0.5))
    assert fleet_load(host.balancer.state, host.now) == approx(0.5, abs=0.01)


def test_a_load_that_is_told_after_a_report_is_no_change_since_that_report() -> None:
    """A connection from before this relay's start may come without its load, which its lines tell later."""
    host = RuleCheckingHost(make_settings(relays=4))
    host.tell(ListForm.RESTORED, *(list_entry(number) for number in range(4)))
    connections = [host.adopt(number % 4) for number in range(40)]
    for connection_id in connections[:36]:
        host.balancer.load_changed(host.now, connection_id, 10.0)
    for backend_id in range(4):
        host.balancer.probe_ended(host.now, backend_id, True, LoadReport(offered_load=0.5))
    for connection_id in connections[36:]:
        host.balancer.load_changed(host.now, connection_id, 100.0)
    assert fleet_load(host.balancer.state, host.now) == approx(0.5, abs=0.01)


def test_the_fleets_mean_does_not_hang_on_where_a_relays_own_connections_are() -> None:
    """What a backend seems to bear is guessed from the connections here: many here look like much room."""
    host = RuleCheckingHost(make_settings(relays=40))
    host.tell(ListForm.RESTORED, *(list_entry(number) for number in range(8)))
    for number in range(9):
        host.adopt(0 if number < 8 else 1, hint=1.0)
    host.run(SECOND)
    for _ in range(8):
        for backend_id in range(8):
            asked = 0.9 if backend_id == 0 else 0.4
            host.balancer.probe_ended(host.now, backend_id, True, LoadReport(offered_load=asked))
    assert fleet_load(host.balancer.state, host.now) == approx((0.9 + 7 * 0.4) / 8, abs=0.02)


def test_without_probes_backends_that_were_never_met_are_no_reason_to_reject() -> None:
    """Reports come with what ends at a backend, so from the few where this relay's own clients are.

    Found by the law of fresh relays: one relay of one, 120 backends, 39 with a report. They stood at 1.58,
    the fleet at 0.57 as the others were idle, and it rejected 1,023 of 1,176 requests.
    """
    host = RuleCheckingHost(make_settings(relays=1, probes=False))
    host.tell(ListForm.RESTORED, *(list_entry(number) for number in range(12)))
    for number in range(120):
        host.adopt(number % 4, hint=1.0)
    for backend_id in range(4):
        host.report(backend_id, 1.2)
    assert fleet_load(host.balancer.state, host.now) == approx(1.2 * 4 / 12, abs=0.05)


def test_where_this_relay_has_next_to_no_clients_backends_without_any_may_be_loaded_like_others() -> None:
    host = RuleCheckingHost(make_settings(relays=230, probes=False))
    host.tell(ListForm.RESTORED, *(list_entry(number) for number in range(54)))
    for backend_id in range(5):
        host.adopt(backend_id, hint=1.0)
        host.report(backend_id, 0.9)
    assert fleet_load(host.balancer.state, host.now) > 0.45


def test_where_backends_are_probed_only_reports_count() -> None:
    """Probes go round all backends: the ones that they have not come to yet are like the ones they have."""
    host = RuleCheckingHost(make_settings(relays=1, probes=True))
    host.tell(ListForm.RESTORED, *(list_entry(number) for number in range(12)))
    for number in range(120):
        host.adopt(number % 4, hint=1.0)
    for backend_id in range(4):
        host.report(backend_id, 0.9)
    assert fleet_load(host.balancer.state, host.now) == approx(0.9, abs=0.01)


def rejected(host: RuleCheckingHost) -> set[int]:
    return {connection_id for _, connection_id in host.declines}


def crowded_few(relays: int) -> RuleCheckingHost:
    """A relay that is told of 54 backends and has fresh reports of four, all of them overloaded."""
    host = RuleCheckingHost(make_settings(relays=relays, grouped=True), answers=False)
    host.tell(ListForm.RESTORED, *(list_entry(number) for number in range(54)))
    for backend_id in range(4):
        host.adopt(backend_id, hint=1.0)
        host.report(backend_id, 1.1)
    host.balancer.state.shed_fraction, host.balancer.state.shed_order = 1.0, [(0.0, 1.0)] * 5
    fleet_load(host.balancer.state, host.now)
    return host


def test_a_relay_that_has_seen_few_backends_probes_another_one_before_it_rejects() -> None:
    host = crowded_few(relays=230)
    connection_id = host.arrive(key="client")
    (probed,) = host.balancer.state.awaiting_probe.values()
    assert probed.reported < 0 and not host.declines
    host.balancer.probe_ended(host.now, probed.backend_id, True, LoadReport(offered_load=1.1))
    assert connection_id in rejected(host), "one look is enough: the client waits"


def test_a_probe_before_a_rejection_that_is_not_answered_holds_up_the_answer_for_a_moment_only() -> None:
    host = crowded_few(relays=230)
    connection_id = host.arrive(key="client")
    host.run(SECOND // 10)
    assert connection_id in rejected(host)


def test_a_relay_that_has_seen_enough_rejects_at_once() -> None:
    host = crowded_few(relays=230)
    for backend_id in range(4, 14):
        host.report(backend_id, 1.1)
    connection_id = host.arrive(key="client")
    assert connection_id in rejected(host)


def test_a_client_that_leaves_before_the_probe_is_answered_gets_nothing_more() -> None:
    host = crowded_few(relays=230)
    connection_id = host.arrive(key="client")
    (probed,) = host.balancer.state.awaiting_probe.values()
    host.balancer.client_gone(host.now, connection_id)
    host.balancer.probe_ended(host.now, probed.backend_id, True, LoadReport(offered_load=0.1))
    assert connection_id not in rejected(host) and not host.requests[connection_id].setups


def full_fleet(**other: object) -> RuleCheckingHost:
    """Eight backends that all report more than they can do, before a relay that sheds all arrivals."""
    host = RuleCheckingHost(make_settings(relays=40, probes=False, grouped=True, **other))
    host.tell(ListForm.RESTORED, *(list_entry(number, cells=2) for number in range(8)))
    host.run(3 * SECOND)
    overload(host)
    return host


def overload(host: RuleCheckingHost) -> None:
    """Reports of every backend, which relays have from different moments."""
    for backend_id in range(8):
        host.report(backend_id, 1.3 + 0.05 * ((backend_id + host.settings.relay_index) % 8))
    host.balancer.state.shed_fraction, host.balancer.state.shed_order = 1.0, [(0.0, 1.0)] * 5


def arrive_in_turn(host: RuleCheckingHost, count: int, gap: int, groups: list[str]) -> dict[int, str]:
    """Connections that come one after the other: those that were attempted at a backend, with their group."""
    attempted = {}
    for number in range(count):
        overload(host)
        group = groups[number % len(groups)]
        connection_id = host.arrive(key=f"client {number}", group=group)
        if host.requests[connection_id].setups:
            attempted[connection_id] = group
            host.end(connection_id, Outcome.DONE)
        host.run(gap)
    return attempted


def backends_of(host: RuleCheckingHost, connection_ids: Iterable[int]) -> set[int]:
    return {setup[0] for connection_id in connection_ids for setup in host.requests[connection_id].setups}


def test_of_fifteen_arrivals_within_four_seconds_one_is_attempted_however_full_the_fleet_seems() -> None:
    host = full_fleet()
    attempted = arrive_in_turn(host, 60, SECOND // 4, [f"group {number}" for number in range(60)])
    marks = [-1, *attempted, 60]
    assert max(after - before - 1 for before, after in pairwise(marks)) <= MAX_UNATTEMPTED


def test_a_relay_that_gets_little_attempts_nothing_in_a_full_fleet() -> None:
    """With hundreds of relays a trial for every five arrivals would drown what is served."""
    assert not arrive_in_turn(full_fleet(), 30, SECOND, ["group"])


def test_a_burst_alone_brings_no_trial() -> None:
    host = full_fleet()
    host.balancer.state.last_attempt_at = host.now
    assert not arrive_in_turn(host, 40, 0, ["group"])


def test_a_trial_goes_to_a_backend_that_holds_its_group_here() -> None:
    """Anywhere else the group's shared work is paid for once more: one attempt costs what four do."""
    host = full_fleet()
    groups = [f"group {backend_id}" for backend_id in range(8)]
    for backend_id, group in enumerate(groups):
        host.adopt(backend_id, hint=1.0, group=group)
    attempted = arrive_in_turn(host, 60, SECOND // 4, groups)
    assert attempted
    for connection_id, group in attempted.items():
        assert backends_of(host, [connection_id]) == {groups.index(group)}


def test_all_relays_send_a_group_that_they_do_not_hold_to_the_same_backend_as_a_trial() -> None:
    chosen = set()
    for seed in range(6):
        host = full_fleet(seed=seed, relay_index=seed)
        chosen |= backends_of(host, arrive_in_turn(host, 20, SECOND // 4, ["group"]))
    assert len(chosen) == 1


def test_a_trial_is_the_last_of_the_arrivals_in_the_shed_order() -> None:
    """Else trials, which may be most of what a full fleet takes, serve what should be shed first."""
    groups = [f"group {number}" for number in range(4)]
    attempted = arrive_in_turn(full_fleet(), 60, SECOND // 4, groups)
    last = max(groups, key=lambda group: unit_hash(hash64(group), ORDER_SALT))
    assert set(attempted.values()) == {last}


def test_a_trial_does_not_go_to_a_backend_that_operators_have_set_aside() -> None:
    host = full_fleet()
    host.adopt(0, hint=1.0, group="group")
    host.balancer.external_view_changed(host.now, ExternalView(excluded=frozenset({0})))
    attempted = arrive_in_turn(host, 30, SECOND // 4, ["group"])
    assert attempted and 0 not in backends_of(host, attempted)


def test_two_hundred_relays_stay_within_the_allowance_of_a_backend_that_is_warm_within_seconds() -> None:
    """Not mended yet: cells of two backends, a start at 0.47, warm after 6 s, 2.35 times the usual arrivals.

    All relays together send it 9.4 requests more than the rule allows, in 1.3 s. The cause is not traced.
    """
    deployment = replace(
        LEAST,
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
