"""Times the lines of open tunnels: how long a message takes at a backend, and which get no answer."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from cedarledge.net.timers import Timer, Timers
from cedarledge.terms import SECOND

# A sound connection brings a line back at once. The page wants a silent one ended or moved within 7 s; the
# client's seconds are lost from the first on.
SILENCE_LIMIT = 3 * SECOND
TELL_EVERY = SECOND


class LatencyReporter:
    """Which backends one source last called slow. Each source has its own: lines that come back at once must
    not call a backend quick whose report calls it slow, since they show hangs alone."""

    def __init__(self, clock: Callable[[], int], slow: int, tell: Callable[[int, int], None]) -> None:
        self.slow = slow  # 0: delays are not told
        self._clock = clock
        self._tell = tell
        self._told: dict[int, tuple[int, int]] = {}  # when, and how slow

    def record(self, backend_id: int, delay: int) -> None:
        """Tells of a slow message, once a second for a backend and whenever that is twice as slow as told
        before, and of the first that is quick again."""
        if not self.slow:
            return
        now = self._clock()
        if delay >= self.slow:
            at, before = self._told.get(backend_id, (0, 0))
            if now - at >= TELL_EVERY or delay >= 2 * before:
                self._told[backend_id] = now, delay
                self._tell(backend_id, delay)
        elif self._told.pop(backend_id, None) is not None:
            self._tell(backend_id, delay)


class MessageTimers:
    """What all tunnels' echoes share, and the lines of all that wait for their first look.

    Almost every line is answered long before that look. All wait equally long for it, so they are due in the
    order in which they came: one deadline for the first of them stands for all, where one for each line was
    the dearest thing that a line cost this relay.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        timers: Timers,
        delays: LatencyReporter,
        tell_silent: Callable[[int], None],
    ) -> None:
        self.clock = clock
        self.timers = timers
        self.delays = delays
        self.tell_silent = tell_silent
        self._first = delays.slow or SILENCE_LIMIT
        self._waiting: dict[MessageTimer, int] = {}  # since when, the longest first
        self._looks = False

    def waits(self, echo: MessageTimer, since: int) -> None:
        self._waiting[echo] = since
        if not self._looks:
            self._looks = True
            # Where this process was paused the answers lie unread, and all that it holds would be moved.
            self.timers.after_pending_reads(self._first, self._look)

    def waits_no_longer(self, echo: MessageTimer) -> None:
        self._waiting.pop(echo, None)

    def _look(self) -> None:
        now = self.clock()
        self._looks = False
        due = [echo for echo, since in self._until(now - self._first)]
        for echo in due:
            del self._waiting[echo]
        for since in self._waiting.values():
            self._looks = True
            self.timers.after_pending_reads(since + self._first - now, self._look)
            break
        for echo in due:
            # One that is told of first may have ended another since.
            if echo.is_waiting:
                echo.overdue()

    def _until(self, time: int) -> Iterator[tuple[MessageTimer, int]]:
        for echo, since in self._waiting.items():
            if since > time:
                return
            yield echo, since


class MessageTimer:
    """The oldest line of one tunnel that has not been answered."""

    __slots__ = ("_asked_at", "_backend_id", "_due", "_echoes", "_tunnel_id")

    def __init__(self, message_timers: MessageTimers, tunnel_id: int, backend_id: int) -> None:
        self._echoes = message_timers
        self._tunnel_id = tunnel_id
        self._backend_id = backend_id
        self._asked_at = 0
        self._due: Timer | None = None

    @property
    def is_waiting(self) -> bool:
        return self._asked_at > 0

    def unanswered_for(self, now: int) -> int:
        """How long its oldest line has had no answer, ns; 0: all were answered."""
        return now - self._asked_at if self._asked_at else 0

    def line_sent(self) -> None:
        if not self._asked_at:
            self._asked_at = self._echoes.clock()
            self._echoes.waits(self, self._asked_at)

    def line_answered(self) -> None:
        if self._asked_at:
            delay = self._echoes.clock() - self._asked_at
            self.close()
            self._echoes.delays.record(self._backend_id, delay)

    def overdue(self) -> None:
        """No answer yet: the first look, and those after it."""
        age = self._echoes.clock() - self._asked_at
        if age >= SILENCE_LIMIT:
            self._echoes.tell_silent(self._tunnel_id)
            return
        # A hang is told while it grows: a second later its clients have lost that second.
        self._due = self._echoes.timers.after_pending_reads(
            min(age, TELL_EVERY, SILENCE_LIMIT - age), self.overdue
        )
        self._echoes.delays.record(self._backend_id, age)

    def close(self) -> None:
        """The one place where what waits for its answer is given back."""
        if self._due is not None:
            self._echoes.timers.cancel(self._due)
            self._due = None
        self._echoes.waits_no_longer(self)
        self._asked_at = 0
