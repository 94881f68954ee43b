"""Converts the start times of backends from Unix time to this relay's own clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from loguru import logger

from cedarledge.terms import MS, SECOND

# Discovery usually lists a backend within this time of its start. A start that seems to lie further back
# shows that this machine's clock is wrong.
MAX_LISTING_DELAY = 2 * SECOND


class StartTimes:
    """Start times on this relay's clock, from which slow start computes the age of a backend.

    The clock is set to Unix time once, when the relay starts. If the machine's wall clock had been stepped
    by then, each backend would seem younger or older by the step: slow start would last longer by the step,
    or end before it began. Therefore a relay that starts assumes that the newest start in its first list has
    just happened, and keeps the distances between it and the others. Each start that the relay sees later
    corrects the offset: it is no later than the list that reports it, and not much earlier than the list
    before, in which the backend was missing. In doubt a backend counts as young as it can be, since a backend
    that gets too much load fails.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        """`clock` returns the relay's own time, ns."""
        self._clock = clock
        self.correction = 0  # added to Unix times from discovery, ns
        self._starts: dict[int, tuple[int, int]] = {}  # by backend: the Unix time, and the relay's time
        self._list_current_at: int | None = None

    def calibrate(self, unix_starts: Iterable[int]) -> None:
        """Sets the correction from the starts in the relay's first list, in Unix time, ns."""
        newest = max(unix_starts, default=0)
        if newest > 0:
            self.correction = self._clock() - newest

    def on_relay_clock(self, backend_id: int, unix_start: int) -> int:
        """Converts a start from Unix time to the relay's clock, both ns; 0 stands for long ago.

        A start that was converted before keeps its value, because a different value means a restart.
        """
        if unix_start <= 0:
            return 0
        known = self._starts.get(backend_id)
        if known is None or known[0] != unix_start:
            known = self._starts[backend_id] = unix_start, self._convert(unix_start)
        return known[1]

    def unix_offset(self, steady_now: int) -> int:
        """Returns Unix time, as far as it is known here, minus a steady clock that reads `steady_now`, ns."""
        return self._clock() - self.correction - steady_now

    def adopt_unix_offset(self, offset: int, steady_now: int) -> None:
        """Takes over another process's `unix_offset` on this machine; starts are converted anew with it."""
        self._starts.clear()
        self.correction = self._clock() - steady_now - offset

    def mark_list_current(self) -> None:
        """Notes that discovery has just answered: whatever it reports from now on is newer."""
        self._list_current_at = self._clock()

    def _convert(self, unix_start: int) -> int:
        now, start = self._clock(), unix_start + self.correction
        earliest = 0 if self._list_current_at is None else self._list_current_at - MAX_LISTING_DELAY
        if earliest <= start <= now:
            return start
        self.correction += now - start
        logger.warning(
            "a backend's start is off by {} ms on this machine's clock; start times are shifted by {} ms",
            (start - now) // MS,
            self.correction // MS,
        )
        return now
