"""What every line connection has, whoever its peer is: a slot, a line buffer, and one way to end."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from cedarledge.net.buffers import BufferPool, NoBufferError
from cedarledge.net.invariants import Invariants
from cedarledge.net.lines import END, MAX_LINE_BYTES, LineBuffer, LineTooLongError
from cedarledge.net.rate_limited_log import RateLimitedLog
from cedarledge.net.slots import SlotTable
from cedarledge.net.timers import Timer, Timers
from cedarledge.net.transient_errors import TRANSIENT_IO_ERRORS
from cedarledge.terms import SECOND

# How long the peer of a connection that was ended may take to read what is left and to end its side.
LINGER = SECOND
# How much more is read of it meanwhile. Past that its peer is not about to hear: it is still sending.
LINGER_BYTES = 64 << 10
# How often the system is asked at most whether a peer has left.
LOOKS = 5


class ConnectionContext(NamedTuple):
    """What all connections draw on."""

    reactor: Any
    clock: Callable[[], int]
    timers: Timers
    pool: BufferPool
    connections: SlotTable[LineConnection]
    rate_limited_log: RateLimitedLog
    invariants: Invariants


@implementer(IHalfCloseableProtocol)
class LineConnection(Protocol):
    """One connection. It takes its slot when it is made and gives it back in _release, there alone."""

    transport: Any
    peer = ""  # what the log calls the other side

    def __init__(self, context: ConnectionContext) -> None:
        self.context = context
        self.lines = LineBuffer(context.pool)
        self.deadline: Timer | None = None
        self.up = self.ending = False
        self.unheard = 0  # bytes that came after its end
        self.slot = context.connections.allocate(self)

    # -- what the peers' files fill in -----------------------------------------------------------

    def on_connected(self) -> None:
        """The connection stands."""

    def lines_received(self, lines: list[bytes]) -> None:
        raise NotImplementedError

    def peer_closed(self, abrupt: bool) -> None:
        """The peer, or the network, has ended the connection."""
        raise NotImplementedError

    def drop_peer(self) -> None:
        """Ends a peer that can't be dealt with."""
        self.abort()
        self.peer_closed(abrupt=True)

    def protocol_error(self, why: str) -> None:
        """The peer does not keep to the protocol."""
        self.context.rate_limited_log.warn(self.peer, why)
        self.drop_peer()

    # -- timers ----------------------------------------------------------------------------------

    def set_deadline(self, delay: int, call: Callable[[], None], pending_reads_first: bool = False) -> None:
        """Sets the one timer that a connection has at a time; see Timers.after_pending_reads."""
        timers = self.context.timers
        timers.cancel(self.deadline)
        self.deadline = (timers.after_pending_reads if pending_reads_first else timers.after)(delay, call)

    def clear_deadline(self) -> None:
        self.context.timers.cancel(self.deadline)
        self.deadline = None

    # -- sending and ending ----------------------------------------------------------------------

    def send_line(self, line: bytes) -> None:
        self.transport.write(line + END)

    def peer_has_left(self) -> bool:
        """Whether its peer, who has only to wait, has ended it or said more, and that only lies unread: after
        a pause of this process, or where the reactor comes to another connection first. An end may lie behind
        what was said, and that is the end of it as well."""
        for _ in range(LOOKS):
            try:
                self.transport.socket.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return False
            except OSError as why:
                if why.errno in TRANSIENT_IO_ERRORS:
                    continue  # the system could not say
            return True
        return False

    def send_lines(self, lines: list[bytes]) -> bool:
        """Lines that go straight to the system where nothing waits before them: by way of the reactor each
        would cost two changes of what it watches, and a turn of its own. What the system does not take now is
        the transport's, and holds up the other side from there. Gives whether the system has all."""
        data = END.join((*lines, b""))
        transport = self.transport
        # The transport's own buffers, by Twisted's names for them as of the version that is pinned.
        if not transport.dataBuffer and not transport._tempDataBuffer and self.up and not self.ending:
            try:
                data = data[transport.socket.send(data) :]
            except OSError as why:
                if why.errno not in TRANSIENT_IO_ERRORS:
                    # It is broken; the reactor finds out in its own way, and connectionLost says how.
                    return False
        if data:
            transport.write(data)
        return not data

    def finish(self) -> None:
        """Ends it once all is written. Only the sending side is closed at first: closed at once, a line
        that is still on its way here would make the system reset the connection, and the last answer with
        it."""
        if self.ending:
            return
        self.ending = True
        if self.up:
            self.transport.unregisterProducer()
            self.transport.resumeProducing()
            self.transport.loseWriteConnection()
            # Where this process is paused right here the last answer has not gone to the system yet.
            self.set_deadline(LINGER, self.abort, pending_reads_first=True)
        else:
            self.abort()

    def abort(self) -> None:
        """Ends it now, and resets it."""
        self.ending = True
        self.clear_deadline()
        if self.up:
            self.transport.abortConnection()

    # -- Twisted's side --------------------------------------------------------------------------

    def connectionMade(self) -> None:  # noqa: N802
        self.up = True
        self.transport.setTcpNoDelay(True)
        # Twisted would ask the system for 64 KiB a read; the longest line is a sixteenth of that.
        self.transport.bufferSize = 2 * MAX_LINE_BYTES
        self.on_connected()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.ending:
            self.unheard += len(data)
            if self.unheard > LINGER_BYTES:
                self.abort()
            return
        try:
            lines = self.lines.feed(data)
        except (LineTooLongError, NoBufferError) as why:
            self.protocol_error(str(why))
            return
        if lines:
            self.lines_received(lines)

    def readConnectionLost(self) -> None:  # noqa: N802
        self._ended_by_peer(abrupt=False)
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self.set_deadline(LINGER, self.abort, pending_reads_first=True)

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Closed by finish; the other half follows."""

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self._ended_by_peer(abrupt=reason.check(ConnectionDone) is None)
        self._release()

    def _ended_by_peer(self, abrupt: bool) -> None:
        if not self.ending:
            self.ending = True
            self.peer_closed(abrupt)

    def _release(self) -> None:
        self.up = False
        self.clear_deadline()
        self.lines.close()
        self.context.connections.release(self.slot)
