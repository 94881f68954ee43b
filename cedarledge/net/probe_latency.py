"""Compares the time that a backend takes to answer a probe with its usual time and with other backends."""

from __future__ import annotations

from statistics import median_low

# The usual time of a backend is the shortest one seen, increased by this factor with each probe.
USUAL_TIME_GROWTH = 1.05


class ProbeLatencies:
    """Detects backends that answer probes more slowly than usual.

    A backend's load report is a second old, whereas the time that its probe takes is current. A probe that
    is served along with the connections shows how long these wait. One that is served ahead of them shows
    the network round trip alone, and then `slowdown` never exceeds 1.
    """

    def __init__(self, min_excess: int) -> None:
        """A probe counts as slow if it takes over `min_excess` ns longer than its backend's usual time."""
        self.min_excess = min_excess
        self._usual: dict[int, float] = {}
        self._latest: dict[int, float] = {}

    def slowdown(self, backend_id: int, duration: int) -> float:
        """Records a probe's duration in ns and returns how many times slower than usual it is, at least 1.

        The factor is relative to the median of all backends: where all are slower the whole fleet is loaded,
        which the load reports show.
        """
        usual = self._usual.get(backend_id, duration)
        self._usual[backend_id] = min(duration, usual * USUAL_TIME_GROWTH)
        self._latest[backend_id] = duration / usual if duration - usual > self.min_excess else 1.0
        return max(1.0, self._latest[backend_id] / median_low(self._latest.values()))
