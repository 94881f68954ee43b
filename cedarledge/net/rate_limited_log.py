"""Log lines of which many may come: a few, and how many more there were."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from cedarledge.net.timers import Timers
from cedarledge.terms import SECOND

# So many lines a peer kind in each span: a peer that is turned away comes again at once, and a line for each
# of its tries would cost more than turning it away, and hide all else in the log.
MAX_LINES, WINDOW = 5, 10 * SECOND


class RateLimitedLog:
    """Writes the first lines of each sort in a span, and then how many more there were."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._counts: dict[str, int] = {}

    def warn(self, peer: str, why: str | Callable[[], str]) -> None:
        """`why` may be a call that gives the text, made only where a line is written."""
        count = self._counts[peer] = self._counts.get(peer, 0) + 1
        if count == 1:
            self._timers.after(WINDOW, self._sum_up, peer)
        if count <= MAX_LINES:
            logger.warning("{}: {}", peer, why if isinstance(why, str) else why())

    def _sum_up(self, peer: str) -> None:
        more = self._counts.pop(peer) - MAX_LINES
        if more > 0:
            logger.warning("{}: {} more such lines in {} s", peer, more, WINDOW // SECOND)
