"""Invariants of a running relay, and counters of their violations."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from loguru import logger

# Log lines for each invariant; later violations are only counted.
MAX_LOGGED = 20


class Invariant(Enum):
    """A condition that must never occur. The value is its description in log lines."""

    TWO_ATTEMPTS = "an attempt while another is out"
    ATTEMPT_AFTER_ANSWER = "an attempt after the final answer"
    ATTEMPT_PAST_DEADLINE = "an attempt past the client's deadline"
    ATTEMPT_AT_DRAINING = "an attempt at a backend that takes nothing new"
    REPEATED_EFFECT = "an attempt where an earlier one may have run"
    REJECTED_EFFECT = "a rejection where an attempt may have run"
    SECOND_ANSWER = "a second final answer"
    LATE_ANSWER = "an answer past the client's deadline"
    OVERDUE_REQUEST = "a request past its deadline without an answer"
    CLOSED_UNANSWERED = "a connection closed with its request unanswered"
    HELD_SILENT = "a connection held on a backend that has long been silent"
    STUCK_TIMERS = "timers that are overdue while the relay goes on"


class Invariants:
    """Counts violations and logs the first MAX_LOGGED of each invariant."""

    def __init__(self) -> None:
        """Starts with no violations."""
        self.counts: Counter[Invariant] = Counter()

    def record_violation(self, invariant: Invariant, details: str) -> None:
        """Counts a violation; `details` names the request, the backend and the extent for the log."""
        self.counts[invariant] += 1
        if self.counts[invariant] <= MAX_LOGGED:
            logger.error("invariant broken: {}: {}", invariant.value, details)

    def summary(self) -> str:
        """Returns all counts in one line, for the log."""
        if not self.counts:
            return "no invariant broken"
        return "invariants broken: " + ", ".join(
            f"{invariant.name.lower()} {count}" for invariant, count in self.counts.items()
        )
