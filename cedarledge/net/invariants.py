"""Rules that hold at every moment of a running relay, and the count of those that were seen broken."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from loguru import logger

# Lines in the log for each invariant; past them only the count goes on.
MAX_LOGGED = 20


class Invariant(Enum):
    """What must never be seen. The value is how the log calls it."""

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
    """Counts violations, and logs the first of each kind."""

    def __init__(self) -> None:
        self.counts: Counter[Invariant] = Counter()

    def broken(self, invariant: Invariant, about: str) -> None:
        """One was seen broken; `about` names the request, the backend and how far."""
        self.counts[invariant] += 1
        if self.counts[invariant] <= MAX_LOGGED:
            logger.error("invariant broken: {}: {}", invariant.value, about)

    def summary(self) -> str:
        """All counts in one line."""
        if not self.counts:
            return "no invariant broken"
        return "invariants broken: " + ", ".join(
            f"{invariant.name.lower()} {count}" for invariant, count in self.counts.items()
        )
