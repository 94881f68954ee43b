"""Tells observers what happens, and keeps what they do from the relay: faults are caught, time is counted."""

from __future__ import annotations

from collections.abc import Callable
from time import perf_counter_ns
from typing import Any

from loguru import logger

from cedarledge.net.interfaces import OBSERVED_EVENTS, Observer
from cedarledge.net.timers import Timers
from cedarledge.terms import SECOND

# So many faults within a span and a observer is left out.
MAX_FAULTS = 5


class _Registration:
    """One observer and what it has cost in this span."""

    __slots__ = ("excluded", "faults", "missed", "observer", "spent")

    def __init__(self, observer: Observer) -> None:
        self.observer = observer
        self.spent = self.faults = self.missed = 0
        self.excluded = False


class Observers:
    """All observers of a relay. One that faults too often, or takes more than its share of a second, is left
    out for a while, with a line that says so and how much it missed: a call can't be broken off in its
    middle, but the next ones need not be made."""

    def __init__(
        self,
        clock: Callable[[], int],
        timers: Timers,
        most_share: float = 0.05,
        exclusion: int = 30 * SECOND,
        stopwatch: Callable[[], int] = perf_counter_ns,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._stopwatch = stopwatch
        self.time_limit = int(most_share * SECOND)
        self.exclusion = exclusion
        self._registrations: list[_Registration] = []
        # Who has something to do for each thing that happens: the rest is not even called.
        self._calls: dict[str, list[tuple[_Registration, Callable[..., None]]]] = {
            name: [] for name in OBSERVED_EVENTS
        }
        self._span_ends = 0

    def add(self, observer: Observer) -> None:
        self._registrations.append(_Registration(observer))
        self._bind_methods()

    def clear(self) -> None:
        """Nobody listens any more; who is added next starts afresh."""
        self._registrations.clear()
        self._bind_methods()

    def _bind_methods(self) -> None:
        for name, calls in self._calls.items():
            calls[:] = [
                (registration, getattr(registration.observer, name))
                for registration in self._registrations
                if getattr(type(registration.observer), name) is not getattr(Observer, name)
            ]

    def notify(self, name: str, *args: Any) -> None:
        calls = self._calls[name]
        if not calls:
            return
        now = self._clock()
        if now >= self._span_ends:
            self._span_ends = now + SECOND
            for registration in self._registrations:
                registration.spent = registration.faults = 0
        for registration, call in tuple(calls):
            if registration.excluded:
                registration.missed += 1
                continue
            began = self._stopwatch()
            try:
                call(now, *args)
            except Exception:
                registration.faults += 1
                if registration.faults == 1:
                    logger.exception("{} failed on {}", type(registration.observer).__name__, name)
            registration.spent += self._stopwatch() - began
            if registration.spent > self.time_limit or registration.faults >= MAX_FAULTS:
                self._exclude(registration)

    def _exclude(self, registration: _Registration) -> None:
        registration.excluded, registration.missed = True, 0
        logger.error(
            "{} is left out for {} s: {} faults and {} ms within a second",
            type(registration.observer).__name__,
            self.exclusion // SECOND,
            registration.faults,
            registration.spent // 1_000_000,
        )
        self._timers.after(self.exclusion, self._readmit, registration)

    def _readmit(self, registration: _Registration) -> None:
        registration.excluded, registration.spent, registration.faults = False, 0, 0
        if registration in self._registrations:
            logger.warning(
                "{} listens again; it missed {}", type(registration.observer).__name__, registration.missed
            )
