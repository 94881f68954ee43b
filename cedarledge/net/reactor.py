"""The reactor of every process of this program: Twisted's epoll reactor, hardened against machine faults.

- Twisted schedules `callLater` by `time.time`, the wall clock. If that is stepped back by an hour, every
  delayed call comes an hour late, while socket events are still handled. Here the monotonic clock is used.
- A call on a socket or on epoll that fails for lack of memory ends the connection, or leaves it unwatched.
  Here it is retried (transports.py, poller.py).
"""

from __future__ import annotations

import socket
import sys
import time
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from cedarledge.net.poller import RetryingPoller
from cedarledge.net.transports import Connector, Port

REACTOR_MODULE = "twisted.internet.reactor"


class WrongReactorError(Exception):
    """Another reactor is already installed, and a process can have only one."""


class MonotonicReactor(EPollReactor):
    """An epoll reactor that neither wall-clock steps nor passing shortages of the machine disturb."""

    seconds = staticmethod(time.monotonic)

    def installWaker(self) -> None:  # noqa: N802
        """Wraps the poller before its first registration, which the base class makes from here."""
        if not isinstance(self._poller, RetryingPoller):
            self._poller = RetryingPoller(self._poller)
        super().installWaker()

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Port:  # noqa: N802
        """Opens a listener. Raises CannotListenError."""
        listening = Port(port, factory, backlog, interface, self)
        listening.startListening()
        return listening

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> Connector:
        """Starts to open a connection; `timeout` is in seconds."""
        connector = Connector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def adoptStreamPort(self, fileDescriptor: int, addressFamily: int, factory: Any) -> Any:  # noqa: N802, N803
        """Listens on a socket that was inherited as a descriptor."""
        if addressFamily != socket.AF_INET:
            return super().adoptStreamPort(fileDescriptor, addressFamily, factory)
        listening = Port._fromListeningDescriptor(self, fileDescriptor, addressFamily, factory)
        listening.startListening()
        return listening


def install_reactor() -> MonotonicReactor:
    """Returns the process's reactor and installs it at the first call.

    Raises WrongReactorError if something imported `twisted.internet.reactor` before, which installs Twisted's
    default.
    """
    installed = sys.modules.get(REACTOR_MODULE)
    if installed is None:
        installed = MonotonicReactor()
        installReactor(installed)
    if not isinstance(installed, MonotonicReactor):
        raise WrongReactorError(
            f"{type(installed).__name__} is already installed, and its delays follow the wall clock"
        )
    return installed
