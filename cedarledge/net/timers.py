"""The relay's clock, and all its timers in one ordered structure behind one reactor call."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any

from loguru import logger
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from cedarledge.terms import MS, SECOND

# A call found due this much too late says as much of this process as of the peer that it waits for; and how
# long it is put off then, which is one turn of the reactor at least.
LATE, LOOK_AGAIN = 10 * MS, MS
# A call this long overdue while others are set did not come, whatever the reactor was asked for.
STUCK = SECOND


def steady_clock() -> Callable[[], int]:
    """Unix time in ns that never jumps: the offset is fixed at the start, since a stepped clock would age
    every backend and every flag at once."""
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset


class Timer:
    """A call that is due at a time, unless it is cancelled before."""

    __slots__ = ("args", "at", "call", "order", "pending_reads_first")

    def __init__(self, at: int, order: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.at = at
        self.order = order
        self.call: Callable[..., None] | None = call
        self.args = args
        self.pending_reads_first = False

    def __lt__(self, other: Timer) -> bool:
        return (self.at, self.order) < (other.at, other.order)


class Timers:
    """All timers of a process. The reactor is asked for one call, for the first of them."""

    def __init__(self, reactor: IReactorTime, clock: Callable[[], int]) -> None:
        self._reactor = reactor
        self._clock = clock
        self._heap: list[Timer] = []
        self._orders = count()
        self._cancelled = 0
        self._armed: IDelayedCall | None = None
        self._armed_at = 0
        self._is_suspect = False
        self.on_stuck: Callable[[int], None] = lambda late: None  # told how late the first is, ns

    def __len__(self) -> int:
        """How many are to come, the cancelled ones left out."""
        return len(self._heap) - self._cancelled

    def now(self) -> int:
        """The time that timers are counted by."""
        return self._clock()

    def after(self, delay: int, call: Callable[..., None], *args: Any) -> Timer:
        now = self._clock()
        timer = Timer(now + max(0, delay), next(self._orders), call, args)
        heappush(self._heap, timer)
        if self._heap[0] is timer:
            self._arm()
        elif now - self._armed_at > STUCK and not self._is_suspect and self._armed is not None:
            # Where this process was paused it comes before the call that is asked for now.
            self._is_suspect = True
            self._reactor.callLater(0, self._check_stuck, self._armed)
        return timer

    def _check_stuck(self, armed: IDelayedCall) -> None:
        """A first timer whose call does not come would hold up all others: it is asked for anew."""
        self._is_suspect = False
        if self._armed is armed:
            self.on_stuck(self._clock() - self._armed_at)
            armed.cancel()
            self._armed = None
            self._arm()

    def after_pending_reads(self, delay: int, call: Callable[..., None], *args: Any) -> Timer:
        """As after, for what gives up waiting for a peer. Where this process itself was late, paused or
        busy, the peer's answer may have come meanwhile and lie unread: the reactor looks at timers first.
        So the call then waits until what has come is read, once."""
        timer = self.after(delay, call, *args)
        timer.pending_reads_first = True
        return timer

    def cancel(self, timer: Timer | None) -> None:
        if timer is None or timer.call is None:
            return
        timer.call = None
        timer.args = ()
        self._cancelled += 1
        # Most timers are cancelled long before they are due: left in, they would pile up.
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
            if timer.pending_reads_first and now - timer.at > LATE and timer.call is not None:
                timer.pending_reads_first = False
                timer.at = now + LOOK_AGAIN
                heappush(self._heap, timer)
                continue
            call, args, timer.call = timer.call, timer.args, None
            if call is None:
                self._cancelled -= 1
                continue
            try:
                call(*args)
            except Exception:
                # The other timers must not be lost with the one that failed.
                logger.exception("a timer's call failed")
        if self._heap:
            self._arm()
