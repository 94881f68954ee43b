"""How long each backend takes for a probe, against its own usual time and the others'."""

from __future__ import annotations

from statistics import median_low

# The usual time is the shortest seen, which is let rise by this with each probe.
RISE = 1.05


class ProbeLatencies:
    """A backend's report is a second old; how long the probe for it took is not.

    A probe that is served beside the tunnels tells of the wait that they have. One served ahead of them
    tells of the way there alone, and then nothing here ever comes out over 1.
    """

    def __init__(self, least: int) -> None:
        self.least = least  # what a probe must take beyond its usual time to tell anything
        self._usual: dict[int, float] = {}
        self._latest: dict[int, float] = {}

    def slowdown(self, backend_id: int, took: int) -> float:
        """How many times its usual time a probe took. Where all are slower the fleet is full, which the
        reports say; a backend counts as slower than the others alone."""
        usual = self._usual.get(backend_id, took)
        self._usual[backend_id] = min(took, usual * RISE)
        self._latest[backend_id] = took / usual if took - usual > self.least else 1.0
        return max(1.0, self._latest[backend_id] / median_low(self._latest.values()))
