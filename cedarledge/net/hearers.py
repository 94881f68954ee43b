"""Tells hearers what happens, and keeps what they do from the relay: faults are caught, time is counted."""

from __future__ import annotations

from collections.abc import Callable
from time import perf_counter_ns
from typing import Any

from loguru import logger

from cedarledge.net.interfaces import OBSERVED_EVENTS, Observer
from cedarledge.net.timers import Timers
from cedarledge.terms import SECOND

# So many faults within a span and a hearer is left out.
MOST_FAULTS = 5


class _Seat:
    """One hearer and what it has cost in this span."""

    __slots__ = ("faults", "hearer", "missed", "out", "spent")

    def __init__(self, hearer: Observer) -> None:
        self.hearer = hearer
        self.spent = self.faults = self.missed = 0
        self.out = False


class Hearers:
    """All hearers of a relay. One that faults too often, or takes more than its share of a second, is left
    out for a while, with a line that says so and how much it missed: a call can't be broken off in its
    middle, but the next ones need not be made."""

    def __init__(
        self,
        clock: Callable[[], int],
        timers: Timers,
        most_share: float = 0.05,
        left_out: int = 30 * SECOND,
        stopwatch: Callable[[], int] = perf_counter_ns,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._stopwatch = stopwatch
        self.most = int(most_share * SECOND)
        self.left_out = left_out
        self._seats: list[_Seat] = []
        # Who has something to do for each thing that happens: the rest is not even called.
        self._calls: dict[str, list[tuple[_Seat, Callable[..., None]]]] = {
            name: [] for name in OBSERVED_EVENTS
        }
        self._span_ends = 0

    def add(self, hearer: Observer) -> None:
        self._seats.append(_Seat(hearer))
        self._arrange()

    def clear(self) -> None:
        """Nobody listens any more; who is added next starts afresh."""
        self._seats.clear()
        self._arrange()

    def _arrange(self) -> None:
        for name, calls in self._calls.items():
            calls[:] = [
                (seat, getattr(seat.hearer, name))
                for seat in self._seats
                if getattr(type(seat.hearer), name) is not getattr(Observer, name)
            ]

    def tell(self, name: str, *args: Any) -> None:
        calls = self._calls[name]
        if not calls:
            return
        now = self._clock()
        if now >= self._span_ends:
            self._span_ends = now + SECOND
            for seat in self._seats:
                seat.spent = seat.faults = 0
        for seat, call in tuple(calls):
            if seat.out:
                seat.missed += 1
                continue
            began = self._stopwatch()
            try:
                call(now, *args)
            except Exception:
                seat.faults += 1
                if seat.faults == 1:
                    logger.exception("{} failed on {}", type(seat.hearer).__name__, name)
            seat.spent += self._stopwatch() - began
            if seat.spent > self.most or seat.faults >= MOST_FAULTS:
                self._leave_out(seat)

    def _leave_out(self, seat: _Seat) -> None:
        seat.out, seat.missed = True, 0
        logger.error(
            "{} is left out for {} s: {} faults and {} ms within a second",
            type(seat.hearer).__name__,
            self.left_out // SECOND,
            seat.faults,
            seat.spent // 1_000_000,
        )
        self._timers.after(self.left_out, self._take_back, seat)

    def _take_back(self, seat: _Seat) -> None:
        seat.out, seat.spent, seat.faults = False, 0, 0
        if seat in self._seats:
            logger.warning("{} listens again; it missed {}", type(seat.hearer).__name__, seat.missed)
