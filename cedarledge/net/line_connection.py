"""What every connection that carries lines has: a slot, a line buffer, and one way to end."""

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

# How long the peer may take to read the rest and to close its side, after this side has finished.
LINGER = SECOND
# How much input is discarded meanwhile. A peer that sends more is not about to close.
LINGER_BYTES = 64 << 10
# How often the system is asked at most whether a peer has left, where its answer is a transient error.
MAX_PEEKS = 5


class ConnectionContext(NamedTuple):
    """What all line connections of a process share."""

    reactor: Any
    clock: Callable[[], int]
    timers: Timers
    pool: BufferPool
    connections: SlotTable[LineConnection]
    rate_limited_log: RateLimitedLog
    invariants: Invariants


@implementer(IHalfCloseableProtocol)
class LineConnection(Protocol):
    """One connection. It takes its slot when it is created and gives it back in `_release` only."""

    transport: Any
    peer = ""  # what the log calls the other side

    def __init__(self, context: ConnectionContext) -> None:
        """Takes a slot of the context. Raises NoFreeSlotError if none is free."""
        self.context = context
        self.lines = LineBuffer(context.pool)
        self.deadline: Timer | None = None
        self.up = self.ending = False
        self.discarded_bytes = 0  # received after this side has finished
        self.slot = context.connections.allocate(self)

    # -- what the subclass for each kind of peer implements ------------------------------------------

    def on_connected(self) -> None:
        """Called when the connection is established."""

    def lines_received(self, lines: list[bytes]) -> None:
        """Called with one or more whole lines, without their line ends."""
        raise NotImplementedError

    def peer_closed(self, abrupt: bool) -> None:
        """Called when the peer or the network has ended the connection; `abrupt` if it was reset."""
        raise NotImplementedError

    def drop_peer(self) -> None:
        """Ends the connection of a peer that can't be served."""
        self.abort()
        self.peer_closed(abrupt=True)

    def protocol_error(self, reason: str) -> None:
        """Logs that the peer violated the protocol, and ends its connection."""
        self.context.rate_limited_log.warn(self.peer, reason)
        self.drop_peer()

    # -- timers ----------------------------------------------------------------------------------

    def set_deadline(self, delay: int, call: Callable[[], None], pending_reads_first: bool = False) -> None:
        """Sets or replaces the connection's only timer; `delay` is in ns.

        With `pending_reads_first` it is set by Timers.after_pending_reads.
        """
        timers = self.context.timers
        timers.cancel(self.deadline)
        self.deadline = (timers.after_pending_reads if pending_reads_first else timers.after)(delay, call)

    def clear_deadline(self) -> None:
        """Cancels the connection's timer."""
        self.context.timers.cancel(self.deadline)
        self.deadline = None

    # -- sending and ending ----------------------------------------------------------------------

    def send_line(self, line: bytes) -> None:
        """Sends one line by way of the reactor."""
        self.transport.write(line + END)

    def peer_has_left(self) -> bool:
        """Tells whether the peer, which has only to wait, has closed the connection or sent more data.

        Either may have arrived without being read yet: after a pause of this process, or where the reactor
        handles another connection first. Unread data counts as leaving, as the end may be queued after it.
        """
        for _ in range(MAX_PEEKS):
            try:
                self.transport.socket.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno in TRANSIENT_IO_ERRORS:
                    continue  # no information; ask again
            return True
        return False

    def send_lines(self, lines: list[bytes]) -> bool:
        """Sends lines directly to the system if no earlier data is queued, and tells whether it took all.

        By way of the reactor they would cost two changes of its watched events and another turn. What the
        system does not take now is queued in the transport, which then holds up reading from the other side.
        """
        data = END.join((*lines, b""))
        transport = self.transport
        # Private buffers of Twisted's transport, by their names in the pinned version.
        if not transport.dataBuffer and not transport._tempDataBuffer and self.up and not self.ending:
            taken = self.send_now(data)
            if taken is None:
                return False
            data = data[taken:]
        if data:
            transport.write(data)
        return not data

    def send_now(self, data: bytes) -> int | None:
        """Passes data directly to the system and returns how many bytes it took; no data may be queued.

        None: the connection is broken, and the reactor will notice and call connectionLost.
        """
        try:
            return self.transport.socket.send(data)
        except OSError as error:
            return 0 if error.errno in TRANSIENT_IO_ERRORS else None

    def finish(self) -> None:
        """Ends the connection once everything is written.

        Only the sending side is closed at first. If both were, a line still on its way here would make the
        system reset the connection, and the last answer would be lost with it.
        """
        if self.ending:
            return
        self.ending = True
        if self.up:
            self.transport.unregisterProducer()
            self.transport.resumeProducing()
            self.transport.loseWriteConnection()
            # If this process is paused right here, the last answer has not been passed to the system yet.
            self.set_deadline(LINGER, self.abort, pending_reads_first=True)
        else:
            self.abort()

    def abort(self) -> None:
        """Resets the connection at once."""
        self.ending = True
        self.clear_deadline()
        if self.up:
            self.transport.abortConnection()

    # -- called by Twisted -----------------------------------------------------------------------

    def connectionMade(self) -> None:  # noqa: N802
        """Prepares the established connection."""
        self.up = True
        self.transport.setTcpNoDelay(True)
        # Twisted would ask the system for 64 KiB a read; the longest line is a sixteenth of that.
        self.transport.bufferSize = 2 * MAX_LINE_BYTES
        self.on_connected()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Splits the input into lines, or discards it once the connection is ending."""
        if self.ending:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > LINGER_BYTES:
                self.abort()
            return
        try:
            lines = self.lines.feed(data)
        except (LineTooLongError, NoBufferError) as error:
            self.protocol_error(str(error))
            return
        if lines:
            self.lines_received(lines)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Closes this side after the peer has closed its own."""
        self._ended_by_peer(abrupt=False)
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self.set_deadline(LINGER, self.abort, pending_reads_first=True)

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Does nothing: `finish` has closed the sending side, and the peer closes the other one."""

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Reports the end and gives back what the connection holds."""
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
