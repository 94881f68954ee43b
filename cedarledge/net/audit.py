"""Checks the relay's invariants once a second, and logs counts."""

from __future__ import annotations

import time
from collections.abc import Callable

from loguru import logger

from cedarledge.net.invariants import Invariant, Invariants
from cedarledge.net.request_guard import TIME_LIMIT_GRACE
from cedarledge.net.timers import Timer, Timers
from cedarledge.net.tunnels import Tunnel, Tunnels
from cedarledge.terms import MS, SECOND

AUDIT_INTERVAL = SECOND
# Minimum time between two log lines of counts, which are written only if a count has changed.
SUMMARY_INTERVAL = 10 * SECOND
# A connection whose backend answers nothing has to be moved within this time.
LONGEST_SILENCE = 7 * SECOND
# A wall clock that shifts by less than this between two checks is being slewed; by more, it was stepped.
CLOCK_STEP = 50 * MS


def wall_clock_offset() -> int:
    """Returns the wall clock minus the monotonic clock, in ns."""
    return time.time_ns() - time.monotonic_ns()


class Audit:
    """Counts overdue requests, connections kept on a silent backend, and steps of the wall clock."""

    def __init__(
        self,
        timers: Timers,
        tunnels: Tunnels,
        invariants: Invariants,
        wall_clock: Callable[[], int] = wall_clock_offset,
    ) -> None:
        """Also reports timers that are stuck, through the hook of `timers`."""
        self._timers = timers
        self._tunnels = tunnels
        self._invariants = invariants
        self._wall_clock = wall_clock
        self._offset = wall_clock()
        self.clock_steps = 0
        self._logged_at, self._logged = timers.now(), ""
        self._reported: set[int] = set()  # handles of the tunnels that were counted already
        self._check_timer: Timer | None = None
        timers.on_stuck = self._report_stuck_timers

    def start(self) -> None:
        """Schedules the next check."""
        # After input that is still unread: a pause of the whole process breaks no invariant.
        self._check_timer = self._timers.after_pending_reads(AUDIT_INTERVAL, self._check)

    def _check(self) -> None:
        self.start()
        self._check_wall_clock()
        now = self._timers.now()
        handles = self._tunnels.table.handles()
        self._reported.intersection_update(handles)
        for handle in handles:
            tunnel = self._tunnels.table.get(handle)
            if handle not in self._reported and tunnel is not None:
                self._check_tunnel(handle, tunnel, now)
        if now - self._logged_at >= SUMMARY_INTERVAL:
            self._logged_at = now
            self.log_summary()

    def _check_tunnel(self, handle: int, tunnel: Tunnel, now: int) -> None:
        deadline = tunnel.request.deadline
        if tunnel.closed:
            return
        if not tunnel.is_open:
            if deadline and now > deadline + TIME_LIMIT_GRACE:
                self._report(Invariant.OVERDUE_REQUEST, handle, tunnel)
        elif tunnel.message_timer is not None and tunnel.message_timer.unanswered_for(now) > LONGEST_SILENCE:
            self._report(Invariant.HELD_SILENT, handle, tunnel)

    def _report(self, invariant: Invariant, handle: int, tunnel: Tunnel) -> None:
        self._reported.add(handle)
        self._invariants.record_violation(invariant, self._tunnels.guard.describe(tunnel.request))

    def _check_wall_clock(self) -> None:
        offset, before = self._wall_clock(), self._offset
        self._offset = offset
        if abs(offset - before) > CLOCK_STEP:
            self.clock_steps += 1
            logger.warning("the wall clock was stepped by {} ms", (offset - before) // MS)

    def _report_stuck_timers(self, late: int) -> None:
        self._invariants.record_violation(
            Invariant.STUCK_TIMERS, f"the first timer was due {late // MS} ms ago"
        )

    def log_summary(self) -> None:
        """Logs one line of counts if a count has changed."""
        text = f"{self._tunnels.counts()}, {self.clock_steps} clock steps, {self._invariants.summary()}"
        if text != self._logged:
            self._logged = text
            logger.info("{}", text)

    def final_check(self) -> None:
        """Runs the last check as the relay ends: no request may be left without an answer."""
        self._timers.cancel(self._check_timer)
        for handle in self._tunnels.table.handles():
            tunnel = self._tunnels.table.get(handle)
            if tunnel is not None and not tunnel.closed:
                self._report(Invariant.CLOSED_UNANSWERED, handle, tunnel)
        self.log_summary()
