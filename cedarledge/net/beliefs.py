"""What the decision module has learned, as plain figures for the next process of this relay, and back.

No decision is made here: sums that fade are told as they are, with the names of what the host has numbered.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any

from cedarledge.choice import Balancer
from cedarledge.words import Indices

Sums = list[float]


def told_of(balancer: Balancer, kinds: Indices, now: int) -> dict[str, Any]:
    """Loads by profile, capacities by kind, and the rate at which backends may be filled."""
    return {
        "loads": [[sums.read(now) for sums in pair] for pair in balancer.loads],
        "capacity": [
            [kinds.names[kind], *(sums.read(now) for sums in pair)]
            for kind, pair in balancer.capacity.items()
            if kind >= 0
        ],
        "rate": balancer.rate,
    }


def follow(balancer: Balancer, kinds: Indices, told: Mapping[str, Any], now: int) -> None:
    """Raises KeyError, TypeError or ValueError for what is none of the above, and then changes nothing."""
    loads = [_figures(pair, 2) for pair in told["loads"]]
    capacity = [(kinds[name], _figures(pair, 2)) for name, *pair in told["capacity"]]
    (rate,) = _figures([told["rate"]], 1)
    if len(loads) != len(balancer.loads):
        raise ValueError("other profiles")
    for sums, pair in zip(balancer.loads, loads, strict=True):
        for one, figure in zip(sums, pair, strict=True):
            one.add(now, figure)
    # What it sees until it holds its share would have it unlearn this.
    balancer.rate, balancer.apart_until = rate, balancer.young_until
    for kind, pair in capacity:
        for one, figure in zip(balancer.capacity[kind], pair, strict=True):
            one.add(now, figure)


def _figures(told: Any, count: int) -> Sums:
    figures = [float(figure) for figure in told]
    if len(figures) != count or not all(isfinite(figure) and figure >= 0 for figure in figures):
        raise ValueError(f"not figures: {told!r}")
    return figures
