"""Probes and list requests of the balancing policy in virtual time, by number of relays and backends."""

from __future__ import annotations

import random
import time
from heapq import heappop, heappush

import msgspec

from cedarledge.scale.policy_host import PolicyHost
from cedarledge.terms import MS, SECOND

WARM_UP = 10 * SECOND
# The relays are independent of each other here, so a few of them represent all.
MAX_SIMULATED_RELAYS = 8
MIN_RATE = 1e-9


class ProbingSample(msgspec.Struct, frozen=True):
    """Probes and list requests of one relay, and the probes that one backend gets from all relays.

    `backend_seen_every` is the mean number of seconds between two probes of a backend by the same relay.
    """

    probes_per_relay_second: float
    probes_per_backend_second: float
    backend_seen_every: float
    list_calls_at_start: float
    processor_ms_per_second: float


class _Simulation:
    """Relays on one virtual clock (ns), and the queue of their timers."""

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[tuple[int, int, int, int]] = []
        self._order = 0
        self.relays: list[PolicyHost] = []

    def add_relay(self, seed: int, relays: int, backends: int) -> None:
        index = len(self.relays)

        def set_timer(delay: int, token: int) -> None:
            self._order += 1
            heappush(self._heap, (self.now + delay, self._order, index, token))

        self.relays.append(PolicyHost(self.now, seed, relays, backends, set_timer))

    def run(self, until: int) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, index, token = heappop(self._heap)
            self.relays[index].timer_fired(self.now, token)
        self.now = until

    def probe_count(self) -> int:
        return sum(relay.probes for relay in self.relays)


def measure(relays: int, backends: int, seed: int, calm_seconds: float) -> ProbingSample:
    """Simulates relays without clients and measures them over `calm_seconds` after a warm-up."""
    simulation = _Simulation()
    rng = random.Random(seed)
    simulated = min(relays, MAX_SIMULATED_RELAYS)
    for _ in range(simulated):
        simulation.add_relay(rng.getrandbits(32), relays, backends)
    simulation.run(WARM_UP)
    probes_before, processor_before = simulation.probe_count(), time.process_time_ns()
    simulation.run(WARM_UP + int(calm_seconds * SECOND))
    per_relay = (simulation.probe_count() - probes_before) / simulated / calm_seconds
    per_backend = per_relay * relays / backends
    processor = (time.process_time_ns() - processor_before) / MS / simulated / calm_seconds
    return ProbingSample(
        per_relay,
        per_backend,
        backends / max(per_relay, MIN_RATE),
        sum(relay.list_calls for relay in simulation.relays) / simulated,
        processor,
    )
