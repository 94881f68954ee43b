"""Warnings that may come in large numbers: the first few are logged, the others are counted."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from cedarledge.net.timers import Timers
from cedarledge.terms import SECOND

# Lines that one category may write in a window. A rejected peer reconnects at once; a line for each of its
# attempts would cost more than the rejection and hide everything else in the log.
MAX_LINES, WINDOW = 5, 10 * SECOND


class RateLimitedLog:
    """Writes the first lines of each category in a window, and at its end how many were suppressed."""

    def __init__(self, timers: Timers) -> None:
        """`timers` end the windows."""
        self._timers = timers
        self._counts: dict[str, int] = {}

    def warn(self, category: str, reason: str | Callable[[], str]) -> None:
        """Logs a warning unless the category has used up its window.

        `reason` may be a function that returns the text; it is called only if the line is written.
        """
        count = self._counts[category] = self._counts.get(category, 0) + 1
        if count == 1:
            self._timers.after(WINDOW, self._log_suppressed, category)
        if count <= MAX_LINES:
            logger.warning("{}: {}", category, reason if isinstance(reason, str) else reason())

    def _log_suppressed(self, category: str) -> None:
        suppressed = self._counts.pop(category) - MAX_LINES
        if suppressed > 0:
            logger.warning("{}: {} more such lines in {} s", category, suppressed, WINDOW // SECOND)
