"""What a relay takes for the fleet's load, and what it rejects by it, at deployments of the laws' range.

Each test is one cause of the breaks that tests/play_laws.py found; the laws are in test_policy_laws.py.
"""

from __future__ import annotations

from helpers import SECOND, Ledger, facts, listed
from pytest import approx

from cedarledge.policy import utilization
from cedarledge.policy.state import State
from cedarledge.terms import ListForm, LoadReport


def fleet_load(state: State, now: int) -> float:
    """The mean as it is now, not as it was a moment ago."""
    state.fleet_load_until = 0
    return utilization.fleet(state, now)


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
        ledger.balancer.probed(ledger.now, backend_id, True, LoadReport(asked=0.5))
    assert fleet_load(ledger.balancer.state, ledger.now) == approx(0.5, abs=0.01)


def test_a_load_that_is_told_after_a_report_is_no_change_since_that_report() -> None:
    """A connection from before this relay's start may come without its load, which its lines tell later."""
    ledger = Ledger(facts(relays=4))
    ledger.tell(ListForm.RESTORED, *(listed(number) for number in range(4)))
    connections = [ledger.adopt(number % 4) for number in range(40)]
    for connection_id in connections[:36]:
        ledger.balancer.load_told(ledger.now, connection_id, 10.0)
    for backend_id in range(4):
        ledger.balancer.probed(ledger.now, backend_id, True, LoadReport(asked=0.5))
    for connection_id in connections[36:]:
        ledger.balancer.load_told(ledger.now, connection_id, 100.0)
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
            ledger.balancer.probed(ledger.now, backend_id, True, LoadReport(asked=asked))
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
    (probed,) = ledger.balancer.state.waiting.values()
    assert probed.reported < 0 and not ledger.declines
    ledger.balancer.probed(ledger.now, probed.backend_id, True, LoadReport(asked=1.1))
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
    (probed,) = ledger.balancer.state.waiting.values()
    ledger.balancer.client_gone(ledger.now, connection_id)
    ledger.balancer.probed(ledger.now, probed.backend_id, True, LoadReport(asked=0.1))
    assert connection_id not in rejected(ledger) and not ledger.cases[connection_id].setups
