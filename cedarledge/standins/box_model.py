"""What a feed box can do and how long it takes: a fluid model, without I/O or clock.

A box has cores; open connections keep a part of them busy, and a new one brings work of its own. What is
asked beyond what the cores can do piles up and delays every message. A box that has just started is cold: it
begins at a part of its strength and warms evenly. A cold box that is asked for far more than it can do, for
long, falls over, whoever asked for it.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from cedarledge.standins.plan import BoxPlan, BoxSettings
from cedarledge.terms import SECOND

# Past this share of its cores a box answers by what is piled up, not by its share alone.
KNEE = 0.93
# No more work than this piles up: clients that wait for longer have left.
MAX_BACKLOG = 6 * SECOND
# New connections' work counts as load for this long.
RECENT = SECOND


class Figures(NamedTuple):
    """What a box reports of itself."""

    utilization: float
    recent_ms: float
    asked: float
    piled_up_s: float
    held: int


class BoxModel:
    """One box's strength, load and backlog. Every method is told the time, in ns, never going back."""

    def __init__(self, plan: BoxPlan, terms: BoxSettings, now: int, cold: bool) -> None:
        self.plan = plan
        self.terms = terms
        self.started = now if cold else now - 2 * terms.warmup_duration
        self.slow = 1.0
        self.neighbour = 0.0  # share of the cores that another program takes
        self.hung = self.failing = self.frozen = self.draining = self.late_up = False
        self.load = 0.0
        self.held = 0
        self.piled = 0.0  # ns of work for all cores together
        self.at = now
        self._setups: deque[tuple[int, float]] = deque()  # when, and work in core seconds
        self._over_since = -1
        self._reports: deque[tuple[int, Figures]] = deque()
        self._refreshed = -1

    # -- strength and load -------------------------------------------------------------------------

    def is_cold(self, now: int) -> bool:
        return now < self.started + self.terms.warmup_duration

    def strength(self, now: int) -> float:
        """Core seconds a second."""
        whole = self.plan.cores * self.plan.speed / self.slow * (1 - self.neighbour)
        if not self.is_cold(now):
            return whole
        warm = (now - self.started) / self.terms.warmup_duration
        return whole * (self.terms.cold_from + (1 - self.terms.cold_from) * warm)

    def asked(self, now: int) -> float:
        """The load asked over what the box can do."""
        while self._setups and self._setups[0][0] < now - RECENT:
            self._setups.popleft()
        fresh = sum(work for _, work in self._setups) * SECOND / RECENT
        return (self.load + fresh) / self.strength(now)

    def advance(self, now: int) -> None:
        """Brings the backlog up to date."""
        span = now - self.at
        if span <= 0:
            return
        self.at = now
        asked = self.asked(now)
        self.piled = min(float(MAX_BACKLOG), max(0.0, self.piled + (asked - 1) * span))

    def message(self, now: int) -> int:
        """How long a message that comes now takes, in ns."""
        self.advance(now)
        share = min(KNEE, self.asked(now))
        alone = self.terms.message_time / self.plan.speed * self.slow / (1 - self.neighbour)
        return int(alone / (1 - share) + self.piled)

    # -- connections -------------------------------------------------------------------------------

    def takes(self, now: int) -> bool:
        """Whether a new connection fits."""
        self.advance(now)
        return not self.draining and self.held < self.plan.cap and self.piled <= self.terms.max_backlog

    def setup(self, now: int, taken: bool) -> int:
        """A new connection's work, also of one that is turned away; how long it takes, in ns."""
        part = 1.0 if taken else 0.2
        work = part * self.terms.setup_time / SECOND / self.plan.speed
        self._setups.append((now, work))
        return int(self.terms.round_trip + part * self.message(now))

    def opened(self, load: float) -> None:
        self.held += 1
        self.load += load

    def ended(self, load: float) -> None:
        self.held -= 1
        self.load = max(0.0, self.load - load)

    def is_pushed_over(self, now: int) -> bool:
        """Whether a cold box has been asked for too much for too long."""
        if not self.is_cold(now) or self.asked(now) <= self.terms.overload_multiple:
            self._over_since = -1
            return False
        if self._over_since < 0:
            self._over_since = now
        return now - self._over_since >= self.terms.overload_duration

    # -- reports -----------------------------------------------------------------------------------

    def report(self, now: int) -> Figures:
        """What a probe is told: made anew now and then, and late."""
        if self._refreshed < 0 or (now - self._refreshed >= self.terms.report_interval and not self.frozen):
            self._refreshed = now
            self.advance(now)
            asked = self.asked(now)
            self._reports.append(
                (
                    now,
                    Figures(min(1.0, asked), self.message(now) / 1e6, asked, self.piled / SECOND, self.held),
                )
            )
        while len(self._reports) > 1 and self._reports[1][0] <= now - self.terms.report_delay:
            self._reports.popleft()
        return self._reports[0][1]
