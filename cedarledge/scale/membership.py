"""Membership in virtual time: the machines of cedarledge/peers, and what each costs at a size.

A run starts with all members knowing each other, waits for the start to be over, measures a calm span, then
changes one member's record and kills another one.
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
# What takes longer counts as this long.
CHANGE_AWAITED, DEATH_AWAITED = 30 * SECOND, 12 * SECOND
# How often a relay's shell tells its machine what has changed: see peers/shell.py.
TELL_EVERY = 500 * MS
SHARES_OF_MEMBERS = (0.5, 0.99, 1.0)


class MembershipSample(msgspec.Struct, frozen=True):
    """What one member costs, and how long the fleet takes to hear of something; seconds where not said."""

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


class _ChangeWatch:
    """Notes when each member first holds the new record of one of them."""

    def __init__(self, fleet: Fleet, origin: str, value: str) -> None:
        self.fleet = fleet
        self.origin = origin
        self.value = value
        self.began = fleet.simulation.now
        self.known: dict[str, int] = {}

    def acted(self, place: MemberNode) -> None:
        if place.membership is None or place.name in self.known:
            return
        member = place.membership.members.get(self.origin)
        if member is not None and member.metadata.get("state", (0, ""))[1] == self.value:
            self.known[place.name] = self.fleet.simulation.now - self.began

    def times(self, others: int) -> list[float]:
        """Of the first member and of each share of them; at most as long as is waited."""
        heard = sorted(span / SECOND for span in self.known.values())
        heard += [CHANGE_AWAITED / SECOND] * (others - len(heard))
        return [heard[0]] + [heard[int(np.ceil(share * others)) - 1] for share in SHARES_OF_MEMBERS]


def measure(
    size: int, seed: int, calm_seconds: float, loss: float = 0.0, changing: bool = True
) -> MembershipSample:
    """One fleet of a size, with a share of all datagrams lost; `changing`: records change all the time."""
    calm = int(calm_seconds * SECOND)
    kill_at = WARM_UP + calm + CHANGE_AWAITED
    kill = Fault("kill", kill_at, kill_at + SECOND, (size // 2,))
    fleet = Fleet(size, seed, [kill], link=Link(loss=loss), prejoined=True)
    fleet.simulation.on_action = _nothing
    _tell_records(fleet, changing)
    fleet.simulation.run(WARM_UP)
    bytes_before, messages_before = _sent(fleet)
    false_before = fleet.false_suspicions
    processor_before = time.process_time_ns()
    fleet.simulation.run(WARM_UP + calm)
    processor = time.process_time_ns() - processor_before
    bytes_after, messages_after = _sent(fleet)
    member_seconds = size * calm / SECOND
    false_suspicions = fleet.false_suspicions - false_before
    change = _change(fleet)
    fleet.simulation.run(kill_at + DEATH_AWAITED)
    return MembershipSample(
        (bytes_after - bytes_before) / member_seconds,
        (messages_after - messages_before) / member_seconds,
        processor / MS / member_seconds,
        *change,
        (fleet.detection_times or [DEATH_AWAITED])[0] / SECOND,
        (fleet.full_detection_times or [DEATH_AWAITED])[0] / SECOND,
        false_suspicions / member_seconds * 60,
    )


def _tell_records(fleet: Fleet, changing: bool) -> None:
    """All hold the records that relays tell of themselves, which may go on changing as connections come and
    go."""
    for place in fleet.nodes:
        place.membership.set_metadata(place.now, **_record(place.index, place.index))
    told = [place.membership.own_update() for place in fleet.nodes]
    for place in fleet.nodes:
        for news in told:
            if news.name != place.name:
                place.membership._apply_update(news)
        place.membership._broadcasts.clear()
        _retell_out_of_step(place.membership, len(told))
        if changing:
            fleet.simulation.call_later(fleet.rng.randrange(TELL_EVERY), _tell_again, fleet, place)


def _retell_out_of_step(peers: Membership, size: int) -> None:
    """Members that start in one moment would all tell their records in the same seconds for minutes."""
    peers._timers = {
        token: wait for token, wait in peers._timers.items() if wait[1] != peers._republish_metadata
    }
    span = max(METADATA_INTERVAL, METADATA_INTERVAL_PER_MEMBER * size)
    peers._schedule(peers.rng.randrange(span), peers._republish_metadata)


def _tell_again(fleet: Fleet, place: MemberNode) -> None:
    if place.machine is None:
        return
    load = fleet.rng.randrange(90_000, 97_000)
    place.membership.set_metadata(place.now, tunnels=load, newcomers=load / 1800)
    fleet.simulation.call_later(TELL_EVERY, _tell_again, fleet, place)


def _record(number: int, load: int) -> dict[str, MetadataValue]:
    """The fields that a relay with membership tells of itself: see fleet.py."""
    return {
        "state": "ready",
        "zone": f"zone-{number % ZONES}",
        "region": f"region-{number % REGIONS}",
        "version": __version__,
        "settings": "0f3c5a7b9d12",
        "tunnels": load,
        "newcomers": load / 1800,
    }


def _nothing(_place: Any) -> None:
    """In place of the model's own checks, whose time is not to be counted."""


def _sent(fleet: Fleet) -> tuple[int, int]:
    return sum(place.sent_bytes for place in fleet.nodes), sum(place.sent for place in fleet.nodes)


def _change(fleet: Fleet) -> list[float]:
    origin = fleet.nodes[0]
    watch = _ChangeWatch(fleet, origin.name, "away")
    fleet.simulation.on_action = watch.acted
    origin.membership.publish_metadata(origin.now, state="away")
    fleet.simulation.run(fleet.simulation.now + CHANGE_AWAITED)
    fleet.simulation.on_action = _nothing
    return watch.times(len(fleet.nodes) - 1)


class _SilentHost:
    """Hosts a machine that is only fed."""

    def send(self, address: str, data: bytes) -> None: ...
    def set_timer(self, delay: int, token: int) -> None: ...
    def changed(self, name: str, before: State | None, after: State | None, why: str) -> None: ...
    def name_conflict(self, address: str) -> None: ...


def view_bytes(size: int) -> int:
    """Memory that one member's view of `size` others takes, by tracemalloc."""
    speaker = Membership(_SilentHost(), "scale", "speaker", "10.200.0.1:7000")
    listener = Membership(_SilentHost(), "scale", "listener", "10.200.0.2:7000")
    head = decode(_ping_of(speaker))
    datagrams = [encode(msgspec.structs.replace(head, updates=[_news(number)])) for number in range(size)]
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for data in datagrams:
            listener.received(SECOND, data)
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


def _ping_of(speaker: Membership) -> bytes:
    sent: list[bytes] = []
    speaker.host.send = lambda _address, data: sent.append(data)  # type: ignore[method-assign]
    speaker.seeds = ("10.200.0.2:7000",)
    speaker.start(0)
    return sent[0]


def _news(number: int) -> MemberUpdate:
    told = {name: (1, value) for name, value in _record(number, 93_000 + number).items()}
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000"
    return MemberUpdate(f"relay-{number}", address, number + 1, 0, State.ALIVE, "", told)
