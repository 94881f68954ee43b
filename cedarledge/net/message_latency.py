"""Measures how long backends take to answer lines of open connections, and detects missing answers."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from cedarledge.net.timers import Timer, Timers
from cedarledge.terms import SECOND

# A healthy connection brings a line back at once. The operators want a silent one ended or moved within 7 s,
# but its client loses time from the first second on.
SILENCE_LIMIT = 3 * SECOND
REPORT_INTERVAL = SECOND


class LatencyReporter:
    """Reports backends whose messages are slow, from one source of delays.

    Each source has a reporter of its own. Lines that come back at once must not make a backend look fast
    whose load report calls it slow, since lines only reveal a backend that hangs.
    """

    def __init__(self, clock: Callable[[], int], slow: int, report: Callable[[int, int], None]) -> None:
        """Calls `report` with a backend and its delay in ns; delays from `slow` ns on count as slow."""
        self.slow = slow  # 0: delays are not reported
        self._clock = clock
        self._report = report
        self._reported: dict[int, tuple[int, int]] = {}  # by slow backend: when, and with which delay

    def record(self, backend_id: int, delay: int) -> None:
        """Reports a slow message, and the first fast one after it.

        While a backend stays slow it is reported once a second, and whenever its delay is twice the last one
        that was reported.
        """
        if not self.slow:
            return
        now = self._clock()
        if delay >= self.slow:
            at, previous = self._reported.get(backend_id, (0, 0))
            if now - at >= REPORT_INTERVAL or delay >= 2 * previous:
                self._reported[backend_id] = now, delay
                self._report(backend_id, delay)
        elif self._reported.pop(backend_id, None) is not None:
            self._report(backend_id, delay)


class MessageTimers:
    """What the response timers of all connections share, and the lines that wait for their first check.

    Almost every line is answered long before that check. All wait equally long for it, so they are due in the
    order in which they were sent, and one timer for the first of them serves all. A timer for each line was
    the most expensive part of forwarding a line.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        timers: Timers,
        delays: LatencyReporter,
        on_silent: Callable[[int], None],
    ) -> None:
        """`on_silent` is called with a connection whose line had no answer for SILENCE_LIMIT."""
        self.clock = clock
        self.timers = timers
        self.delays = delays
        self.on_silent = on_silent
        self._first_check = delays.slow or SILENCE_LIMIT
        self._waiting: dict[MessageTimer, int] = {}  # since when, the longest first
        self._check_scheduled = False

    def add(self, timer: MessageTimer, since: int) -> None:
        """Adds a timer whose line was sent at `since`, ns; it is checked unless it is discarded before."""
        self._waiting[timer] = since
        if not self._check_scheduled:
            self._check_scheduled = True
            # After a pause of this process the answers are still unread, and all its connections would move.
            self.timers.after_pending_reads(self._first_check, self._check)

    def discard(self, timer: MessageTimer) -> None:
        """Removes a timer that needs no check any more."""
        self._waiting.pop(timer, None)

    def _check(self) -> None:
        now = self.clock()
        self._check_scheduled = False
        due = [timer for timer, since in self._sent_until(now - self._first_check)]
        for timer in due:
            del self._waiting[timer]
        for since in self._waiting.values():
            self._check_scheduled = True
            self.timers.after_pending_reads(since + self._first_check - now, self._check)
            break
        for timer in due:
            # The report about an earlier one may have ended this one's connection.
            if timer.is_waiting:
                timer.check()

    def _sent_until(self, time: int) -> Iterator[tuple[MessageTimer, int]]:
        for timer, since in self._waiting.items():
            if since > time:
                return
            yield timer, since


class MessageTimer:
    """Times the oldest unanswered line of one connection."""

    __slots__ = ("_backend_id", "_next_check", "_sent_at", "_shared", "_tunnel_id")

    def __init__(self, shared: MessageTimers, tunnel_id: int, backend_id: int) -> None:
        """Times the lines that one connection sends to its backend."""
        self._shared = shared
        self._tunnel_id = tunnel_id
        self._backend_id = backend_id
        self._sent_at = 0
        self._next_check: Timer | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether a line has no answer yet."""
        return self._sent_at > 0

    def unanswered_for(self, now: int) -> int:
        """Returns for how long the oldest line has had no answer, ns; 0 if all were answered."""
        return now - self._sent_at if self._sent_at else 0

    def line_sent(self) -> None:
        """Starts to wait for an answer unless an earlier line is still waiting."""
        if not self._sent_at:
            self._sent_at = self._shared.clock()
            self._shared.add(self, self._sent_at)

    def line_answered(self) -> None:
        """Stops waiting and records how long the answer took."""
        if self._sent_at:
            delay = self._shared.clock() - self._sent_at
            self.close()
            self._shared.delays.record(self._backend_id, delay)

    def check(self) -> None:
        """Handles a line that still has no answer, at its first check and at those that follow."""
        age = self._shared.clock() - self._sent_at
        if age >= SILENCE_LIMIT:
            self._shared.on_silent(self._tunnel_id)
            return
        # A growing delay is reported before it ends: a second later the clients have lost that second.
        self._next_check = self._shared.timers.after_pending_reads(
            min(age, REPORT_INTERVAL, SILENCE_LIMIT - age), self.check
        )
        self._shared.delays.record(self._backend_id, age)

    def close(self) -> None:
        """Stops waiting; the only place where the pending checks are cancelled."""
        if self._next_check is not None:
            self._shared.timers.cancel(self._next_check)
            self._next_check = None
        self._shared.discard(self)
        self._sent_at = 0
