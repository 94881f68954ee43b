"""Twisted's TCP transports, changed so that system calls that fail for a moment do not end a connection."""

from __future__ import annotations

import errno
import socket
from typing import Any

from twisted.internet import main, tcp
from twisted.internet.error import ConnectionDone, ConnectionLost

from cedarledge.net.transient_errors import TRANSIENT_ACCEPT_ERRORS, TRANSIENT_IO_ERRORS


class _RetryingConnection:
    """Retries reads and writes where Twisted would end the connection after a single failed call."""

    socket: socket.socket
    bufferSize: int  # noqa: N815
    SEND_LIMIT: int

    def doRead(self) -> ConnectionDone | ConnectionLost | None:  # noqa: N802
        """Reads what has arrived. Returns the reason if the connection has ended."""
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as error:
            return None if error.errno in TRANSIENT_IO_ERRORS else main.CONNECTION_LOST
        return self._dataReceived(data)

    def writeSomeData(self, data: bytes) -> int | ConnectionLost:  # noqa: N802
        """Returns the number of bytes that the system took, or the reason why the connection has ended."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as error:
            return 0 if error.errno in TRANSIENT_IO_ERRORS else main.CONNECTION_LOST


class Server(_RetryingConnection, tcp.Server):
    """A connection that was accepted."""


class ConnectingSocket(socket.socket):
    """A socket that tells a connect that was not attempted from one that is in progress.

    EAGAIN and EWOULDBLOCK are the same number, and Twisted would wait for the first as for the second.
    """

    def connect_ex(self, address: Any) -> int:
        """Returns the error number of a connect; EADDRNOTAVAIL where the system reports EAGAIN."""
        number = super().connect_ex(address)
        return errno.EADDRNOTAVAIL if number == errno.EAGAIN else number


class Client(_RetryingConnection, tcp.Client):
    """A connection that this process opens."""

    def createInternetSocket(self) -> ConnectingSocket:  # noqa: N802
        """Returns the non-blocking socket on which Twisted connects."""
        connecting = ConnectingSocket(self.addressFamily, self.socketType)
        connecting.setblocking(False)
        return connecting


class AcceptingSocket:
    """A listening socket whose `accept` reports no pending connection where it fails for a moment.

    Twisted would close connections unread to free a descriptor, or log the error with its traceback.
    """

    def __init__(self, listening: socket.socket) -> None:
        """Wraps a listening socket; everything but `accept` is passed to it."""
        self._listening = listening

    def __getattr__(self, name: str) -> Any:
        """Returns the attribute of the wrapped socket."""
        return getattr(self._listening, name)

    def accept(self) -> tuple[socket.socket, Any]:
        """Raises BlockingIOError if no connection is pending, or none can be accepted at the moment."""
        try:
            return self._listening.accept()
        except OSError as error:
            if error.errno not in TRANSIENT_ACCEPT_ERRORS:
                raise
            raise BlockingIOError(errno.EAGAIN, "no connection can be accepted at the moment") from error


class Port(tcp.Port):
    """A listener that tolerates accept errors that pass."""

    transport = Server

    def startListening(self) -> None:  # noqa: N802
        """Opens the listening socket and wraps it."""
        super().startListening()
        self.socket = AcceptingSocket(self.socket)


class Connector(tcp.Connector):
    """Opens connections whose transport is a `Client` of this module."""

    def _makeTransport(self) -> Client:  # noqa: N802
        return Client(self.host, self.port, self.bindAddress, self, self.reactor)
