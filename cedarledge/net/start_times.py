"""Places the starts of backends, which are told in Unix time, on this relay's own clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from loguru import logger

from cedarledge.terms import MS, SECOND

# How long after it a start is usually listed. Where it seems further back this machine's clock is wrong.
LISTED_WITHIN = 2 * SECOND


class StartTimes:
    """Starts on this relay's clock, by which slow start counts the age of a backend.

    That clock is set to Unix time once, at this relay's start. If the machine's wall clock had been stepped
    by then, each start would seem younger or older by the step: slow start would go on for that long, or be
    over before it began. So a relay that starts takes the newest start that it is told of for one of that
    moment, and the others as far before it as they are. What is told of a start that it sees sets it right:
    it lies no later than the list that tells of it, and not long before the one in which it was missing. In
    doubt a backend is taken for as young as it can be, since an overloaded one falls.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        """`clock` gives the relay's own time, ns."""
        self._clock = clock
        self.correction = 0  # added to what is told, ns
        self._starts: dict[int, tuple[int, int]] = {}  # of each backend: as it was told, as it was placed
        self._list_current_at: int | None = None

    def calibrate(self, told: Iterable[int]) -> None:
        """The first list of this relay has these starts, in Unix time, ns."""
        newest = max(told, default=0)
        if newest > 0:
            self.correction = self._clock() - newest

    def on_relay_clock(self, backend_id: int, told: int) -> int:
        """A start told in Unix time, ns, as a time on the relay's clock; 0 stands for long ago. The same
        start stays where it is, since a start that moves is another one."""
        if told <= 0:
            return 0
        known = self._starts.get(backend_id)
        if known is None or known[0] != told:
            known = self._starts[backend_id] = told, self._placed(told)
        return known[1]

    def unix_offset(self, steady_now: int) -> int:
        """How far Unix time, as far as it is known here, stands from a steady clock that reads so, ns."""
        return self._clock() - self.correction - steady_now

    def adopt_unix_offset(self, offset: int, steady_now: int) -> None:
        """Takes over what another process on this machine knew of Unix time, for starts told before too."""
        self._starts.clear()
        self.correction = self._clock() - steady_now - offset

    def mark_list_current(self) -> None:
        """Discovery has just told what there is to tell: what it tells from now on is newer."""
        self._list_current_at = self._clock()

    def _placed(self, told: int) -> int:
        now, placed = self._clock(), told + self.correction
        earliest = 0 if self._list_current_at is None else self._list_current_at - LISTED_WITHIN
        if earliest <= placed <= now:
            return placed
        self.correction += now - placed
        logger.warning(
            "a backend's start is off by {} ms on this machine's clock; starts are moved by {} ms",
            (placed - now) // MS,
            self.correction // MS,
        )
        return now
