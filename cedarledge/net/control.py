"""The operators' HTTP/1.1 interface: one call per connection, answered with one line of text."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import unquote

from loguru import logger
from twisted.internet.interfaces import IAddress

from cedarledge.net.buffers import BufferPool
from cedarledge.net.descriptor_budget import DescriptorBudget
from cedarledge.net.line_connection import ConnectionContext, LineConnection
from cedarledge.net.listeners import ACCEPTS_PER_TURN, EvictingListener
from cedarledge.net.service import ServiceState, UnknownBackendError
from cedarledge.net.slots import SlotTable
from cedarledge.terms import MS

if TYPE_CHECKING:
    from cedarledge.net.handover import Handover

# Far above the size of any call; longer ones are refused.
MAX_HEAD_BYTES, MAX_BODY_BYTES = 8 << 10, 64 << 10
# Time for a complete call, from the connect on.
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
    """A request of an operator; `path` is without the query."""

    method: str
    path: str


class Answer(NamedTuple):
    """A response: HTTP status, one line of text, and the methods for the Allow header."""

    status: int
    text: str
    allow: str = ""

    def encode(self) -> bytes:
        """Returns the complete HTTP response."""
        body = self.text.encode("ascii", "backslashreplace") + b"\n"
        allow = f"Allow: {self.allow}\r\n" if self.allow else ""
        head = (
            f"HTTP/1.1 {self.status} {REASONS[self.status]}\r\nContent-Type: text/plain\r\n{allow}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return head.encode("ascii") + body


class CallError(Exception):
    """Raised for a malformed call; `answer` is the response to it."""

    def __init__(self, status: int, text: str) -> None:
        """Takes the HTTP status and the text of the response."""
        super().__init__(text)
        self.answer = Answer(status, text)


class CallReader:
    """Parses one call from a stream, and ignores all bytes behind it."""

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self._data = b""
        self._call: Call | None = None
        self._body_left = 0  # bytes of the body still to come

    def feed(self, data: bytes) -> Call | None:
        """Takes the next bytes; returns the call once it is complete, or None. Raises CallError."""
        if self._call is None:
            self._data += data
            end = self._data.find(b"\r\n\r\n")
            if (end if end >= 0 else len(self._data)) > MAX_HEAD_BYTES:
                raise CallError(431, "a head past all measure")
            if end < 0:
                return None
            head, data = self._data[:end], self._data[end + 4 :]
            self._call, self._body_left = self._parse_head(head)
        # The content of the body is ignored, but all of it has to arrive.
        self._body_left -= len(data)
        return self._call if self._body_left <= 0 else None

    def _parse_head(self, head: bytes) -> tuple[Call, int]:
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


class CallConnection(LineConnection):
    """One operator's connection.

    The answer goes out in the event that brings the last byte of the call, or once the other process of this
    relay has acknowledged the call.
    """

    peer = "operator"

    def __init__(self, control: Control) -> None:
        """Passes complete calls to `control`."""
        super().__init__(control.context)
        self.control = control
        self.reader = CallReader()

    def on_connected(self) -> None:
        """Starts the time limit for the call."""
        self.control.mark_waiting(self)
        self.set_deadline(CALL_TIMEOUT, self._timed_out, pending_reads_first=True)

    def _timed_out(self) -> None:
        self.answer(Answer(408, "no whole call in time"))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses the call, and runs it once it is complete."""
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
            self.control.handle_call(call, self.answer)

    def answer(self, answer: Answer) -> None:
        """Sends the response and closes the connection."""
        if not self.ending:
            self.control.protect(self)
            self.transport.write(answer.encode())
            self.finish()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Allows the eviction of this connection once the answer is written."""
        # Not earlier: an evicted connection is reset, and an answer not written yet would be lost.
        self.control.mark_answered(self)

    def peer_closed(self, abrupt: bool) -> None:
        """Does nothing: no call needs its operator once it has started."""

    def _release(self) -> None:
        super()._release()
        self.control.forget(self)


class Control(EvictingListener):
    """The listener for operators' calls.

    Connections without a call are closed when new ones need their slots.
    """

    def __init__(
        self,
        context: ConnectionContext,
        budget: DescriptorBudget,
        service: ServiceState,
        handover: Handover | None,
    ) -> None:
        """Uses slots of its own, so that clients can't take those of operators."""
        super().__init__(
            context._replace(connections=SlotTable(budget.callers), pool=BufferPool(0, 0)),
            budget.spare_callers,
        )
        self.service = service
        self.handover = handover  # None if this relay can't have another process

    def buildProtocol(self, addr: IAddress) -> CallConnection | None:  # noqa: N802
        """Accepts a connection, or refuses it if no slot is left."""
        self.evict_idle()
        # Twisted raises the limit of accepts after this call. After a pause of this process it would then
        # accept more connections in its next turn than there are slots, and the first of them would be
        # evicted for the last before their calls were read.
        self.context.timers.after(0, setattr, self.port, "numberAccepts", ACCEPTS_PER_TURN)
        return CallConnection(self) if self.context.connections.free else None

    def handle_call(self, call: Call, answer: Callable[[Answer], None]) -> None:
        """Runs a call; passes the response to `answer` once the other process, if any, has the call too."""
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
            result = self._run_operation(last, name)
            logger.info("operator: {}: {} {}", call.path, result.status, result.text)
            if result.status == 200 and self.handover is not None:
                # Both processes of the relay must have the change before the operator gets the answer.
                self.handover.forward(last, name, lambda: answer(result))
            else:
                answer(result)

    def _run_operation(self, operation: str, name: str) -> Answer:
        if operation == "in-service" and self.service.stopping and not self.service.replaced:
            return Answer(409, "this process ends")
        try:
            self.service.operations[operation](*((name,) if name else ()))
        except UnknownBackendError:
            return Answer(404, f"no list has named a backend {name[:80]}")
        except Exception:
            # This operator must get an answer, and the relay must go on.
            logger.exception("{} failed", operation)
            return Answer(500, "failed, see the log")
        return Answer(200, f"{name} {operation}".strip())
