"""Cost of a quorum decision in virtual time: messages, bytes, latency and processor time."""

from __future__ import annotations

import time

import msgspec

from cedarledge.model.simulation import Link
from cedarledge.model.votes import VoterCluster
from cedarledge.terms import MS, SECOND

DECISION_TIMEOUT = 30 * SECOND
TIME_STEP = MS


class QuorumSample(msgspec.Struct, frozen=True):
    """Means per decision over a run; `undecided` counts the decisions that timed out."""

    messages: float
    bytes: float
    milliseconds: float
    processor_ms: float
    undecided: int


def measure(voters: int, seed: int, decisions: int, delay_ms: float, loss: float = 0.0) -> QuorumSample:
    """Simulates `decisions` decisions, one after the other, proposed by each voter in turn.

    `delay_ms` is the one-way delay between voters, `loss` the share of messages lost.
    """
    cluster = VoterCluster(voters, seed)
    simulation = cluster.simulation
    simulation.default_link = Link(delay=int(delay_ms * MS), loss=loss)
    simulation.run(10 * SECOND)
    sent_before = sum(node.sent for node in cluster.nodes)
    bytes_before = sum(node.sent_bytes for node in cluster.nodes)
    processor_before = time.process_time_ns()
    total_time, undecided = 0, 0
    for index in range(decisions):
        duration = _time_to_decide(cluster, index % voters)
        undecided += duration is None
        total_time += duration or 0
    processor = time.process_time_ns() - processor_before
    return QuorumSample(
        (sum(node.sent for node in cluster.nodes) - sent_before) / decisions,
        (sum(node.sent_bytes for node in cluster.nodes) - bytes_before) / decisions,
        total_time / max(1, decisions - undecided) / MS,
        processor / decisions / MS,
        undecided,
    )


def _time_to_decide(cluster: VoterCluster, proposer: int) -> int | None:
    """Proposes a value and returns the ns until every voter holds it, None after DECISION_TIMEOUT.

    Afterwards runs the simulation for another second, so that late messages still arrive.
    """
    simulation = cluster.simulation
    started_at, target_slot = simulation.now, max(cluster.chosen_values, default=0) + 1
    cluster.propose(proposer)
    while min(cluster.latest_slots.get(voter, 0) for voter in range(cluster.voter_count)) < target_slot:
        if simulation.now - started_at > DECISION_TIMEOUT:
            return None
        simulation.run(simulation.now + TIME_STEP)
    duration = simulation.now - started_at
    simulation.run(simulation.now + SECOND)
    return duration
