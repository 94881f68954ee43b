"""The backends' side: setups, the lines of open tunnels, probes."""

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
from cedarledge.net.lines import parse_finite
from cedarledge.net.probe_latency import ProbeLatencies
from cedarledge.net.slots import NoFreeSlotError
from cedarledge.net.timers import Timer
from cedarledge.net.transient_errors import connect_not_attempted
from cedarledge.settings import ReportReader
from cedarledge.terms import MS, LoadReport, Outcome

# First words of the lines that end a setup or an open tunnel.
LAST_WORDS = {b"BYE": Outcome.DONE, b"MOVE": Outcome.CANCELLED, b"ERR": Outcome.ERROR, b"BUSY": Outcome.FULL}

# What a turn of a busy reactor may take.
TURN = 50 * MS
# How soon a probe that took unusually long is sent once more.
ASK_AGAIN = 250 * MS
# How soon a connect for which this machine lacked something is begun again.
TRY_AGAIN = 10 * MS


ProbeOver = Callable[[int, bool, LoadReport], None]


class SetupObserver(Protocol):
    """Where the backends' side tells what comes of setups."""

    def may_send(self, tunnel_id: int, backend_id: int) -> bool: ...
    def client_time_left(self, tunnel_id: int) -> int: ...
    def client_has_left(self, tunnel_id: int) -> bool: ...
    def setup_opened(self, tunnel_id: int, line: bytes, took: int) -> None: ...
    def backend_lines_received(self, tunnel_id: int, lines: list[bytes]) -> None: ...
    def backend_lines_malformed(self, tunnel_id: int) -> None: ...
    def setup_over(
        self,
        tunnel_id: int,
        backend_id: int,
        outcome: Outcome,
        took: int,
        report: LoadReport | None,
        abrupt: bool,
    ) -> None: ...


def read_report(text: bytes, reader: ReportReader) -> LoadReport | None:
    """The load report that may end a line; one that is no list of figures is none."""
    try:
        pairs = (pair.split("=", 1) for pair in text.decode("ascii").split(","))
        return reader({name: parse_finite(value) for name, value in pairs})
    except ValueError:
        return None


class SingleProtocolFactory(Factory):
    """Gives a connection its protocol. Twisted's connectProtocol makes a class for each call to do so."""

    noisy = False

    def __init__(self, link: IProtocol) -> None:
        self.link = link

    def buildProtocol(self, _addr: IAddress) -> IProtocol:  # noqa: N802
        return self.link


class BackendConnection(LineConnection):
    """A connection that this relay opens. Whatever is opened ends in Link._release."""

    peer = "backend"

    def __init__(self, context: ConnectionContext, address: Address) -> None:
        super().__init__(context)
        self.address = address
        self._connecting: Deferred | None = None
        self._next_try: Timer | None = None

    def connect(self, within: int, pending_reads_first: bool = True) -> None:
        self.set_deadline(within, self._never_up, pending_reads_first)
        self._begin()

    def _begin(self) -> None:
        self._next_try = None
        endpoint = TCP4ClientEndpoint(self.context.reactor, *self.address, timeout=None)
        self._connecting = endpoint.connect(SingleProtocolFactory(self))
        self._connecting.addErrback(self._not_up)

    def _never_up(self) -> None:
        if self._next_try is not None:
            self.context.timers.cancel(self._next_try)
            self._failed()
        elif self._connecting is not None:
            self._connecting.cancel()

    def _not_up(self, why: Failure) -> None:
        if connect_not_attempted(why.value) and not self.ending:
            # This machine lacked something for it: that says nothing of the backend, and may be over.
            self._next_try = self.context.timers.after(TRY_AGAIN, self._begin)
        else:
            self._failed()

    def _failed(self) -> None:
        self._next_try = None
        self._ended_by_peer(abrupt=True)
        self._release()

    def abort(self) -> None:
        super().abort()
        if not self.up:
            self._never_up()


@implementer(IPullProducer)
class SetupConnection(BackendConnection):
    """One setup: the first line, the backend's answer to it, then the tunnel's backend end."""

    def __init__(
        self,
        backends: BackendConnector,
        tunnel_id: int,
        backend_id: int,
        address: Address,
        head: Callable[[int], bytes],
        timeout: int,
    ) -> None:
        super().__init__(backends.context, address)
        self.backends = backends
        self.tunnel_id = tunnel_id
        self.backend_id = backend_id
        self.head = head
        self.began = self.context.clock()
        self.give_up = self.began + timeout
        self.writing = self.written = self.opened = self.over = False
        self.last: tuple[Outcome, LoadReport | None] | None = None

    def on_connected(self) -> None:
        left = self.give_up - self.context.clock()
        if left <= 0 or not self.backends.watcher.may_send(self.tunnel_id, self.backend_id):
            # The list may have told of a drain while this was connecting, and a send counts from its line.
            self.abort()
            self._settle(Outcome.NOT_SENT)
            return
        # The last setup's end is the client's answer, which is not put off.
        spare = self.backends.watcher.client_time_left(self.tunnel_id) - left
        self.set_deadline(left, self._too_late, pending_reads_first=spare > TURN)
        # As a pull producer it is asked once for the line, and once more when the system has taken what it
        # did not take at once.
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        if not self.writing:
            line = self.head(self.give_up - self.context.clock())
            # Looked at last: where this process is paused in between, its client may leave meanwhile.
            if self.backends.watcher.client_has_left(self.tunnel_id):
                # Its end is read within this turn of the reactor, or the next, and this one called off then.
                self.transport.unregisterProducer()
                return
            self.writing = True
            if not self.send_lines([line]):
                return
        self.written = True
        self.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection broke before the line was written; connectionLost says so."""

    def _too_late(self) -> None:
        # Ended before it is told: the next setup may go out in that very call, and never two at once.
        self.abort()
        self._settle(Outcome.TIMEOUT)

    def lines_received(self, lines: list[bytes]) -> None:
        if not self.written:
            # No backend answers what it has not read: this line is nobody's, and the client's never ran.
            self.protocol_error("an answer before the line was written")
            return
        if not self.opened:
            self._answered(lines.pop(0))
        if lines and self.opened and not self.ending:
            self.last = self._ends(lines[-1])
            self.backends.watcher.backend_lines_received(self.tunnel_id, lines)

    def _answered(self, line: bytes) -> None:
        if line.partition(b" ")[0] == b"UP":
            self.opened = True
            self.clear_deadline()
            self.backends.watcher.setup_opened(self.tunnel_id, line, self.context.clock() - self.began)
            return
        # What none of the words fits is an error: it may have run.
        outcome, report = self._ends(line) or (Outcome.ERROR, None)
        self.finish()
        self._settle(outcome, report)

    def _ends(self, line: bytes) -> tuple[Outcome, LoadReport | None] | None:
        word, _, rest = line.partition(b" ")
        outcome = LAST_WORDS.get(word)
        if outcome is None:
            return None
        return outcome, read_report(rest, self.backends.reader) if rest else None

    def drop_peer(self) -> None:
        if self.opened:
            # The backend still answers, so its client may not be cut off.
            self.backends.watcher.backend_lines_malformed(self.tunnel_id)
        else:
            super().drop_peer()

    def peer_closed(self, abrupt: bool) -> None:
        if self.opened:
            outcome, report = self.last or (Outcome.RESET, None)
        else:
            outcome, report = (Outcome.RESET if self.written else Outcome.CONNECT_FAILED), None
        self._settle(outcome, report, abrupt)

    def cancel(self, abrupt: bool = False) -> None:
        """Its client has left or was moved: it ends with no word to the watcher."""
        self.over = True
        if self.opened and not abrupt:
            self.finish()
        else:
            self.abort()

    def _settle(self, outcome: Outcome, report: LoadReport | None = None, abrupt: bool = False) -> None:
        if not self.over:
            self.over = True
            self.backends.watcher.setup_over(
                self.tunnel_id, self.backend_id, outcome, self.context.clock() - self.began, report, abrupt
            )


class ProbeConnection(BackendConnection):
    """The connection for one backend's probes, kept while it is used: a new one costs the backend more."""

    def __init__(self, backends: BackendConnector, backend_id: int, address: Address) -> None:
        super().__init__(backends.context, address)
        self.backends = backends
        self.backend_id = backend_id
        self.out = self.again = False
        self.kept = False  # it has answered before
        self.asked_at = 0

    def ask(self) -> None:
        if self.out:
            # One answer serves all who wait for it.
            return
        self.out = True
        if self.up:
            self._write()
        else:
            self.connect(self.backends.connect_within)

    def on_connected(self) -> None:
        self._write()

    def _write(self) -> None:
        self.asked_at = self.context.clock()
        self.set_deadline(self.backends.probe_timeout, self.drop_peer, pending_reads_first=True)
        self.send_line(self.backends.probe_word)

    def lines_received(self, lines: list[bytes]) -> None:
        word, _, rest = lines[0].partition(b" ")
        if len(lines) > 1 or not self.out:
            self.protocol_error("more answers than probes")
            return
        self.kept = True
        report = (read_report(rest, self.backends.reader) if rest else None) or LoadReport()
        slower = self.backends.probe_latencies.slowdown(self.backend_id, self.context.clock() - self.asked_at)
        if slower > 1 and not self.again:
            # A short pause of the backend looks the same, and is over by then.
            self.again = True
            self.set_deadline(ASK_AGAIN, self._write)
            return
        self.out = self.again = False
        self.set_deadline(self.backends.idle_timeout, self._idle)
        if slower > 1 and report.offered_load is not None:
            # The report is older than what the probe itself has met.
            report = report._replace(offered_load=report.offered_load * slower)
        self.backends.probe_over(self.backend_id, word == b"PONG", report)

    def _idle(self) -> None:
        self.backends.forget(self)
        self.finish()

    def drop_peer(self) -> None:
        self.kept = False  # ended from here, for what the backend did or did not say
        super().drop_peer()

    def peer_closed(self, abrupt: bool) -> None:
        self.backends.forget(self)
        if not self.out:
            return
        self.out = self.again = False
        if self.kept:
            # It was idle for longer than its backend bears, which closed it as the probe was on its way. That
            # says nothing of the backend; taken for silence it called a sound one busy for two seconds.
            self.backends.probe(self.backend_id, self.address)
        else:
            self.backends.probe_over(self.backend_id, False, LoadReport())


class BackendConnector:
    """Opens setups and probes, and knows the probe connections that are kept."""

    def __init__(
        self,
        context: ConnectionContext,
        watcher: SetupObserver,
        probe_over: ProbeOver,
        reader: ReportReader,
        probe_latencies: ProbeLatencies,
        connect_within: int,
        probe_timeout: int,
        idle_timeout: int,
        probe_word: bytes,
    ) -> None:
        self.context = context
        self.watcher = watcher
        self.probe_over = probe_over
        self.reader = reader
        self.probe_latencies = probe_latencies
        self.connect_within = connect_within
        self.probe_timeout = probe_timeout
        self.idle_timeout = idle_timeout
        self.probe_word = probe_word
        self.probes: dict[int, ProbeConnection] = {}

    def set_up(
        self,
        tunnel_id: int,
        backend_id: int,
        address: Address,
        head: Callable[[int], bytes],
        timeout: int,
        connect_within: int,
    ) -> SetupConnection:
        link = SetupConnection(self, tunnel_id, backend_id, address, head, timeout)
        # Where it has no longer than that, its end may be the client's answer.
        link.connect(min(connect_within, timeout), pending_reads_first=connect_within < timeout)
        return link

    def probe(self, backend_id: int, address: Address) -> None:
        link = self.probes.get(backend_id)
        if link is not None and link.address != address:
            self.forget(link)
            link.abort()
            link = None
        if link is None:
            try:
                link = self.probes[backend_id] = ProbeConnection(self, backend_id, address)
            except NoFreeSlotError:
                # Told later, as the module is in the midst of asking, and as no news: the want of a slot is
                # this relay's, and the backend may not be called busy for it.
                self.context.timers.after(0, self.probe_over, backend_id, True, LoadReport())
                return
        link.ask()

    def abort_probe(self, backend_id: int) -> None:
        """Not even a second question on a connection that is there."""
        link = self.probes.get(backend_id)
        if link is not None:
            link.drop_peer()

    def forget(self, link: ProbeConnection) -> None:
        if self.probes.get(link.backend_id) is link:
            del self.probes[link.backend_id]
