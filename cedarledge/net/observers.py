"""Dispatches events to observers; catches their exceptions and limits the time that they use."""

from __future__ import annotations

from collections.abc import Callable
from time import perf_counter_ns
from typing import Any

from loguru import logger

from cedarledge.net.interfaces import OBSERVED_EVENTS, Observer
from cedarledge.net.timers import Timers
from cedarledge.terms import SECOND

# An observer that raises this many exceptions within one second is excluded for a while.
MAX_FAULTS = 5


class _Registration:
    """One observer, with its exceptions and its time (ns) in the current second."""

    __slots__ = ("excluded", "faults", "missed", "observer", "spent")

    def __init__(self, observer: Observer) -> None:
        self.observer = observer
        self.spent = self.faults = self.missed = 0
        self.excluded = False


class Observers:
    """All observers of a relay.

    An observer that fails too often, or uses more than its share of a second, is excluded for a while. The
    log says so, and how many events it missed. A running call can't be interrupted, but later calls can be
    skipped.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        timers: Timers,
        max_share: float = 0.05,
        exclusion: int = 30 * SECOND,
        stopwatch: Callable[[], int] = perf_counter_ns,
    ) -> None:
        """Limits each observer to `max_share` of every second; `exclusion` and both clocks are in ns."""
        self._clock = clock
        self._timers = timers
        self._stopwatch = stopwatch
        self.time_limit = int(max_share * SECOND)
        self.exclusion = exclusion
        self._registrations: list[_Registration] = []
        # For each event only the observers that override its method; the others are never called.
        self._calls: dict[str, list[tuple[_Registration, Callable[..., None]]]] = {
            name: [] for name in OBSERVED_EVENTS
        }
        self._window_ends = 0

    def add(self, observer: Observer) -> None:
        """Registers an observer; it gets every event from now on."""
        self._registrations.append(_Registration(observer))
        self._bind_methods()

    def clear(self) -> None:
        """Removes all observers, with their counts and exclusions."""
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
        """Calls the method `name` of every observer that overrides it, with the time and `args`."""
        calls = self._calls[name]
        if not calls:
            return
        now = self._clock()
        if now >= self._window_ends:
            self._window_ends = now + SECOND
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
                    logger.exception(
                        "observer {} failed on event {}", type(registration.observer).__name__, name
                    )
            registration.spent += self._stopwatch() - began
            if registration.spent > self.time_limit or registration.faults >= MAX_FAULTS:
                self._exclude(registration)

    def _exclude(self, registration: _Registration) -> None:
        registration.excluded, registration.missed = True, 0
        logger.error(
            "observer {} is excluded for {} s: {} exceptions and {} ms within one second",
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
                "observer {} is active again; it missed {} events",
                type(registration.observer).__name__,
                registration.missed,
            )
