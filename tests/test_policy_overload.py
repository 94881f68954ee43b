"""What a relay takes for the fleet's load, and what it rejects by it, at deployments of the laws' range.

Each test is one cause of the breaks that tests/play_laws.py found; the laws are in test_policy_laws.py.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from itertools import pairwise

from helpers import SECOND, Ledger, facts, listed
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
    ledger = Ledger(facts(relays=4))
    ledger.tell(ListForm.RESTORED, *(listed(number) for number in range(4)))
    for number in range(40):
        ledger.adopt(number % 4, hint=10.0)
    for backend_id in range(4):
        ledger.balancer.probe_ended(ledger.now, backend_id, True, LoadReport(offered_load=0.5))
    assert fleet_load(ledger.balancer.state, ledger.now) == approx(0.5, abs=0.01)


def test_a_load_that_is_told_after_a_report_is_no_change_since_that_report() -> None:
    """A connection from before this relay's start may come without its load, which its lines tell later."""
    ledger = Ledger(facts(relays=4))
    ledger.tell(ListForm.RESTORED, *(listed(number) for number in range(4)))
    connections = [ledger.adopt(number % 4) for number in range(40)]
    for connection_id in connections[:36]:
        ledger.balancer.load_changed(ledger.now, connection_id, 10.0)
    for backend_id in range(4):
        ledger.balancer.probe_ended(ledger.now, backend_id, True, LoadReport(offered_load=0.5))
    for connection_id in connections[36:]:
        ledger.balancer.load_changed(ledger.now, connection_id, 100.0)
    assert fleet_load(ledger.balancer.state, ledger.now) == approx(0.5, abs=0.01)


def test_the_fleets_mean_does_not_hang_on_where_a_relays_own_connections_are() -> None:
    """What a backend seems to bear is guessed from the connections here: many here look like much room."""
    ledger = Ledger(facts(relays=40))
    ledger.tell(ListForm.RESTORED, *(listed(number) for number in range(8)))
    for number in range(9):
        ledger.adopt(0 if number < 8 else 1, hint=1.0)
    ledger.run(SECOND)
    for _ in range(8):
        for backend_id in range(8):
            asked = 0.9 if backend_id == 0 else 0.4
            ledger.balancer.probe_ended(ledger.now, backend_id, True, LoadReport(offered_load=asked))
    assert fleet_load(ledger.balancer.state, ledger.now) == approx((0.9 + 7 * 0.4) / 8, abs=0.02)


def test_without_probes_backends_that_were_never_met_are_no_reason_to_reject() -> None:
    """Reports come with what ends at a backend, so from the few where this relay's own clients are.

    Found by the law of fresh relays: one relay of one, 120 backends, 39 with a report. They stood at 1.58,
    the fleet at 0.57 as the others were idle, and it rejected 1,023 of 1,176 requests.
    """
    ledger = Ledger(facts(relays=1, probes=False))
    ledger.tell(ListForm.RESTORED, *(listed(number) for number in range(12)))
    for number in range(120):
        ledger.adopt(number % 4, hint=1.0)
    for backend_id in range(4):
        ledger.report(backend_id, 1.2)
    assert fleet_load(ledger.balancer.state, ledger.now) == approx(1.2 * 4 / 12, abs=0.05)


def test_where_this_relay_has_next_to_no_clients_backends_without_any_may_be_loaded_like_others() -> None:
    ledger = Ledger(facts(relays=230, probes=False))
    ledger.tell(ListForm.RESTORED, *(listed(number) for number in range(54)))
    for backend_id in range(5):
        ledger.adopt(backend_id, hint=1.0)
        ledger.report(backend_id, 0.9)
    assert fleet_load(ledger.balancer.state, ledger.now) > 0.45


def test_where_backends_are_probed_only_reports_count() -> None:
    """Probes go round all backends: the ones that they have not come to yet are like the ones they have."""
    ledger = Ledger(facts(relays=1, probes=True))
    ledger.tell(ListForm.RESTORED, *(listed(number) for number in range(12)))
    for number in range(120):
        ledger.adopt(number % 4, hint=1.0)
    for backend_id in range(4):
        ledger.report(backend_id, 0.9)
    assert fleet_load(ledger.balancer.state, ledger.now) == approx(0.9, abs=0.01)


def rejected(ledger: Ledger) -> set[int]:
    return {connection_id for _, connection_id in ledger.declines}


def crowded_few(relays: int) -> Ledger:
    """A relay that is told of 54 backends and has fresh reports of four, all of them overloaded."""
    ledger = Ledger(facts(relays=relays, grouped=True), answers=False)
    ledger.tell(ListForm.RESTORED, *(listed(number) for number in range(54)))
    for backend_id in range(4):
        ledger.adopt(backend_id, hint=1.0)
        ledger.report(backend_id, 1.1)
    ledger.balancer.state.shed_fraction, ledger.balancer.state.shed_order = 1.0, [(0.0, 1.0)] * 5
    fleet_load(ledger.balancer.state, ledger.now)
    return ledger


def test_a_relay_that_has_seen_few_backends_probes_another_one_before_it_rejects() -> None:
    ledger = crowded_few(relays=230)
    connection_id = ledger.arrive(key="client")
    (probed,) = ledger.balancer.state.awaiting_probe.values()
    assert probed.reported < 0 and not ledger.declines
    ledger.balancer.probe_ended(ledger.now, probed.backend_id, True, LoadReport(offered_load=1.1))
    assert connection_id in rejected(ledger), "one look is enough: the client waits"


def test_a_probe_before_a_rejection_that_is_not_answered_holds_up_the_answer_for_a_moment_only() -> None:
    ledger = crowded_few(relays=230)
    connection_id = ledger.arrive(key="client")
    ledger.run(SECOND // 10)
    assert connection_id in rejected(ledger)


def test_a_relay_that_has_seen_enough_rejects_at_once() -> None:
    ledger = crowded_few(relays=230)
    for backend_id in range(4, 14):
        ledger.report(backend_id, 1.1)
    connection_id = ledger.arrive(key="client")
    assert connection_id in rejected(ledger)


def test_a_client_that_leaves_before_the_probe_is_answered_gets_nothing_more() -> None:
    ledger = crowded_few(relays=230)
    connection_id = ledger.arrive(key="client")
    (probed,) = ledger.balancer.state.awaiting_probe.values()
    ledger.balancer.client_gone(ledger.now, connection_id)
    ledger.balancer.probe_ended(ledger.now, probed.backend_id, True, LoadReport(offered_load=0.1))
    assert connection_id not in rejected(ledger) and not ledger.cases[connection_id].setups


def full_fleet(**other: object) -> Ledger:
    """Eight backends that all report more than they can do, before a relay that sheds all arrivals."""
    ledger = Ledger(facts(relays=40, probes=False, grouped=True, **other))
    ledger.tell(ListForm.RESTORED, *(listed(number, cells=2) for number in range(8)))
    ledger.run(3 * SECOND)
    overload(ledger)
    return ledger


def overload(ledger: Ledger) -> None:
    """Reports of every backend, which relays have from different moments."""
    for backend_id in range(8):
        ledger.report(backend_id, 1.3 + 0.05 * ((backend_id + ledger.site.relay_index) % 8))
    ledger.balancer.state.shed_fraction, ledger.balancer.state.shed_order = 1.0, [(0.0, 1.0)] * 5


def arrive_in_turn(ledger: Ledger, count: int, gap: int, groups: list[str]) -> dict[int, str]:
    """Connections that come one after the other: those that were attempted at a backend, with their group."""
    attempted = {}
    for number in range(count):
        overload(ledger)
        group = groups[number % len(groups)]
        connection_id = ledger.arrive(key=f"client {number}", group=group)
        if ledger.cases[connection_id].setups:
            attempted[connection_id] = group
            ledger.end(connection_id, Outcome.DONE)
        ledger.run(gap)
    return attempted


def backends_of(ledger: Ledger, connection_ids: Iterable[int]) -> set[int]:
    return {setup[0] for connection_id in connection_ids for setup in ledger.cases[connection_id].setups}


def test_of_fifteen_arrivals_within_four_seconds_one_is_attempted_however_full_the_fleet_seems() -> None:
    ledger = full_fleet()
    attempted = arrive_in_turn(ledger, 60, SECOND // 4, [f"group {number}" for number in range(60)])
    marks = [-1, *attempted, 60]
    assert max(after - before - 1 for before, after in pairwise(marks)) <= MAX_UNATTEMPTED


def test_a_relay_that_gets_little_attempts_nothing_in_a_full_fleet() -> None:
    """With hundreds of relays a trial for every five arrivals would drown what is served."""
    assert not arrive_in_turn(full_fleet(), 30, SECOND, ["group"])


def test_a_burst_alone_brings_no_trial() -> None:
    ledger = full_fleet()
    ledger.balancer.state.last_attempt_at = ledger.now
    assert not arrive_in_turn(ledger, 40, 0, ["group"])


def test_a_trial_goes_to_a_backend_that_holds_its_group_here() -> None:
    """Anywhere else the group's shared work is paid for once more: one attempt costs what four do."""
    ledger = full_fleet()
    groups = [f"group {backend_id}" for backend_id in range(8)]
    for backend_id, group in enumerate(groups):
        ledger.adopt(backend_id, hint=1.0, group=group)
    attempted = arrive_in_turn(ledger, 60, SECOND // 4, groups)
    assert attempted
    for connection_id, group in attempted.items():
        assert backends_of(ledger, [connection_id]) == {groups.index(group)}


def test_all_relays_send_a_group_that_they_do_not_hold_to_the_same_backend_as_a_trial() -> None:
    chosen = set()
    for seed in range(6):
        ledger = full_fleet(seed=seed, relay_index=seed)
        chosen |= backends_of(ledger, arrive_in_turn(ledger, 20, SECOND // 4, ["group"]))
    assert len(chosen) == 1


def test_a_trial_is_the_last_of_the_arrivals_in_the_shed_order() -> None:
    """Else trials, which may be most of what a full fleet takes, serve what should be shed first."""
    groups = [f"group {number}" for number in range(4)]
    attempted = arrive_in_turn(full_fleet(), 60, SECOND // 4, groups)
    last = max(groups, key=lambda group: unit_hash(hash64(group), ORDER_SALT))
    assert set(attempted.values()) == {last}


def test_a_trial_does_not_go_to_a_backend_that_operators_have_set_aside() -> None:
    ledger = full_fleet()
    ledger.adopt(0, hint=1.0, group="group")
    ledger.balancer.external_view_changed(ledger.now, ExternalView(excluded=frozenset({0})))
    attempted = arrive_in_turn(ledger, 30, SECOND // 4, ["group"])
    assert attempted and 0 not in backends_of(ledger, attempted)


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
