"""The policy's probes and list calls in virtual time, as relays and backends grow."""

from __future__ import annotations

import random
import time
from heapq import heappop, heappush

import msgspec

from cedarledge.scale.policy_host import PolicyHost
from cedarledge.terms import MS, SECOND

WARM_UP = 10 * SECOND
# Relays do not act on each other here, so a few of them stand for all.
MOST_PLAYED = 8
LEAST_RATE = 1e-9


class ProbingSample(msgspec.Struct, frozen=True):
    """Probes and first list calls of one relay, and what all relays ask of one backend."""

    probes_per_relay_second: float
    probes_per_backend_second: float
    backend_seen_every: float
    list_calls_at_start: float
    processor_ms_per_second: float


class _Timeline:
    """Relays on one virtual clock."""

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[tuple[int, int, int, int]] = []
        self._order = 0
        self.relays: list[PolicyHost] = []

    def add(self, seed: int, relays: int, backends: int) -> None:
        place = len(self.relays)

        def wake(delay: int, token: int) -> None:
            self._order += 1
            heappush(self._heap, (self.now + delay, self._order, place, token))

        self.relays.append(PolicyHost(self.now, seed, relays, backends, wake))

    def run(self, until: int) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, place, token = heappop(self._heap)
            self.relays[place].woke(self.now, token)
        self.now = until

    def probes(self) -> int:
        return sum(relay.probes for relay in self.relays)


def measure(relays: int, backends: int, seed: int, calm_seconds: float) -> ProbingSample:
    """Relays without clients before so many backends."""
    timeline = _Timeline()
    chance = random.Random(seed)
    played = min(relays, MOST_PLAYED)
    for _ in range(played):
        timeline.add(chance.getrandbits(32), relays, backends)
    timeline.run(WARM_UP)
    probes_before, processor_before = timeline.probes(), time.process_time_ns()
    timeline.run(WARM_UP + int(calm_seconds * SECOND))
    per_relay = (timeline.probes() - probes_before) / played / calm_seconds
    per_backend = per_relay * relays / backends
    processor = (time.process_time_ns() - processor_before) / MS / played / calm_seconds
    return ProbingSample(
        per_relay,
        per_backend,
        backends / max(per_relay, LEAST_RATE),
        sum(relay.list_calls for relay in timeline.relays) / played,
        processor,
    )
