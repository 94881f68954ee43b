"""When the platform's signals are heard. Each that comes before or after waits in the system, which keeps one
of a kind: heard by nobody it would end the process, in mid-start or as it exits, with all that it holds."""

from __future__ import annotations

import signal
from collections.abc import Callable, Mapping

WORDS = frozenset((signal.SIGTERM, signal.SIGHUP))


def hold_back() -> None:
    """From the program's first line on, and again from its last."""
    signal.pthread_sigmask(signal.SIG_BLOCK, WORDS)


def told_to_end() -> bool:
    """Whether SIGTERM waits to be heard."""
    return signal.SIGTERM in signal.sigpending()


def hear(
    calls: Mapping[signal.Signals, Callable[[], None]], leave_word: Callable[[Callable[[], None]], None]
) -> None:
    """Has each call made for its signal, what has come before included. A handler may run anywhere, also
    within itself, so it only leaves word, and nothing more is heard until that is read: handlers within
    handlers were the end of a process that was told to end over and over."""
    for number, call in calls.items():

        def came(*_: object, call: Callable[[], None] = call) -> None:
            hold_back()
            leave_word(lambda: _read(call))

        signal.signal(number, came)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, WORDS)


def _read(call: Callable[[], None]) -> None:
    try:
        call()
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, WORDS)
