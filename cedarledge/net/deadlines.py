"""The relay's clock, and all its deadlines in one ordered structure behind one reactor call."""

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


class Deadline:
    """A call that is due at a time, unless it is cancelled before."""

    __slots__ = ("args", "at", "call", "order", "reads_first")

    def __init__(self, at: int, order: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.at = at
        self.order = order
        self.call: Callable[..., None] | None = call
        self.args = args
        self.reads_first = False

    def __lt__(self, other: Deadline) -> bool:
        return (self.at, self.order) < (other.at, other.order)


class Deadlines:
    def __init__(self, reactor: IReactorTime, clock: Callable[[], int]) -> None:
        self._reactor = reactor
        self._clock = clock
        self._heap: list[Deadline] = []
        self._orders = count()
        self._cancelled = 0
        self._armed: IDelayedCall | None = None
        self._armed_at = 0
        self._is_suspect = False
        self.stuck: Callable[[int], None] = lambda late: None  # told how late the first is, ns

    def __len__(self) -> int:
        """How many are to come, the cancelled ones left out."""
        return len(self._heap) - self._cancelled

    def now(self) -> int:
        """The time that deadlines are counted by."""
        return self._clock()

    def after(self, delay: int, call: Callable[..., None], *args: Any) -> Deadline:
        now = self._clock()
        deadline = Deadline(now + max(0, delay), next(self._orders), call, args)
        heappush(self._heap, deadline)
        if self._heap[0] is deadline:
            self._arm()
        elif now - self._armed_at > STUCK and not self._is_suspect and self._armed is not None:
            # Where this process was paused it comes before the call that is asked for now.
            self._is_suspect = True
            self._reactor.callLater(0, self._check_stuck, self._armed)
        return deadline

    def _check_stuck(self, armed: IDelayedCall) -> None:
        """A first deadline whose call does not come would hold up all others: it is asked for anew."""
        self._is_suspect = False
        if self._armed is armed:
            self.stuck(self._clock() - self._armed_at)
            armed.cancel()
            self._armed = None
            self._arm()

    def after_reading(self, delay: int, call: Callable[..., None], *args: Any) -> Deadline:
        """As after, for what gives up waiting for a peer. Where this process itself was late, paused or
        busy, the peer's answer may have come meanwhile and lie unread: the reactor looks at deadlines first.
        So the call then waits until what has come is read, once."""
        deadline = self.after(delay, call, *args)
        deadline.reads_first = True
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        if deadline is None or deadline.call is None:
            return
        deadline.call = None
        deadline.args = ()
        self._cancelled += 1
        # Most deadlines are cancelled long before they are due: left in, they would pile up.
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
            deadline = heappop(self._heap)
            if deadline.reads_first and now - deadline.at > LATE and deadline.call is not None:
                deadline.reads_first = False
                deadline.at = now + LOOK_AGAIN
                heappush(self._heap, deadline)
                continue
            call, args, deadline.call = deadline.call, deadline.args, None
            if call is None:
                self._cancelled -= 1
                continue
            try:
                call(*args)
            except Exception:
                # The other deadlines must not be lost with the one that failed.
                logger.exception("a deadline's call failed")
        if self._heap:
            self._arm()
