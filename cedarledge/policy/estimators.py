"""Exponentially decaying sums and ratios, and load estimates based on them."""

import math


class DecayingSum:
    """A sum that decays exponentially with time."""

    __slots__ = ("lifetime", "total", "updated_at")

    def __init__(self, lifetime: int) -> None:
        """Starts at 0; amounts decay to 1/e over the lifetime, in nanoseconds."""
        self.lifetime, self.total, self.updated_at = lifetime, 0.0, 0

    def read(self, now: int) -> float:
        """Returns the sum at the given time."""
        if now > self.updated_at:
            self.total *= math.exp((self.updated_at - now) / self.lifetime)
            self.updated_at = now
        return self.total

    def add(self, now: int, amount: float) -> None:
        """Adds an amount that decays from the given time on."""
        self.total = self.read(now) + amount


class DecayingRatio:
    """Two decaying sums whose ratio is an estimate, such as a weighted mean."""

    __slots__ = ("amount", "weight")

    def __init__(self, lifetime: int) -> None:
        """Starts with both sums at 0; the lifetime is that of both."""
        self.amount, self.weight = DecayingSum(lifetime), DecayingSum(lifetime)

    def add(self, now: int, amount: float, weight: float = 1) -> None:
        """Adds to both sums; with the default weight their ratio is the mean of the amounts."""
        self.amount.add(now, amount)
        self.weight.add(now, weight)


def mean(ratios: list[DecayingRatio], now: int) -> float | None:
    """Returns the ratio of the summed amounts and weights; None while there is almost no weight."""
    weight = sum(ratio.weight.read(now) for ratio in ratios)
    return sum(ratio.amount.read(now) for ratio in ratios) / weight if weight > 0.1 else None


def mean_load(loads: list[DecayingRatio], now: int, request_class: int) -> float:
    """Returns the mean load of connections of a class, else of all classes; 0 while unknown."""
    load = mean(loads[request_class : request_class + 1], now)
    return mean(loads, now) or 0.0 if load is None else load


def relative_load(loads: list[DecayingRatio], now: int, load: float) -> float:
    """Returns a load relative to the mean; at least 0.1, as opening even a light connection is work."""
    mean_of_all = mean(loads, now)
    return max(0.1, load / mean_of_all) if mean_of_all and load else 1.0
