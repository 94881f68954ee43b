"""Quorum register: one value per slot under loss, delay and duplication of messages, and loss of state."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import mark, raises

from cedarledge.failover.votes import MAX_VALUE_BYTES, NO_BALLOT, Kind, Voter, VoterMessage, encode
from cedarledge.model.votes import VoterCluster, explore, run_seed
from cedarledge.terms import SECOND


class VoterWithoutRecovery(Voter):
    """Faulty: votes at once after a restart without stored state."""

    def _ask_status(self) -> None:
        self.floor = max(0, self.floor)


class VoterIgnoringAcceptedValues(Voter):
    """Faulty: proposes its own value where another one may have been chosen already."""

    def _handle_promise(self, vote: VoterMessage) -> None:
        super()._handle_promise(msgspec.structs.replace(vote, accepted_ballot=NO_BALLOT, value=b""))


@mark.parametrize("count,seeds", [(3, 60), (5, 25), (7, 8)])
def test_randomly_drawn_faults_leave_one_value_per_slot_and_end_in_agreement(count: int, seeds: int) -> None:
    rows = [run_seed(count, seed) for seed in range(seeds)]
    assert not [row for row in rows if "broken" in row]
    assert sum(row["plans"] for row in rows) > 10 * seeds


def test_every_order_of_six_events_of_three_voters_and_two_proposers() -> None:
    states, history = explore(6)
    assert states > 5000 and not history


def test_the_model_catches_faulty_voters() -> None:
    broken = [run_seed(3, seed, VoterWithoutRecovery) for seed in range(6)]
    assert any("number" in row.get("broken", "") for row in broken)
    states, history = explore(9, crashes=0, voter_type=VoterIgnoringAcceptedValues)
    assert history and "b'plan of 0'" in history[-1] and len(history) < 11, states


def test_two_proposers_that_compete_all_the_time_both_make_progress() -> None:
    register = VoterCluster(3, 5)
    register.simulation.run(3 * SECOND)
    for _ in range(60):
        for place in (0, 1):
            register.propose(place)
        register.simulation.run(register.simulation.now + SECOND)
    assert len(register.chosen_values) > 60


def test_without_a_majority_nothing_is_chosen_until_a_majority_is_back() -> None:
    register = VoterCluster(3, 2)
    register.simulation.run(3 * SECOND)
    for place in (0, 1):
        register.kill(place, False)
    register.propose(2)
    register.simulation.run(20 * SECOND)
    assert not register.chosen_values
    register.start(0)
    register.simulation.run(30 * SECOND)
    assert not register.chosen_values, "a voter without state and one with state are no majority"
    register.start(1)
    register.simulation.run(40 * SECOND)
    assert list(register.chosen_values.values()) == [b"plan 1"]


def test_a_voter_without_stored_state_does_not_vote_on_slots_it_may_have_voted_on() -> None:
    register = VoterCluster(3, 3)
    register.simulation.run(3 * SECOND)
    register.propose(0)
    register.simulation.run(4 * SECOND)
    register.kill(2, False)
    register.start(2)
    register.simulation.run(8 * SECOND)
    slot, voter = register.nodes[0].voter.chosen_slot, register.nodes[2].voter
    assert voter.chosen_slot == slot and voter.floor == slot + 1
    register.propose(0)
    register.propose(1)
    register.simulation.run(20 * SECOND)
    assert voter.chosen_slot >= slot + 2 and len(register.chosen_values) == 3


class RecordingHost:
    """A host that records what its voter sends and persists."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, voter_id: int, data: bytes) -> None:
        self.sent.append(data)

    def set_timer(self, delay: int, token: int) -> None:
        pass

    def persist(self, state: bytes) -> None:
        self.stored_state = state

    def approves(self, value: bytes) -> bool:
        return False

    def chosen(self, slot: int, value: bytes) -> None:
        pass


@settings(max_examples=200)
@given(st.binary(max_size=200))
def test_stored_state_that_does_not_decode_is_ignored_and_a_malformed_message_is_counted(data: bytes) -> None:
    host = RecordingHost()
    voter = Voter(host, 0, 3, 1, stored_state=data)
    assert voter.floor < 0
    voter.start()
    sent_before = len(host.sent)
    voter.received(data)
    assert voter.counts["malformed"] == 1 and len(host.sent) == sent_before


def test_a_voter_with_stored_state_keeps_its_promise() -> None:
    host = RecordingHost()
    voter = Voter(host, 0, 3, 1)
    voter.floor = 0
    voter.received(encode(VoterMessage(1, Kind.PREPARE, 1, 7, 1, (4, 1))))
    restarted = Voter(RecordingHost(), 0, 3, 2, stored_state=host.stored_state)
    restarted.received(encode(VoterMessage(1, Kind.PREPARE, 2, 8, 1, (3, 2))))
    assert (restarted.promised, restarted.floor) == ((4, 1), 0)
    assert Kind(msgspec.msgpack.decode(restarted.host.sent[-1])[1]) is Kind.NACK
    with raises(ValueError, match="3, 5 or 7"):
        Voter(host, 0, 4, 1)
    with raises(ValueError, match=str(MAX_VALUE_BYTES)):
        voter.propose(b"x" * (MAX_VALUE_BYTES + 1))
