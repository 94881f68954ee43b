"""Looks each second whether the relay keeps what it owes, and says in the log how it fares."""

from __future__ import annotations

import time
from collections.abc import Callable

from loguru import logger

from cedarledge.net.invariants import Invariant, Invariants
from cedarledge.net.request_guard import TIME_LIMIT_GRACE
from cedarledge.net.timers import Timer, Timers
from cedarledge.net.tunnels import Tunnel, Tunnels
from cedarledge.terms import MS, SECOND

AUDIT_EVERY = SECOND
# Log lines of counts are at least so far apart, and only where something has changed.
SUMMARY_EVERY = 10 * SECOND
# A connection that brings nothing back has to be moved within this.
LONGEST_SILENCE = 7 * SECOND
# A wall clock that drifts by less between two looks is being steered; past that it was stepped.
STEP = 50 * MS


def wall_clock_lead() -> int:
    """How far the wall clock stands from the monotonic one, ns."""
    return time.time_ns() - time.monotonic_ns()


class Audit:
    """Counts requests that are overdue and connections that are held on a silent backend, and notes steps of
    the wall clock."""

    def __init__(
        self,
        timers: Timers,
        tunnels: Tunnels,
        invariants: Invariants,
        wall_clock: Callable[[], int] = wall_clock_lead,
    ) -> None:
        self._timers = timers
        self._tunnels = tunnels
        self._invariants = invariants
        self._wall_clock = wall_clock
        self._lead = wall_clock()
        self.clock_steps = 0
        self._told_at, self._told = timers.now(), ""
        self._reported: set[int] = set()  # handles of those that were counted already
        self._due: Timer | None = None
        timers.on_stuck = self._timers_stuck

    def start(self) -> None:
        # Behind what lies unread: a pause of this process is no fault of what it owes.
        self._due = self._timers.after_pending_reads(AUDIT_EVERY, self._look)

    def _look(self) -> None:
        self.start()
        self._look_at_wall_clock()
        now = self._timers.now()
        held = self._tunnels.table.handles()
        self._reported.intersection_update(held)
        for handle in held:
            tunnel = self._tunnels.table.get(handle)
            if handle not in self._reported and tunnel is not None:
                self._look_at(handle, tunnel, now)
        if now - self._told_at >= SUMMARY_EVERY:
            self._told_at = now
            self.log_summary()

    def _look_at(self, handle: int, tunnel: Tunnel, now: int) -> None:
        deadline = tunnel.request.deadline
        if tunnel.closed:
            return
        if not tunnel.is_open:
            if deadline and now > deadline + TIME_LIMIT_GRACE:
                self._broken(Invariant.OVERDUE_REQUEST, handle, tunnel)
        elif tunnel.message_timer is not None and tunnel.message_timer.unanswered_for(now) > LONGEST_SILENCE:
            self._broken(Invariant.HELD_SILENT, handle, tunnel)

    def _broken(self, invariant: Invariant, handle: int, tunnel: Tunnel) -> None:
        self._reported.add(handle)
        self._invariants.record_violation(invariant, self._tunnels.guard.describe(tunnel.request))

    def _look_at_wall_clock(self) -> None:
        lead, before = self._wall_clock(), self._lead
        self._lead = lead
        if abs(lead - before) > STEP:
            self.clock_steps += 1
            logger.warning("the wall clock was stepped by {} ms", (lead - before) // MS)

    def _timers_stuck(self, late: int) -> None:
        self._invariants.record_violation(Invariant.STUCK_TIMERS, f"the first was due {late // MS} ms ago")

    def log_summary(self) -> None:
        """One line of counts, where they have changed."""
        text = f"{self._tunnels.counts()}, {self.clock_steps} clock steps, {self._invariants.summary()}"
        if text != self._told:
            self._told = text
            logger.info("{}", text)

    def final_check(self) -> None:
        """The last look, as the relay ends: nobody may be left without an answer."""
        self._timers.cancel(self._due)
        for handle in self._tunnels.table.handles():
            tunnel = self._tunnels.table.get(handle)
            if tunnel is not None and not tunnel.closed:
                self._broken(Invariant.CLOSED_UNANSWERED, handle, tunnel)
        self.log_summary()
