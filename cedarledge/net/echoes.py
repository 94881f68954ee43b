"""Times the lines of open tunnels: how long a message takes at a backend, and which get no answer."""

from __future__ import annotations

from collections.abc import Callable

from cedarledge.net.deadlines import Deadline, Deadlines
from cedarledge.terms import SECOND

# A sound connection brings a line back at once. The page wants a silent one ended or moved within 7 s; the
# client's seconds are lost from the first on.
SILENT = 3 * SECOND
TELL_EVERY = SECOND


class Delays:
    """Which backends one source last called slow. Each source has its own: lines that come back at once must
    not call a backend quick whose report calls it slow, since they show hangs alone."""

    def __init__(self, clock: Callable[[], int], slow: int, tell: Callable[[int, int], None]) -> None:
        self.slow = slow  # 0: delays are not told
        self._clock = clock
        self._tell = tell
        self._told: dict[int, tuple[int, int]] = {}  # when, and how slow

    def took(self, ep: int, delay: int) -> None:
        """Tells of a slow message, once a second for a backend and whenever that is twice as slow as told
        before, and of the first that is quick again."""
        if not self.slow:
            return
        now = self._clock()
        if delay >= self.slow:
            at, before = self._told.get(ep, (0, 0))
            if now - at >= TELL_EVERY or delay >= 2 * before:
                self._told[ep] = now, delay
                self._tell(ep, delay)
        elif self._told.pop(ep, None) is not None:
            self._tell(ep, delay)


class Echoes:
    """What all tunnels' echoes share."""

    def __init__(self, clock: Callable[[], int], deadlines: Deadlines, delays: Delays,
                 tell_silent: Callable[[int], None]) -> None:
        self.clock = clock
        self.deadlines = deadlines
        self.delays = delays
        self.tell_silent = tell_silent


class Echo:
    """The oldest line of one tunnel that has not been answered."""

    __slots__ = ("_asked_at", "_due", "_echoes", "_ep", "_tun")

    def __init__(self, echoes: Echoes, tun: int, ep: int) -> None:
        self._echoes = echoes
        self._tun = tun
        self._ep = ep
        self._asked_at = 0
        self._due: Deadline | None = None

    def asked(self) -> None:
        if not self._asked_at:
            self._asked_at = self._echoes.clock()
            self._due = self._echoes.deadlines.after(self._echoes.delays.slow or SILENT, self._overdue)

    def answered(self) -> None:
        if self._asked_at:
            delay = self._echoes.clock() - self._asked_at
            self.close()
            self._echoes.delays.took(self._ep, delay)

    def _overdue(self) -> None:
        age = self._echoes.clock() - self._asked_at
        if age >= SILENT:
            self._echoes.tell_silent(self._tun)
            return
        # A hang is told while it grows: a second later its clients have lost that second.
        self._due = self._echoes.deadlines.after(min(age, TELL_EVERY, SILENT - age), self._overdue)
        self._echoes.delays.took(self._ep, age)

    def close(self) -> None:
        self._echoes.deadlines.cancel(self._due)
        self._asked_at = 0
