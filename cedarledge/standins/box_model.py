"""Capacity and response times of an emulated backend: a fluid model without I/O or clock.

A box has cores. Open connections keep a part of them busy, and each new connection adds work of its own. Work
beyond the capacity becomes a backlog that delays every message. A box that has just started is cold: it
begins with a part of its capacity, which grows linearly until it is warm. A cold box whose load is far above
its capacity for long fails, whichever relays the load comes from.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from cedarledge.standins.plan import BoxPlan, BoxSettings
from cedarledge.terms import SECOND

# Utilization at which the response time stops growing with the load; beyond it only the backlog adds delay.
KNEE = 0.93
# Limit of the backlog: clients that would wait longer have left.
MAX_BACKLOG = 6 * SECOND
# The work of a new connection counts as load for this long.
RECENT = SECOND


class LoadReport(NamedTuple):
    """What a box reports about itself."""

    utilization: float
    recent_ms: float
    load_ratio: float
    backlog_s: float
    connections: int


class BoxModel:
    """Capacity, load and backlog of one box. Methods take the time in ns, which must not go back."""

    def __init__(self, plan: BoxPlan, settings: BoxSettings, now: int, cold: bool) -> None:
        """Creates an idle box; one that is not `cold` has finished its warm-up."""
        self.plan = plan
        self.settings = settings
        self.started = now if cold else now - 2 * settings.warmup_duration
        self.slow = 1.0  # divisor of the speed
        self.neighbour = 0.0  # share of the cores that another program uses
        self.hung = self.failing = self.frozen = self.draining = self.late_up = False
        self.load = 0.0
        self.connections = 0
        self.backlog = 0.0  # ns of work for all cores together
        self.at = now
        self._setups: deque[tuple[int, float]] = deque()  # time, and work in core seconds
        self._overloaded_since = -1
        self._reports: deque[tuple[int, LoadReport]] = deque()
        self._report_made_at = -1

    # -- capacity and load -------------------------------------------------------------------------

    def is_cold(self, now: int) -> bool:
        """Tells whether the warm-up is still going on."""
        return now < self.started + self.settings.warmup_duration

    def capacity(self, now: int) -> float:
        """Returns the capacity in core seconds a second."""
        full = self.plan.cores * self.plan.speed / self.slow * (1 - self.neighbour)
        if not self.is_cold(now):
            return full
        warm = (now - self.started) / self.settings.warmup_duration
        return full * (self.settings.cold_from + (1 - self.settings.cold_from) * warm)

    def load_ratio(self, now: int) -> float:
        """Returns the load divided by the capacity; above 1 the box is overloaded."""
        while self._setups and self._setups[0][0] < now - RECENT:
            self._setups.popleft()
        recent = sum(work for _, work in self._setups) * SECOND / RECENT
        return (self.load + recent) / self.capacity(now)

    def advance(self, now: int) -> None:
        """Brings the backlog up to date."""
        span = now - self.at
        if span <= 0:
            return
        self.at = now
        ratio = self.load_ratio(now)
        self.backlog = min(float(MAX_BACKLOG), max(0.0, self.backlog + (ratio - 1) * span))

    def message_time(self, now: int) -> int:
        """Returns how long a message that arrives now takes, in ns."""
        self.advance(now)
        utilization = min(KNEE, self.load_ratio(now))
        idle_time = self.settings.message_time / self.plan.speed * self.slow / (1 - self.neighbour)
        return int(idle_time / (1 - utilization) + self.backlog)

    # -- connections -------------------------------------------------------------------------------

    def accepts(self, now: int) -> bool:
        """Tells whether the box accepts a new connection."""
        self.advance(now)
        return (
            not self.draining
            and self.connections < self.plan.cap
            and self.backlog <= self.settings.max_backlog
        )

    def begin_setup(self, now: int, accepted: bool) -> int:
        """Adds the work of a new connection, or of rejecting it, and returns how long it takes, in ns."""
        part = 1.0 if accepted else 0.2
        work = part * self.settings.setup_time / SECOND / self.plan.speed
        self._setups.append((now, work))
        return int(self.settings.round_trip + part * self.message_time(now))

    def connection_opened(self, load: float) -> None:
        """Adds an open connection that keeps `load` cores busy."""
        self.connections += 1
        self.load += load

    def connection_closed(self, load: float) -> None:
        """Removes an open connection and its load."""
        self.connections -= 1
        self.load = max(0.0, self.load - load)

    def fails_from_overload(self, now: int) -> bool:
        """Tells whether the box is cold and has been overloaded for too long; call it often."""
        if not self.is_cold(now) or self.load_ratio(now) <= self.settings.overload_multiple:
            self._overloaded_since = -1
            return False
        if self._overloaded_since < 0:
            self._overloaded_since = now
        return now - self._overloaded_since >= self.settings.overload_duration

    # -- reports -----------------------------------------------------------------------------------

    def report(self, now: int) -> LoadReport:
        """Returns the load report that a probe gets: updated at intervals, and delayed."""
        if self._report_made_at < 0 or (
            now - self._report_made_at >= self.settings.report_interval and not self.frozen
        ):
            self._report_made_at = now
            self.advance(now)
            ratio = self.load_ratio(now)
            self._reports.append(
                (
                    now,
                    LoadReport(
                        min(1.0, ratio),
                        self.message_time(now) / 1e6,
                        ratio,
                        self.backlog / SECOND,
                        self.connections,
                    ),
                )
            )
        while len(self._reports) > 1 and self._reports[1][0] <= now - self.settings.report_delay:
            self._reports.popleft()
        return self._reports[0][1]
