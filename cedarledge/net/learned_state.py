"""What the decision module has learned, as plain figures for the next process of this relay, and back.

No decision is made here: sums that fade are told as they are, with the names of what the host has numbered.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any

from cedarledge.policy import Balancer
from cedarledge.policy.estimators import DecayingRatio
from cedarledge.settings import Indices

Sums = list[float]


def export_state(balancer: Balancer, kinds: Indices, now: int) -> dict[str, Any]:
    """Loads by profile, capacities by kind, and the rate at which backends may be filled."""
    state = balancer.state
    return {
        "loads": [_sums(load, now) for load in state.class_loads],
        "capacity": [
            [kinds.names[kind], *_sums(capacity, now)]
            for kind, capacity in state.host_type_capacity.items()
            if kind >= 0
        ],
        "rate": state.fill_rate,
    }


def import_state(balancer: Balancer, kinds: Indices, told: Mapping[str, Any], now: int) -> None:
    """Raises KeyError, TypeError or ValueError for what is none of the above, and then changes nothing."""
    state = balancer.state
    loads = [_figures(pair, 2) for pair in told["loads"]]
    capacity = [(kinds[name], _figures(pair, 2)) for name, *pair in told["capacity"]]
    (rate,) = _figures([told["rate"]], 1)
    if len(loads) != len(state.class_loads):
        raise ValueError("other profiles")
    for load, pair in zip(state.class_loads, loads, strict=True):
        load.add(now, *pair)
    # What it sees until it holds its share would have it unlearn this.
    state.fill_rate, state.unrepresentative_until = rate, state.settling_until
    for kind, pair in capacity:
        state.host_type_capacity[kind].add(now, *pair)


def _sums(ratio: DecayingRatio, now: int) -> Sums:
    return [ratio.amount.read(now), ratio.weight.read(now)]


def _figures(told: Any, count: int) -> Sums:
    figures = [float(figure) for figure in told]
    if len(figures) != count or not all(isfinite(figure) and figure >= 0 for figure in figures):
        raise ValueError(f"not figures: {told!r}")
    return figures
