"""Connections to backends: setups, the lines of open connections, and probes.

A setup is one attempt to open a client's connection on a backend: the relay connects, forwards the client's
first line, and waits for the backend's answer. The same connection then carries the lines in both directions.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IAddress, IProtocol, IPullProducer
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure
from zope.interface import implementer

from cedarledge.net.config import Address
from cedarledge.net.line_connection import ConnectionContext, LineConnection
from cedarledge.net.lines import END, parse_finite
from cedarledge.net.probe_latency import ProbeLatencies
from cedarledge.net.slots import NoFreeSlotError
from cedarledge.net.timers import Timer
from cedarledge.net.transient_errors import connect_not_attempted
from cedarledge.settings import ReportReader
from cedarledge.terms import MS, LoadReport, Outcome

# Outcomes by the first word of the line that ends a setup or an open connection.
OUTCOMES_BY_WORD = {
    b"BYE": Outcome.DONE,
    b"MOVE": Outcome.CANCELLED,
    b"ERR": Outcome.ERROR,
    b"BUSY": Outcome.FULL,
}

# What a turn of a busy reactor may take.
MAX_REACTOR_TURN = 50 * MS
# Delay before a probe is repeated whose answer took unusually long.
PROBE_REPEAT_DELAY = 250 * MS
# Delay before a connect is repeated that failed for lack of something on this machine.
CONNECT_RETRY_DELAY = 10 * MS


# Called with a backend, whether it answered PONG, and its load report.
ProbeCallback = Callable[[int, bool, LoadReport], None]


class SetupObserver(Protocol):
    """Answers questions about a setup's client and receives its results. Durations are in ns."""

    def may_send(self, tunnel_id: int, backend_id: int) -> bool:
        """Tells whether the request may still be written to that backend."""
        ...

    def client_time_left(self, tunnel_id: int) -> int:
        """Returns how long the client still waits for its answer; below 0 if it no longer does."""
        ...

    def client_has_left(self, tunnel_id: int) -> bool:
        """Tells whether the client has closed its connection."""
        ...

    def setup_opened(self, tunnel_id: int, line: bytes, took: int) -> None:
        """Called with the backend's UP line, `took` after the setup began."""
        ...

    def backend_lines_received(self, tunnel_id: int, lines: list[bytes]) -> None:
        """Called with lines from the backend of an open connection."""
        ...

    def backend_lines_malformed(self, tunnel_id: int) -> None:
        """Called if lines from the backend of an open connection can't be forwarded."""
        ...

    def setup_over(
        self,
        tunnel_id: int,
        backend_id: int,
        outcome: Outcome,
        took: int,
        report: LoadReport | None,
        abrupt: bool,
    ) -> None:
        """Called once, when a setup has failed or an open connection has ended."""
        ...


def read_report(text: bytes, reader: ReportReader) -> LoadReport | None:
    """Parses the load report that may end a line; returns None for anything but a list of numbers."""
    try:
        pairs = (pair.split("=", 1) for pair in text.decode("ascii").split(","))
        return reader({name: parse_finite(value) for name, value in pairs})
    except ValueError:
        return None


class SingleProtocolFactory(Factory):
    """Gives a connection the protocol that was made for it.

    Twisted's connectProtocol does the same, but creates a class at each call.
    """

    noisy = False

    def __init__(self, protocol: IProtocol) -> None:
        """`protocol` is the one for the only connection of this factory."""
        self.protocol_instance = protocol

    def buildProtocol(self, _addr: IAddress) -> IProtocol:  # noqa: N802
        """Returns the protocol."""
        return self.protocol_instance


class BackendConnection(LineConnection):
    """A connection that this relay opens. Established or not, it ends in LineConnection._release."""

    peer = "backend"

    def __init__(self, context: ConnectionContext, address: Address) -> None:
        """Takes a slot; raises NoFreeSlotError if none is free. `connect` has to follow."""
        super().__init__(context)
        self.address = address
        self._connecting: Deferred | None = None
        self._next_try: Timer | None = None

    def connect(self, timeout: int, pending_reads_first: bool = True) -> None:
        """Starts to connect, for at most `timeout` ns."""
        self.set_deadline(timeout, self._cancel_connect, pending_reads_first)
        self._start_connect()

    def _start_connect(self) -> None:
        self._next_try = None
        endpoint = TCP4ClientEndpoint(self.context.reactor, *self.address, timeout=None)
        self._connecting = endpoint.connect(SingleProtocolFactory(self))
        self._connecting.addErrback(self._connect_failed)

    def _cancel_connect(self) -> None:
        if self._next_try is not None:
            self.context.timers.cancel(self._next_try)
            self._never_connected()
        elif self._connecting is not None:
            self._connecting.cancel()

    def _connect_failed(self, failure: Failure) -> None:
        if connect_not_attempted(failure.value) and not self.ending:
            # A shortage on this machine says nothing about the backend, and may have passed soon.
            self._next_try = self.context.timers.after(CONNECT_RETRY_DELAY, self._start_connect)
        else:
            self._never_connected()

    def _never_connected(self) -> None:
        self._next_try = None
        self._ended_by_peer(abrupt=True)
        self._release()

    def abort(self) -> None:
        """Resets the connection at once, or stops connecting."""
        super().abort()
        if not self.up:
            self._cancel_connect()


@implementer(IPullProducer)
class SetupConnection(BackendConnection):
    """One setup: the client's first line, the backend's answer, then the lines of the open connection."""

    def __init__(
        self,
        backends: BackendConnector,
        tunnel_id: int,
        backend_id: int,
        address: Address,
        line_for_backend: Callable[[int], bytes],
        timeout: int,
        send_deadline: int | None = None,
    ) -> None:
        """`line_for_backend` returns the line for the backend, given how long the relay will wait, ns.

        Past `send_deadline` (ns on the relay's clock; None: no limit) the line must not be written any more.
        """
        super().__init__(backends.context, address)
        self.backends = backends
        self.tunnel_id = tunnel_id
        self.backend_id = backend_id
        self.line_for_backend = line_for_backend
        self.began = self.context.clock()
        self.expires_at = self.began + timeout
        self.send_deadline = send_deadline
        self.writing = self.written = self.opened = self.reported = False
        # From the backend's last line, if that announces the end of an open connection.
        self.announced_end: tuple[Outcome, LoadReport | None] | None = None

    def start(self, connect_timeout: int) -> None:
        """Starts to connect, for at most `connect_timeout` ns and no longer than the line may be written."""
        time_to_send = self._time_to_send()
        limit = min(connect_timeout, self.expires_at - self.began)
        limit = limit if time_to_send is None else min(limit, time_to_send)
        # If the whole setup has no more time than the connect, its end may be the client's answer.
        self.connect(limit, pending_reads_first=connect_timeout < self.expires_at - self.began)

    def _time_to_send(self) -> int | None:
        return None if self.send_deadline is None else self.send_deadline - self.context.clock()

    def on_connected(self) -> None:
        """Asks for the first line to be written."""
        self._await_answer()
        # As a pull producer it is asked for the line until the system has taken a part of it, and once more
        # when the system has taken the rest.
        self.transport.registerProducer(self, False)

    def _await_answer(self) -> None:
        left = self.expires_at - self.context.clock()
        # If the client has no time for another setup, the end of this one is its answer and is not put off.
        spare = self.backends.observer.client_time_left(self.tunnel_id) - left
        self.set_deadline(left, self._timed_out, pending_reads_first=spare > MAX_REACTOR_TURN)

    def _give_up_unsent(self) -> None:
        # Aborted before the report, which may start the next setup: a client never has two at once.
        self.transport.unregisterProducer()
        self.abort()
        self._report(Outcome.NOT_SENT)

    def resumeProducing(self) -> None:  # noqa: N802
        """Writes the first line, and notes when the system has taken all of it."""
        if self.writing:
            self._line_written()
            return
        line = self.line_for_backend(self.expires_at - self.context.clock()) + END
        # Checked right before the write: this process may be paused while it builds the line.
        if not self._may_write():
            # The backend may have started to drain meanwhile: a request counts as sent when it is written.
            self._give_up_unsent()
        elif self.backends.observer.client_has_left(self.tunnel_id):
            # The client's end is read in this turn of the reactor or the next, which cancels this setup.
            self.transport.unregisterProducer()
        else:
            self._write_line(line)

    def _may_write(self) -> bool:
        has_time = self.context.clock() < self.expires_at
        return has_time and self.backends.observer.may_send(self.tunnel_id, self.backend_id)

    def _write_line(self, line: bytes) -> None:
        taken = self.send_now(line)
        if taken is None:
            return  # the connection is broken; the reactor will notice
        if not taken:
            # Nothing was sent, so all is checked again once the system can take data.
            self._limit_writing()
            self.transport.startWriting()
            return
        self.writing = True
        if taken == len(line):
            self._line_written()
        else:
            self._limit_writing()
            self.transport.write(line[taken:])

    def _line_written(self) -> None:
        self.written = True
        if self.send_deadline is not None:
            self._await_answer()
        self.transport.unregisterProducer()

    def _limit_writing(self) -> None:
        """Bounds the time in which the system takes the line, as an attempt counts from its last byte."""
        time_to_send = self._time_to_send()
        if time_to_send is not None and time_to_send < self.expires_at - self.context.clock():
            self.set_deadline(time_to_send, self._give_up_unsent)

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: the connection broke before the line was written, and connectionLost handles it."""

    def _timed_out(self) -> None:
        # Aborted before the report, which may start the next setup: a client never has two at once.
        self.abort()
        self._report(Outcome.TIMEOUT)

    def lines_received(self, lines: list[bytes]) -> None:
        """Handles the answer to the first line, and passes later lines to the observer."""
        if not self.written:
            # No backend answers what it has not read: this answer is not to the client's request, which has
            # not run.
            self.protocol_error("an answer before the request was written")
            return
        if not self.opened:
            self._handle_answer(lines.pop(0))
        if lines and self.opened and not self.ending:
            self.announced_end = self._parse_end(lines[-1])
            self.backends.observer.backend_lines_received(self.tunnel_id, lines)

    def _handle_answer(self, line: bytes) -> None:
        if line.partition(b" ")[0] == b"UP":
            self.opened = True
            self.clear_deadline()
            self.backends.observer.setup_opened(self.tunnel_id, line, self.context.clock() - self.began)
            return
        # An unknown answer counts as an error, after which the request may have run.
        outcome, report = self._parse_end(line) or (Outcome.ERROR, None)
        self.finish()
        self._report(outcome, report)

    def _parse_end(self, line: bytes) -> tuple[Outcome, LoadReport | None] | None:
        word, _, rest = line.partition(b" ")
        outcome = OUTCOMES_BY_WORD.get(word)
        if outcome is None:
            return None
        return outcome, read_report(rest, self.backends.reader) if rest else None

    def drop_peer(self) -> None:
        """Ends the setup; an open connection is left to the observer, as the backend still answers."""
        if self.opened:
            # Its client must not be disconnected.
            self.backends.observer.backend_lines_malformed(self.tunnel_id)
        else:
            super().drop_peer()

    def peer_closed(self, abrupt: bool) -> None:
        """Reports the outcome: the announced one, or by how much of the first line was written."""
        if self.opened:
            outcome, report = self.announced_end or (Outcome.RESET, None)
        else:
            outcome, report = self._outcome_without_answer(), None
        self._report(outcome, report, abrupt)

    def _outcome_without_answer(self) -> Outcome:
        if self.written:
            return Outcome.RESET
        time_to_send = self._time_to_send()
        if time_to_send is not None and time_to_send <= 0:
            # Ended by this relay, sooner than a backend has to accept a connection.
            return Outcome.NOT_SENT
        return Outcome.CONNECT_FAILED

    def cancel(self, abrupt: bool = False) -> None:
        """Ends without a report, because the client has left or was moved."""
        self.reported = True
        if self.opened and not abrupt:
            self.finish()
        else:
            self.abort()

    def _report(self, outcome: Outcome, report: LoadReport | None = None, abrupt: bool = False) -> None:
        if not self.reported:
            self.reported = True
            self.backends.observer.setup_over(
                self.tunnel_id, self.backend_id, outcome, self.context.clock() - self.began, report, abrupt
            )


class ProbeConnection(BackendConnection):
    """The connection for one backend's probes, kept while in use: a new one costs the backend more."""

    def __init__(self, backends: BackendConnector, backend_id: int, address: Address) -> None:
        """Takes a slot; raises NoFreeSlotError if none is free."""
        super().__init__(backends.context, address)
        self.backends = backends
        self.backend_id = backend_id
        self.awaiting_answer = self.repeated = False
        self.has_answered = False  # a probe on this connection was answered
        self.sent_at = 0

    def send_probe(self) -> None:
        """Sends a probe, and connects first where necessary."""
        if self.awaiting_answer:
            # The answer to the probe that is already out serves this caller too.
            return
        self.awaiting_answer = True
        if self.up:
            self._write()
        else:
            self.connect(self.backends.connect_timeout)

    def on_connected(self) -> None:
        """Writes the probe for which the connection was opened."""
        self._write()

    def _write(self) -> None:
        self.sent_at = self.context.clock()
        self.set_deadline(self.backends.probe_timeout, self.drop_peer, pending_reads_first=True)
        self.send_line(self.backends.probe_word)

    def lines_received(self, lines: list[bytes]) -> None:
        """Reports the answer, unless it was slow for the first time: then the probe is repeated."""
        word, _, rest = lines[0].partition(b" ")
        if len(lines) > 1 or not self.awaiting_answer:
            self.protocol_error("more answers than probes")
            return
        self.has_answered = True
        report = (read_report(rest, self.backends.reader) if rest else None) or LoadReport()
        slowdown = self.backends.probe_latencies.slowdown(
            self.backend_id, self.context.clock() - self.sent_at
        )
        if slowdown > 1 and not self.repeated:
            # A short pause of the backend looks the same, and has passed by the second probe.
            self.repeated = True
            self.set_deadline(PROBE_REPEAT_DELAY, self._write)
            return
        self.awaiting_answer = self.repeated = False
        self.set_deadline(self.backends.idle_timeout, self._close_idle)
        if slowdown > 1 and report.offered_load is not None:
            # The report is older than the delay that the probe itself has met.
            report = report._replace(offered_load=report.offered_load * slowdown)
        self.backends.on_probe_over(self.backend_id, word == b"PONG", report)

    def _close_idle(self) -> None:
        self.backends.forget(self)
        self.finish()

    @property
    def is_idle(self) -> bool:
        """Whether the connection is only kept for a later probe."""
        return self.up and not self.awaiting_answer

    def _release(self) -> None:
        super()._release()
        self.backends.reclaimed.discard(self)

    def drop_peer(self) -> None:
        """Ends the connection, because of what the backend did or did not send; its probe has failed."""
        self.has_answered = False
        super().drop_peer()

    def peer_closed(self, abrupt: bool) -> None:
        """Reports a probe without an answer, or repeats it if the connection had been idle."""
        self.backends.forget(self)
        if not self.awaiting_answer:
            return
        self.awaiting_answer = self.repeated = False
        if self.has_answered:
            # The backend closed the connection as idle while the probe was on its way. That says nothing
            # about its load; counted as silence it made a healthy backend look busy for two seconds.
            self.backends.probe(self.backend_id, self.address)
        else:
            self.backends.on_probe_over(self.backend_id, False, LoadReport())


class BackendConnector:
    """Opens setups and probes, and keeps the probe connections that are in use."""

    def __init__(
        self,
        context: ConnectionContext,
        observer: SetupObserver,
        on_probe_over: ProbeCallback,
        reader: ReportReader,
        probe_latencies: ProbeLatencies,
        connect_timeout: int,
        probe_timeout: int,
        idle_timeout: int,
        probe_word: bytes,
        probe_free: int = 0,
    ) -> None:
        """Times are in ns: for a probe to connect, for its answer, and until an idle connection is closed.

        With no more than `probe_free` free slots a new probe connection takes the place of an idle one.
        """
        self.context = context
        self.observer = observer
        self.on_probe_over = on_probe_over
        self.reader = reader
        self.probe_latencies = probe_latencies
        self.connect_timeout = connect_timeout
        self.probe_timeout = probe_timeout
        self.idle_timeout = idle_timeout
        self.probe_word = probe_word
        self.probe_free = probe_free
        self.probes: dict[int, ProbeConnection] = {}  # the least recently used first
        self.reclaimed: set[ProbeConnection] = set()  # aborted for others, their slots not free yet

    def set_up(
        self,
        tunnel_id: int,
        backend_id: int,
        address: Address,
        line_for_backend: Callable[[int], bytes],
        timeout: int,
        connect_timeout: int,
        send_deadline: int | None = None,
    ) -> SetupConnection:
        """Starts a setup that ends within `timeout` ns, and writes nothing past `send_deadline`.

        Raises NoFreeSlotError.
        """
        connection = SetupConnection(
            self, tunnel_id, backend_id, address, line_for_backend, timeout, send_deadline
        )
        connection.start(connect_timeout)
        return connection

    def probe(self, backend_id: int, address: Address) -> None:
        """Probes a backend, on the connection that is kept for it unless its address has changed."""
        connection = self.probes.pop(backend_id, None)
        if connection is not None and connection.address != address:
            connection.abort()
            connection = None
        if connection is None:
            try:
                self._make_room_for_probe()
                connection = ProbeConnection(self, backend_id, address)
            except NoFreeSlotError:
                # Reported later, as the policy is in the middle of its call, and as an answer without a
                # report: the missing slot is this relay's, and must not make the backend look busy.
                self.context.timers.after(0, self.on_probe_over, backend_id, True, LoadReport())
                return
        self.probes[backend_id] = connection
        connection.send_probe()

    def _make_room_for_probe(self) -> None:
        """Ends an idle probe connection if slots run short; raises NoFreeSlotError if there is none."""
        if self.context.connections.free > self.probe_free:
            return
        before = len(self.reclaimed)
        self.reclaim_slots(before + 1)
        if len(self.reclaimed) == before:
            raise NoFreeSlotError("the free slots are left for clients and attempts")

    def reclaim_slots(self, count: int) -> None:
        """Ends the least recently used idle probe connections until `count` slots are about to be free."""
        idle = [connection for connection in self.probes.values() if connection.is_idle]
        for connection in idle[: max(0, count - len(self.reclaimed))]:
            self.forget(connection)
            self.reclaimed.add(connection)
            connection.abort()

    def abort_probe(self, backend_id: int) -> None:
        """Drops a backend's probe connection, so that a probe is not even repeated on it."""
        connection = self.probes.get(backend_id)
        if connection is not None:
            connection.drop_peer()

    def forget(self, connection: ProbeConnection) -> None:
        """Stops using a probe connection for further probes."""
        if self.probes.get(connection.backend_id) is connection:
            del self.probes[connection.backend_id]
