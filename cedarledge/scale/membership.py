"""Cost and convergence of membership by fleet size: the state machines of cedarledge/peers in virtual time.

All members of a run know each other from the beginning. After a warm-up the run measures traffic and
processor time over a period without failures, then changes the record of one member and finally kills
another one.
"""

from __future__ import annotations

import time
import tracemalloc
from typing import Any

import msgspec
import numpy as np

from cedarledge import __version__
from cedarledge.model.peers import Fault, Fleet, MemberNode
from cedarledge.model.simulation import Link
from cedarledge.peers.machine import METADATA_INTERVAL, METADATA_INTERVAL_PER_MEMBER, Membership
from cedarledge.peers.messages import MemberUpdate, MetadataValue, State, decode, encode
from cedarledge.scale.target import REGIONS, ZONES
from cedarledge.terms import MS, SECOND

WARM_UP = 15 * SECOND
# Upper bounds of the measured times: what takes longer counts as this long.
CHANGE_TIMEOUT, DEATH_TIMEOUT = 30 * SECOND, 12 * SECOND
# Equal to METADATA_POLL_INTERVAL in peers/shell.py: how often a relay's shell hands its current metadata to
# the state machine.
METADATA_POLL_INTERVAL = 500 * MS
MEMBER_SHARES = (0.5, 0.99, 1.0)


class MembershipSample(msgspec.Struct, frozen=True):
    """Cost per member, and how long a change and a death take to reach the others, in seconds."""

    bytes_per_second: float
    messages_per_second: float
    processor_ms_per_second: float
    change_known_first: float
    change_known_half: float
    change_known_99: float
    change_known_all: float
    death_seen_first: float
    death_seen_all: float
    false_suspicions_per_minute: float


class _ChangeTracker:
    """Records after which time each member first knows the new state of the member `origin`."""

    def __init__(self, fleet: Fleet, origin: str, value: str) -> None:
        """Starts at the current virtual time; `value` is the new value of the metadata field `state`."""
        self.fleet = fleet
        self.origin = origin
        self.value = value
        self.started_at = fleet.simulation.now
        self.known_after: dict[str, int] = {}

    def node_acted(self, node: MemberNode) -> None:
        """Checks the node's view; the simulation calls it after each action of a node."""
        if node.membership is None or node.name in self.known_after:
            return
        member = node.membership.members.get(self.origin)
        if member is not None and member.metadata.get("state", (0, ""))[1] == self.value:
            self.known_after[node.name] = self.fleet.simulation.now - self.started_at

    def propagation_times(self, others: int) -> list[float]:
        """Returns the seconds until the first member and each of MEMBER_SHARES knew the change.

        `others` is the number of members that can learn of it. Members that never did count as
        CHANGE_TIMEOUT.
        """
        delays = sorted(span / SECOND for span in self.known_after.values())
        delays += [CHANGE_TIMEOUT / SECOND] * (others - len(delays))
        return [delays[0]] + [delays[int(np.ceil(share * others)) - 1] for share in MEMBER_SHARES]


def measure(
    size: int, seed: int, calm_seconds: float, loss: float = 0.0, changing: bool = True
) -> MembershipSample:
    """Simulates one fleet.

    `loss` is the share of datagrams lost; with `changing`, records change continuously.
    """
    calm = int(calm_seconds * SECOND)
    kill_at = WARM_UP + calm + CHANGE_TIMEOUT
    kill = Fault("kill", kill_at, kill_at + SECOND, (size // 2,))
    fleet = Fleet(size, seed, [kill], link=Link(loss=loss), prejoined=True)
    fleet.simulation.on_action = _ignore_action
    _set_initial_records(fleet, changing)
    fleet.simulation.run(WARM_UP)
    bytes_before, messages_before = _sent_totals(fleet)
    false_before = fleet.false_suspicions
    processor_before = time.process_time_ns()
    fleet.simulation.run(WARM_UP + calm)
    processor = time.process_time_ns() - processor_before
    bytes_after, messages_after = _sent_totals(fleet)
    member_seconds = size * calm / SECOND
    false_suspicions = fleet.false_suspicions - false_before
    change = _measure_change(fleet)
    fleet.simulation.run(kill_at + DEATH_TIMEOUT)
    return MembershipSample(
        (bytes_after - bytes_before) / member_seconds,
        (messages_after - messages_before) / member_seconds,
        processor / MS / member_seconds,
        *change,
        (fleet.detection_times or [DEATH_TIMEOUT])[0] / SECOND,
        (fleet.full_detection_times or [DEATH_TIMEOUT])[0] / SECOND,
        false_suspicions / member_seconds * 60,
    )


def _set_initial_records(fleet: Fleet, changing: bool) -> None:
    """Gives every member the records of all others and, if `changing`, schedules updates of their load."""
    for node in fleet.nodes:
        node.membership.set_metadata(node.now, **_relay_metadata(node.index, node.index))
    updates = [node.membership.own_update() for node in fleet.nodes]
    for node in fleet.nodes:
        for update in updates:
            if update.name != node.name:
                node.membership._apply_update(update)
        node.membership._broadcasts.clear()
        _randomize_republish_time(node.membership, len(updates))
        if changing:
            fleet.simulation.call_later(
                fleet.rng.randrange(METADATA_POLL_INTERVAL), _update_load, fleet, node
            )


def _randomize_republish_time(membership: Membership, size: int) -> None:
    """Replaces the timer of the periodic metadata broadcast by one that expires at a random time.

    Members that start at the same moment would otherwise broadcast in the same seconds for minutes.
    """
    membership._timers = {
        token: timer
        for token, timer in membership._timers.items()
        if timer[1] != membership._republish_metadata
    }
    span = max(METADATA_INTERVAL, METADATA_INTERVAL_PER_MEMBER * size)
    membership._schedule(membership.rng.randrange(span), membership._republish_metadata)


def _update_load(fleet: Fleet, node: MemberNode) -> None:
    if node.machine is None:
        return
    load = fleet.rng.randrange(90_000, 97_000)
    node.membership.set_metadata(node.now, tunnels=load, newcomers=load / 1800)
    fleet.simulation.call_later(METADATA_POLL_INTERVAL, _update_load, fleet, node)


def _relay_metadata(number: int, load: int) -> dict[str, MetadataValue]:
    """Returns the metadata fields that a relay publishes about itself: see fleet.py."""
    return {
        "state": "ready",
        "zone": f"zone-{number % ZONES}",
        "region": f"region-{number % REGIONS}",
        "version": __version__,
        "settings": "0f3c5a7b9d12",
        "tunnels": load,
        "newcomers": load / 1800,
    }


def _ignore_action(_node: Any) -> None:
    """Replaces the checks of the model, whose processor time must not be measured."""


def _sent_totals(fleet: Fleet) -> tuple[int, int]:
    return sum(node.sent_bytes for node in fleet.nodes), sum(node.sent for node in fleet.nodes)


def _measure_change(fleet: Fleet) -> list[float]:
    origin = fleet.nodes[0]
    tracker = _ChangeTracker(fleet, origin.name, "away")
    fleet.simulation.on_action = tracker.node_acted
    origin.membership.publish_metadata(origin.now, state="away")
    fleet.simulation.run(fleet.simulation.now + CHANGE_TIMEOUT)
    fleet.simulation.on_action = _ignore_action
    return tracker.propagation_times(len(fleet.nodes) - 1)


class _NullHost:
    """Host of a state machine that only receives datagrams; ignores everything that the machine does."""

    def send(self, address: str, data: bytes) -> None: ...
    def set_timer(self, delay: int, token: int) -> None: ...
    def changed(self, name: str, before: State | None, after: State | None, why: str) -> None: ...
    def name_conflict(self, address: str) -> None: ...


def view_bytes(size: int) -> int:
    """Returns the bytes that one member's view of `size` others takes, measured with tracemalloc."""
    sender = Membership(_NullHost(), "scale", "speaker", "10.200.0.1:7000")
    receiver = Membership(_NullHost(), "scale", "listener", "10.200.0.2:7000")
    template = decode(_first_ping_of(sender))
    datagrams = [
        encode(msgspec.structs.replace(template, updates=[_member_update(number)])) for number in range(size)
    ]
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for data in datagrams:
            receiver.received(SECOND, data)
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


def _first_ping_of(sender: Membership) -> bytes:
    sent: list[bytes] = []
    sender.host.send = lambda _address, data: sent.append(data)  # type: ignore[method-assign]
    sender.seeds = ("10.200.0.2:7000",)
    sender.start(0)
    return sent[0]


def _member_update(number: int) -> MemberUpdate:
    metadata = {name: (1, value) for name, value in _relay_metadata(number, 93_000 + number).items()}
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000"
    return MemberUpdate(f"relay-{number}", address, number + 1, 0, State.ALIVE, "", metadata)
