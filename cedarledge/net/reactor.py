"""The reactor of every process of this program: Twisted's on epoll, made to bear faults of the machine.

- Twisted counts `callLater` by `time.time`, the wall clock. A step back of it by an hour holds up every
  delayed call by an hour, while what sockets bring is still dealt with. Here the monotonic clock counts.
- A call on a socket, or on epoll, that fails for want of memory ends the connection, or leaves it unwatched.
  Here it is made again (transports.py, poller.py).
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
    """Another reactor is installed already, and one process has only one."""


class MonotonicReactor(EPollReactor):
    """An epoll reactor that neither the wall clock nor a shortage that passes brings out of step."""

    seconds = staticmethod(time.monotonic)

    def installWaker(self) -> None:  # noqa: N802
        # The first registration comes from here, in the base class's own start.
        if not isinstance(self._poller, RetryingPoller):
            self._poller = RetryingPoller(self._poller)
        super().installWaker()

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Port:  # noqa: N802
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
        connector = Connector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def adoptStreamPort(self, fileDescriptor: int, addressFamily: int, factory: Any) -> Any:  # noqa: N802, N803
        if addressFamily != socket.AF_INET:
            return super().adoptStreamPort(fileDescriptor, addressFamily, factory)
        listening = Port._fromListeningDescriptor(self, fileDescriptor, addressFamily, factory)
        listening.startListening()
        return listening


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
