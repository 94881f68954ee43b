"""Estimates that forget: decaying sums, and the usual loads learned with them."""

import math


class DecayingSum:
    """A sum that decays exponentially with time, brought up to date when read."""

    __slots__ = ("lifetime", "total", "updated_at")

    def __init__(self, lifetime: int) -> None:
        self.lifetime, self.total, self.updated_at = lifetime, 0.0, 0

    def read(self, now: int) -> float:
        """The sum as of now."""
        if now > self.updated_at:
            self.total *= math.exp((self.updated_at - now) / self.lifetime)
            self.updated_at = now
        return self.total

    def add(self, now: int, amount: float) -> None:
        """Adds an amount that decays from now on."""
        self.total = self.read(now) + amount


class DecayingRatio:
    """Two decaying sums whose ratio is an estimate, such as the mean of amounts over their count."""

    __slots__ = ("amount", "weight")

    def __init__(self, lifetime: int) -> None:
        self.amount, self.weight = DecayingSum(lifetime), DecayingSum(lifetime)

    def add(self, now: int, amount: float, weight: float = 1) -> None:
        """Adds to both sums."""
        self.amount.add(now, amount)
        self.weight.add(now, weight)


def mean(ratios: list[DecayingRatio], now: int) -> float | None:
    """The ratio of the sums over all ratios; none while they hold next to nothing."""
    weight = sum(ratio.weight.read(now) for ratio in ratios)
    return sum(ratio.amount.read(now) for ratio in ratios) / weight if weight > 0.1 else None


def mean_load(loads: list[DecayingRatio], now: int, request_class: int) -> float:
    """The usual load of a connection of a class, or of any class; 0 while unknown."""
    load = mean(loads[request_class : request_class + 1], now)
    return mean(loads, now) or 0.0 if load is None else load


def relative_load(loads: list[DecayingRatio], now: int, load: float) -> float:
    """A connection's load over the usual one; opening it is work too, however light it is."""
    usual = mean(loads, now)
    return max(0.1, load / usual) if usual and load else 1.0
