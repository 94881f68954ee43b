"""Exports what the policy has learned as plain numbers, and imports it in the next process of this relay.

Nothing is decided here. Decaying sums are passed on with their present values, and kinds of hosts by name,
since each process numbers them for itself.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any

from cedarledge.policy import Balancer
from cedarledge.policy.estimators import DecayingRatio
from cedarledge.settings import Indices

Values = list[float]


def export_state(balancer: Balancer, kinds: Indices, now: int) -> dict[str, Any]:
    """Returns loads by profile, capacities by kind of host, and the rate at which backends may be filled."""
    state = balancer.state
    return {
        "loads": [_present_values(load, now) for load in state.class_loads],
        "capacity": [
            [kinds.names[kind], *_present_values(capacity, now)]
            for kind, capacity in state.host_type_capacity.items()
            if kind >= 0
        ],
        "rate": state.fill_rate,
    }


def import_state(balancer: Balancer, kinds: Indices, learned: Mapping[str, Any], now: int) -> None:
    """Takes over what `export_state` returned in another process.

    Raises KeyError, TypeError or ValueError for malformed input, and then changes nothing.
    """
    state = balancer.state
    loads = [_checked_values(pair, 2) for pair in learned["loads"]]
    capacity = [(kinds[name], _checked_values(pair, 2)) for name, *pair in learned["capacity"]]
    (rate,) = _checked_values([learned["rate"]], 1)
    if len(loads) != len(state.class_loads):
        raise ValueError("loads of other profiles")
    for load, pair in zip(state.class_loads, loads, strict=True):
        load.add(now, *pair)
    # Until this process holds its share of the connections, its own measurements would displace these values.
    state.fill_rate, state.unrepresentative_until = rate, state.settling_until
    for kind, pair in capacity:
        state.host_type_capacity[kind].add(now, *pair)


def _present_values(ratio: DecayingRatio, now: int) -> Values:
    return [ratio.amount.read(now), ratio.weight.read(now)]


def _checked_values(data: Any, count: int) -> Values:
    values = [float(value) for value in data]
    if len(values) != count or not all(isfinite(value) and value >= 0 for value in values):
        raise ValueError(f"not finite numbers of 0 or more: {data!r}")
    return values
