"""The relay's clock, and all its timers in one heap behind a single reactor call."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any

from loguru import logger
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from cedarledge.terms import MS, SECOND

# A timeout that fires over LATE_BY after its time may be this process's own delay rather than the peer's. It
# is then put off by READ_DELAY, which is at least one turn of the reactor.
LATE_BY, READ_DELAY = 10 * MS, MS
# If the first timer is overdue by this much while others are being set, the reactor has lost its call.
STUCK_AFTER = SECOND


def steady_clock() -> Callable[[], int]:
    """Returns a clock of Unix time in ns that never jumps.

    Its offset from the monotonic clock is fixed at the start, since a stepped clock would age every backend
    and every flag at once.
    """
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset


class Timer:
    """A call that is due at a given time, unless it is cancelled before."""

    __slots__ = ("args", "at", "call", "order", "pending_reads_first")

    def __init__(self, at: int, order: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """`at` is the due time in ns; `order` decides between timers that are due at the same time."""
        self.at = at
        self.order = order
        self.call: Callable[..., None] | None = call
        self.args = args
        self.pending_reads_first = False

    def __lt__(self, other: Timer) -> bool:
        """Orders timers by due time, then by creation."""
        return (self.at, self.order) < (other.at, other.order)


class Timers:
    """All timers of a process. The reactor holds a single delayed call, for the earliest of them."""

    def __init__(self, reactor: IReactorTime, clock: Callable[[], int]) -> None:
        """`clock` returns the time in ns by which timers are due."""
        self._reactor = reactor
        self._clock = clock
        self._heap: list[Timer] = []
        self._orders = count()
        self._cancelled = 0
        self._armed: IDelayedCall | None = None
        self._armed_at = 0
        self._is_suspect = False
        # Called with how late the earliest timer is, ns, when the reactor has lost its call.
        self.on_stuck: Callable[[int], None] = lambda late: None

    def __len__(self) -> int:
        """Returns the number of pending timers without the cancelled ones."""
        return len(self._heap) - self._cancelled

    def now(self) -> int:
        """Returns the time by which timers are due, ns."""
        return self._clock()

    def after(self, delay: int, call: Callable[..., None], *args: Any) -> Timer:
        """Schedules a call after `delay` ns and returns its timer, which can be cancelled."""
        now = self._clock()
        timer = Timer(now + max(0, delay), next(self._orders), call, args)
        heappush(self._heap, timer)
        if self._heap[0] is timer:
            self._arm()
        elif now - self._armed_at > STUCK_AFTER and not self._is_suspect and self._armed is not None:
            # If this process was merely paused, the overdue call comes before the one requested here.
            self._is_suspect = True
            self._reactor.callLater(0, self._check_stuck, self._armed)
        return timer

    def _check_stuck(self, armed: IDelayedCall) -> None:
        """Requests the reactor's call again if it did not come, as it would hold up all timers."""
        self._is_suspect = False
        if self._armed is armed:
            self.on_stuck(self._clock() - self._armed_at)
            armed.cancel()
            self._armed = None
            self._arm()

    def after_pending_reads(self, delay: int, call: Callable[..., None], *args: Any) -> Timer:
        """Schedules a call that gives up waiting for a peer; otherwise like `after`.

        Where this process itself was late, because it was paused or busy, the peer's answer may have arrived
        but not been read yet, since the reactor runs timers before it reads. The call is then put off once,
        until what has arrived was read.
        """
        timer = self.after(delay, call, *args)
        timer.pending_reads_first = True
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Cancels a timer; does nothing for None or for a timer that has fired or was cancelled."""
        if timer is None or timer.call is None:
            return
        timer.call = None
        timer.args = ()
        self._cancelled += 1
        # Most timers are cancelled long before they are due; left in the heap, they would accumulate.
        if self._cancelled > 64 and 2 * self._cancelled > len(self._heap):
            self._heap = [kept for kept in self._heap if kept.call is not None]
            heapify(self._heap)
            self._cancelled = 0

    def _arm(self) -> None:
        at = self._heap[0].at
        if self._armed is not None:
            if self._armed_at <= at:
                return
            self._armed.cancel()
        self._armed_at = at
        self._armed = self._reactor.callLater(max(0, at - self._clock()) / SECOND, self._fire)

    def _fire(self) -> None:
        self._armed = None
        now = self._clock()
        while self._heap and self._heap[0].at <= now:
            timer = heappop(self._heap)
            if timer.pending_reads_first and now - timer.at > LATE_BY and timer.call is not None:
                timer.pending_reads_first = False
                timer.at = now + READ_DELAY
                heappush(self._heap, timer)
                continue
            call, args, timer.call = timer.call, timer.args, None
            if call is None:
                self._cancelled -= 1
                continue
            try:
                call(*args)
            except Exception:
                # A failing call must not take the other timers with it.
                logger.exception("a timer's call failed")
        if self._heap:
            self._arm()
