"""Twisted's TCP transports, but for system calls that fail for a moment: there the connection stands."""

from __future__ import annotations

import errno
import socket
from typing import Any

from twisted.internet import main, tcp
from twisted.internet.error import ConnectionDone, ConnectionLost

from cedarledge.net.transient_errors import TRANSIENT_ACCEPT_ERRORS, TRANSIENT_IO_ERRORS


class _PatientConnection:
    """Reads and writes again where Twisted would take one failed call for the end of the connection."""

    socket: socket.socket
    bufferSize: int  # noqa: N815
    SEND_LIMIT: int

    def doRead(self) -> ConnectionDone | ConnectionLost | None:  # noqa: N802
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as why:
            return None if why.errno in TRANSIENT_IO_ERRORS else main.CONNECTION_LOST
        return self._dataReceived(data)

    def writeSomeData(self, data: bytes) -> int | ConnectionLost:  # noqa: N802
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as why:
            return 0 if why.errno in TRANSIENT_IO_ERRORS else main.CONNECTION_LOST


class Server(_PatientConnection, tcp.Server):
    """A connection that was accepted."""


class ConnectingSocket(socket.socket):
    """A socket that tells a connect that was not tried from one that is under way: EAGAIN is no other number
    than EWOULDBLOCK, and Twisted would wait for the first as for the second."""

    def connect_ex(self, address: Any) -> int:
        number = super().connect_ex(address)
        return errno.EADDRNOTAVAIL if number == errno.EAGAIN else number


class Client(_PatientConnection, tcp.Client):
    """A connection that this process opens."""

    def createInternetSocket(self) -> ConnectingSocket:  # noqa: N802
        connecting = ConnectingSocket(self.addressFamily, self.socketType)
        connecting.setblocking(False)
        return connecting


class AcceptingSocket:
    """A listening socket whose `accept` has nobody to give where it fails for a moment. Twisted would end
    connections unread to make room for a descriptor, or log the error and its traceback."""

    def __init__(self, listening: socket.socket) -> None:
        self._listening = listening

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listening, name)

    def accept(self) -> tuple[socket.socket, Any]:
        """Raises BlockingIOError where there is nobody, or nobody can be had now."""
        try:
            return self._listening.accept()
        except OSError as why:
            if why.errno not in TRANSIENT_ACCEPT_ERRORS:
                raise
            raise BlockingIOError(errno.EAGAIN, "nobody can be accepted now") from why


class Port(tcp.Port):
    """A listener."""

    transport = Server

    def startListening(self) -> None:  # noqa: N802
        super().startListening()
        self.socket = AcceptingSocket(self.socket)


class Connector(tcp.Connector):
    """Opens a connection."""

    def _makeTransport(self) -> Client:  # noqa: N802
        return Client(self.host, self.port, self.bindAddress, self, self.reactor)
