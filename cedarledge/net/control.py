"""Where operators call: HTTP/1.1, one call to a connection, an answer of one line."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import unquote

from loguru import logger
from twisted.internet.interfaces import IAddress

from cedarledge.net.buffers import BufferPool
from cedarledge.net.evicting_listener import ACCEPTS_PER_TURN, EvictingListener
from cedarledge.net.line_connection import ConnectionContext, LineConnection
from cedarledge.net.service import ServiceState, UnknownBackendError
from cedarledge.net.slots import SlotTable
from cedarledge.terms import MS

if TYPE_CHECKING:
    from cedarledge.net.handover import Handover

# Callers at a time, in descriptors that clients can't take; and of these, what is kept free: that many may
# come in before one that was made to leave has left.
MAX_CALLERS, ROOM = 24, 10
# No call comes near these; what is longer is not read on.
MAX_HEAD_BYTES, MAX_BODY_BYTES = 8 << 10, 64 << 10
# For a whole call, from connecting on.
CALL_TIMEOUT = 2000 * MS
READY, BACKENDS = "/control/ready", "/control/backends/"
CALLS = {"/control": ("out-of-service", "in-service"), BACKENDS: ("offline", "online")}
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Call(NamedTuple):
    method: str
    path: str


class Answer(NamedTuple):
    status: int
    text: str
    allow: str = ""

    def line(self) -> bytes:
        body = self.text.encode("ascii", "backslashreplace") + b"\n"
        allow = f"Allow: {self.allow}\r\n" if self.allow else ""
        head = (
            f"HTTP/1.1 {self.status} {REASONS[self.status]}\r\nContent-Type: text/plain\r\n{allow}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return head.encode("ascii") + body


class CallError(Exception):
    """What can't be dealt with, and the answer to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.answer = Answer(status, text)


class CallReader:
    """Reads one call from a stream. What stands behind it is nobody's."""

    def __init__(self) -> None:
        self._data = b""
        self._call: Call | None = None
        self._left = 0  # of the body

    def feed(self, data: bytes) -> Call | None:
        if self._call is None:
            self._data += data
            end = self._data.find(b"\r\n\r\n")
            if (end if end >= 0 else len(self._data)) > MAX_HEAD_BYTES:
                raise CallError(431, "a head past all measure")
            if end < 0:
                return None
            head, data = self._data[:end], self._data[end + 4 :]
            self._call, self._left = self._head(head)
        # The body of a call means nothing here; it only has to be through.
        self._left -= len(data)
        return self._call if self._left <= 0 else None

    def _head(self, head: bytes) -> tuple[Call, int]:
        first, *lines = head.decode("latin-1").split("\r\n")
        words = first.split(" ")
        if len(words) != 3 or not all(words) or not words[2].startswith("HTTP/1."):
            raise CallError(400, f"not a call: {first[:60]!r}")
        fields: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            name = name.lower()
            if not colon or not name or name != name.strip():
                raise CallError(400, f"not a field: {line[:60]!r}")
            if name == "content-length" and fields.get(name, value.strip()) != value.strip():
                raise CallError(400, "two lengths")
            fields[name] = value.strip()
        if "transfer-encoding" in fields:
            raise CallError(400, "a body without a length")
        length = fields.get("content-length", "0")
        if not (length.isascii() and length.isdecimal()):
            raise CallError(400, f"no length: {length[:60]!r}")
        if len(length) > 9 or int(length) > MAX_BODY_BYTES:
            raise CallError(413, "a body past all measure")
        return Call(words[0], words[1].partition("?")[0]), int(length)


class CallLink(LineConnection):
    """One caller. It has its answer in the event that brings the last byte of its call, or once the other
    process of this relay knows of it."""

    peer = "operator"

    def __init__(self, control: Control) -> None:
        super().__init__(control.context)
        self.control = control
        self.reader = CallReader()

    def on_connected(self) -> None:
        self.control.mark_waiting(self)
        self.set_deadline(CALL_TIMEOUT, self._too_late, pending_reads_first=True)

    def _too_late(self) -> None:
        self.answer(Answer(408, "no whole call in time"))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.ending:
            super().dataReceived(data)
            return
        try:
            call = self.reader.feed(data)
        except CallError as why:
            self.context.rate_limited_log.warn(self.peer, str(why))
            self.answer(why.answer)
            return
        if call is None:
            self.control.mark_waiting(self)
        else:
            self.control.protect(self)
            self.clear_deadline()
            self.control.carry_out(call, self.answer)

    def answer(self, answer: Answer) -> None:
        if not self.ending:
            self.control.protect(self)
            self.transport.write(answer.line())
            self.finish()

    def writeConnectionLost(self) -> None:  # noqa: N802
        # Only once the answer is written: who makes room is reset, and it would go with that.
        self.control.mark_answered(self)

    def peer_closed(self, abrupt: bool) -> None:
        """It asked for nothing that goes on without it."""

    def _release(self) -> None:
        super()._release()
        self.control.forget(self)


class Control(EvictingListener):
    """The operators' front. Callers that hold a connection and ask nothing make room for the next."""

    spare_slots = ROOM

    def __init__(self, context: ConnectionContext, service: ServiceState, handover: Handover | None) -> None:
        super().__init__(context._replace(connections=SlotTable(MAX_CALLERS), pool=BufferPool(0, 0)))
        self.service = service
        self.handover = handover  # to another process of this relay, where there can be one

    def buildProtocol(self, addr: IAddress) -> CallLink | None:  # noqa: N802
        self.evict_idle()
        # After a pause of this process Twisted would take in 24 in its next turn, more than have a place: the
        # first of them would make room for the last before their calls were read.
        self.context.timers.after(0, setattr, self.port, "numberAccepts", ACCEPTS_PER_TURN)
        return CallLink(self) if self.context.connections.free else None

    def carry_out(self, call: Call, answer: Callable[[Answer], None]) -> None:
        *start, last = call.path.split("/")
        start, name = "/".join(start), ""
        if start.startswith(BACKENDS):
            start, name = BACKENDS, unquote(start.removeprefix(BACKENDS))
        if call.path == READY:
            method = "GET"
        elif last in CALLS.get(start, ()) and bool(name) == (start == BACKENDS):
            method = "POST"
        else:
            answer(Answer(404, f"nothing is called {call.path[:80]}"))
            return
        if call.method != method:
            answer(Answer(405, f"{call.path[:80]} takes {method}", allow=method))
        elif method == "GET":
            why_not = self.service.why_not_ready()
            answer(Answer(503, why_not) if why_not else Answer(200, "ready"))
        else:
            done = self._act(last, name)
            logger.info("operator: {}: {} {}", call.path, done.status, done.text)
            if done.status == 200 and self.handover is not None:
                # What one of the two is told both know before the yes.
                self.handover.forward(last, name, lambda: answer(done))
            else:
                answer(done)

    def _act(self, what: str, name: str) -> Answer:
        if what == "in-service" and self.service.stopping and not self.service.replaced:
            return Answer(409, "this process ends")
        try:
            self.service.operations[what](*((name,) if name else ()))
        except UnknownBackendError:
            return Answer(404, f"no list has named a backend {name[:80]}")
        except Exception:
            # Whoever called is owed an answer, and the others theirs.
            logger.exception("{} failed", what)
            return Answer(500, "failed, see the log")
        return Answer(200, f"{name} {what}".strip())
