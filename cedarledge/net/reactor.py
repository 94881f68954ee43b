"""The reactor of every process of this program: Twisted's, with its waits counted by the monotonic clock.

Twisted counts `callLater` by `time.time`, the wall clock. A step back of it by an hour holds up every delayed
call by an hour, while what sockets bring is still dealt with.
"""

from __future__ import annotations

import sys
import time

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

REACTOR_MODULE = "twisted.internet.reactor"


class WrongReactorError(Exception):
    """Another reactor is installed already, and one process has only one."""


class MonotonicReactor(EPollReactor):
    """An epoll reactor whose delayed calls come in real time, whatever becomes of the wall clock."""

    seconds = staticmethod(time.monotonic)


def install_reactor() -> MonotonicReactor:
    """The process's reactor, installed at the first call. Raises WrongReactorError where something has
    imported `twisted.internet.reactor` before, which installs Twisted's default."""
    installed = sys.modules.get(REACTOR_MODULE)
    if installed is None:
        installed = MonotonicReactor()
        installReactor(installed)
    if not isinstance(installed, MonotonicReactor):
        raise WrongReactorError(f"{type(installed).__name__} is installed, whose waits follow the wall clock")
    return installed
