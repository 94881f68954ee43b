"""Measures the error of the relays' estimates of the fleet's mean load, over the draws of a law.

    python tests/estimate_error.py --law stuck --seed 1 --draws 40

docs/policy-laws.md describes the columns.
"""

from __future__ import annotations

import argparse
import math
import statistics
import sys
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import play_laws
import test_policy_laws as laws
from policy_models import Deployment
from policy_world import Relay, World

from cedarledge.terms import MS, SECOND, BackendState

# A relay that started less than this time ago has no usable estimate.
MIN_RELAY_AGE = 2 * SECOND
SAMPLE_INTERVAL = SECOND


@dataclass(frozen=True)
class Reading:
    """The estimate of one relay at one time, and the actual value."""

    deployment: Deployment
    estimate: float  # the relay's mean load of the fleet; below 0: unknown
    actual: float  # the mean load of the warm backends
    fresh: float  # the part of the warm backends with a recent report at the relay
    shed: float  # the part of the arrivals that the relay sheds

    @property
    def error(self) -> float:
        return self.estimate - self.actual


class ObservedWorld(World):
    """A simulation that samples the relays' estimates periodically."""

    readings: list[Reading]

    def __init__(self, deployment: Deployment, *rest: object, **named: object) -> None:
        super().__init__(deployment, *rest, **named)
        self.schedule(500 * MS, self._read_all)

    def _read_all(self) -> None:
        self.schedule(SAMPLE_INTERVAL, self._read_all)
        warm = [
            backend
            for backend in self.backends.values()
            if backend.state is BackendState.READY and not backend.is_cold(self.now)
        ]
        if not warm:
            return
        actual = statistics.mean(backend.utilization(self.now) for backend in warm)
        for relay in self.relays:
            if relay.alive and self.now - relay.started > MIN_RELAY_AGE:
                self.readings.append(self._read(relay, actual, [backend.backend_id for backend in warm]))

    def _read(self, relay: Relay, actual: float, warm: list[int]) -> Reading:
        state = relay.balancer.state
        fresh = sum(relay._has_recent_report(backend_id) for backend_id in warm) / len(warm)
        shed = min(1.0, state.shed_fraction * state.sample_confidence)
        return Reading(self.deployment, state.fleet_load, actual, fresh, shed)


def expected_shed(reading: Reading) -> float:
    """Returns the part that a relay with the actual mean load would shed, by the policy's thresholds."""
    if reading.deployment.group_size:
        return min(max(0.0, (reading.actual - 0.7) / 0.1), 1.0)
    return max(0.0, 1 - 0.85 / max(reading.actual, 0.01))


def read_all(law: play_laws.Law, seed: int, draws: int) -> list[Reading]:
    """Returns the readings of all draws of a law."""
    ObservedWorld.readings = []
    laws.World = ObservedWorld
    play_laws.play(law, seed, draws)
    return ObservedWorld.readings


def row(readings: list[Reading]) -> str:
    """Returns bias and root mean square of the error, per deployment of equal weight, and shed parts."""
    errors = defaultdict(list)
    for reading in readings:
        if reading.estimate >= 0:
            errors[reading.deployment].append(reading.error)
    if not errors:
        return f"{len(readings):7}  none known"
    bias = statistics.mean(statistics.mean(one) for one in errors.values())
    square = statistics.mean(statistics.mean(error**2 for error in one) for one in errors.values())
    fresh = statistics.mean(reading.fresh for reading in readings)
    shed = statistics.mean(reading.shed for reading in readings)
    expected = statistics.mean(expected_shed(reading) for reading in readings)
    return f"{len(readings):7} {bias:+7.3f} {math.sqrt(square):6.3f} {fresh:6.2f} {shed:6.3f} {expected:8.3f}"


def table(title: str, readings: Iterable[Reading], key: Callable[[Reading], object]) -> None:
    """Prints a row for each value of the key."""
    parts = defaultdict(list)
    for reading in readings:
        parts[key(reading)].append(reading)
    print(f"{title:24} readings   bias    rms  fresh   shed by truth")
    for value in sorted(parts, key=str):
        print(f"  {value!s:20} {row(parts[value])}")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--law", choices=[law.name for law in play_laws.LAWS], default="stuck")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--draws", type=int, default=40)
    arguments = parser.parse_args()
    law = next(law for law in play_laws.LAWS if law.name == arguments.law)
    readings = read_all(law, arguments.seed, arguments.draws)
    table("probes, groups", readings, lambda one: (one.deployment.probes, one.deployment.group_size > 0))
    table("relays", readings, lambda one: one.deployment.relays)
    table("backends", readings, lambda one: one.deployment.backends)
    table("part of them fresh", readings, lambda one: f"{min(4, int(one.fresh * 5)) / 5:.1f} and more")
    return 0


if __name__ == "__main__":
    sys.exit(main())
