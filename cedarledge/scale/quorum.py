"""The voting register in the model: messages, bytes and time that a decision takes."""

from __future__ import annotations

import time

import msgspec

from cedarledge.model.simulation import Link
from cedarledge.model.votes import VoterCluster
from cedarledge.terms import MS, SECOND

DECIDED_WITHIN = 30 * SECOND
STEP = MS


class QuorumSample(msgspec.Struct, frozen=True):
    """One decision, the mean over a run."""

    messages: float
    bytes: float
    milliseconds: float
    processor_ms: float
    undecided: int


def measure(voters: int, seed: int, decisions: int, delay_ms: float, loss: float = 0.0) -> QuorumSample:
    """So many decisions one after the other, with that delay a way between voters."""
    register = VoterCluster(voters, seed)
    simulation = register.simulation
    simulation.default_link = Link(delay=int(delay_ms * MS), loss=loss)
    simulation.run(10 * SECOND)
    sent_before = sum(place.sent for place in register.nodes)
    bytes_before = sum(place.sent_bytes for place in register.nodes)
    processor_before = time.process_time_ns()
    took, undecided = 0, 0
    for number in range(decisions):
        span = _decide(register, number % voters)
        undecided += span is None
        took += span or 0
    processor = time.process_time_ns() - processor_before
    return QuorumSample(
        (sum(place.sent for place in register.nodes) - sent_before) / decisions,
        (sum(place.sent_bytes for place in register.nodes) - bytes_before) / decisions,
        took / max(1, decisions - undecided) / MS,
        processor / decisions / MS,
        undecided,
    )


def _decide(register: VoterCluster, proposer: int) -> int | None:
    """How long until every voter holds a proposed value, and a little more for late messages."""
    simulation = register.simulation
    began, target = simulation.now, max(register.chosen_values, default=0) + 1
    register.propose(proposer)
    while min(register.latest_slots.get(place, 0) for place in range(register.voter_count)) < target:
        if simulation.now - began > DECIDED_WITHIN:
            return None
        simulation.run(simulation.now + STEP)
    took = simulation.now - began
    simulation.run(simulation.now + SECOND)
    return took
