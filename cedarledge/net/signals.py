"""Handling of SIGTERM and SIGHUP, which stay blocked while the process starts and exits.

A blocked signal stays pending in the kernel, one of each kind. Unblocked and without a handler it would kill
the process in the middle of its start or exit, with all connections.
"""

from __future__ import annotations

import signal
from collections.abc import Callable, Mapping

HANDLED = frozenset((signal.SIGTERM, signal.SIGHUP))


def block() -> None:
    """Blocks both signals; called first thing at the start, and again when the reactor has stopped."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def termination_pending() -> bool:
    """Returns whether a blocked SIGTERM is pending."""
    return signal.SIGTERM in signal.sigpending()


def install_handlers(
    calls: Mapping[signal.Signals, Callable[[], None]], schedule: Callable[[Callable[[], None]], None]
) -> None:
    """Installs a handler that makes the given call for each signal, and unblocks the signals.

    Signals that are already pending are handled too. A handler may interrupt any code, even itself. So it
    only passes the call to `schedule`, and both signals stay blocked until that call has run: nested handlers
    once crashed a process that got SIGTERM over and over.
    """
    for number, call in calls.items():

        def handle(*_: object, call: Callable[[], None] = call) -> None:
            block()
            schedule(lambda: _run_and_unblock(call))

        signal.signal(number, handle)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)


def _run_and_unblock(call: Callable[[], None]) -> None:
    try:
        call()
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
