"""When the platform's signals are heard. Each that comes before or after waits in the system, which keeps one
of a kind: heard by nobody it would end the process, in mid-start or as it exits, with all that it holds."""

from __future__ import annotations

import signal
from collections.abc import Callable, Mapping

HANDLED = frozenset((signal.SIGTERM, signal.SIGHUP))


def block() -> None:
    """From the program's first line on, and again from its last."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def termination_pending() -> bool:
    """Whether SIGTERM waits to be heard."""
    return signal.SIGTERM in signal.sigpending()


def install_handlers(
    calls: Mapping[signal.Signals, Callable[[], None]], schedule: Callable[[Callable[[], None]], None]
) -> None:
    """Has each call made for its signal, what has come before included. A handler may run anywhere, also
    within itself, so it only leaves word, and nothing more is heard until that is read: handlers within
    handlers were the end of a process that was told to end over and over."""
    for number, call in calls.items():

        def handler(*_: object, call: Callable[[], None] = call) -> None:
            block()
            schedule(lambda: _run_and_unblock(call))

        signal.signal(number, handler)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)


def _run_and_unblock(call: Callable[[], None]) -> None:
    try:
        call()
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
