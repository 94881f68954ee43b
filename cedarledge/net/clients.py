"""Client connections: the listener, PING, OPEN and its answers, and MOVE."""

from __future__ import annotations

import re
from collections.abc import Callable
from itertools import repeat
from typing import NamedTuple

from twisted.internet.interfaces import IAddress

from cedarledge.net.descriptor_budget import DescriptorBudget
from cedarledge.net.interfaces import RequestHandler
from cedarledge.net.invariants import Invariant
from cedarledge.net.line_connection import ConnectionContext, LineConnection
from cedarledge.net.lines import parse_finite
from cedarledge.net.listeners import EvictingListener
from cedarledge.terms import MS

# How long a connection may last without a complete OPEN line. The platform requires that a client that does
# not follow the protocol is disconnected within 3 s.
OPEN_LINE_TIMEOUT = 2500 * MS
# Matches the client timeout, in ms, in the list of values of an OPEN line.
CLIENT_TIMEOUT = re.compile(rb"(?:^|(?<=,))d=(\d{1,9})(?=,|$)")
MAX_TIMEOUT_DIGITS = 9
# Far more than any real id, key or group has. They are kept for as long as the tunnel exists, keys by the
# balancer for longer; without this limit a hostile client could fill memory with lines of the maximum length.
MAX_NAME_BYTES = 256
# Far more load than one connection can cause: a larger hint would dominate every mean that it enters.
MAX_LOAD_HINT = 1e6


class MalformedError(Exception):
    """The line is not a valid OPEN line."""


class OpenRequest(NamedTuple):
    """A parsed OPEN line."""

    line: bytes
    id: str
    profile: str
    key: str
    client_timeout: int  # how long the client waits for UP, in ns; 0: not given
    group: str | None
    tenant: str | None
    load_hint: float | None
    returning: bool  # the client repeats a request, or comes back after a break or a move
    previous_backend: str | None  # name of the backend that held the connection before this relay started

    def line_for_backend(self, timeout: int) -> bytes:
        """Returns the line for a backend: the client's, with its timeout replaced by `timeout` (ns).

        A connection that was open before is passed on unchanged.
        """
        if self.previous_backend is not None:
            return self.line
        start, separator, values = self.line.rpartition(b" ")
        return start + separator + CLIENT_TIMEOUT.sub(b"d=%d" % max(1, timeout // MS), values, count=1)


def parse_values(text: str) -> dict[str, str]:
    """Parses a list of values, `name=value,name=value`. Raises MalformedError.

    A line holds a thousand of them, so no call is made for each: refused lines would hold up other clients.
    """
    parts = list(map(str.partition, text.split(","), repeat("=")))
    values = {name: value for name, _, value in parts}
    if len(values) < len(parts):
        raise MalformedError("a key of the list of values is repeated")
    if not all([separator for _, separator, _ in parts]):
        raise MalformedError("invalid list of values")
    return values


def parse_timeout(digits: str) -> int:
    """Returns a client's timeout in ns, given in whole ms; 0 if it is not a number of at most nine digits."""
    return int(digits) * MS if digits.isdecimal() and len(digits) <= MAX_TIMEOUT_DIGITS else 0


def parse_open_request(line: bytes) -> OpenRequest:
    """Parses an OPEN line. Raises MalformedError."""
    try:
        words = line.decode("ascii").split(" ")
        if len(words) != 4 or words[0] != "OPEN" or not words[1] or not words[2]:
            raise MalformedError("expected OPEN, an id, a key and a list of values")
        values = parse_values(words[3])
        if max(map(len, (*words[1:3], values.get("g", "")))) > MAX_NAME_BYTES:
            raise MalformedError(f"id, key or group is longer than {MAX_NAME_BYTES} bytes")
        hint = parse_finite(values["h"]) if "h" in values else None
        if hint is not None:
            if hint < 0:
                raise MalformedError("h is negative")
            hint = min(hint, MAX_LOAD_HINT)
        previous_backend = values.get("at")
        timeout = parse_timeout(values.get("d", ""))
        if previous_backend is None and not timeout:
            raise MalformedError("d is not a positive number of ms")
        return OpenRequest(
            line,
            words[1],
            values["c"],
            words[2],
            timeout,
            values.get("g"),
            values.get("t"),
            hint,
            "1" in (values.get("r"), values.get("again")),
            previous_backend,
        )
    except UnicodeDecodeError as why:
        raise MalformedError("bytes that are not ASCII") from why
    except KeyError as why:
        raise MalformedError(f"value {why} is missing") from why
    except ValueError as why:
        raise MalformedError(f"invalid list of values: {why}") from why


class ClientLineConnection(LineConnection):
    """Connection of one client: PINGs and the OPEN line at first, then the client's end of a tunnel."""

    peer = "client"

    def __init__(self, listener: Listener) -> None:
        """Takes a slot. Raises NoFreeSlotError."""
        super().__init__(listener.context)
        self.handler = listener.handler
        self.listener = listener
        self.tunnel_id = -1
        self.is_open = False
        self.answer_pending = False  # a complete request was read and not answered yet

    def on_connected(self) -> None:
        """Starts the time limit for the OPEN line."""
        self.listener.mark_waiting(self)
        # Partial lines and PINGs do not extend the limit. Received data is read before the timer runs: after
        # a pause of this process the OPEN line may be there unread, and its client must be answered.
        self.set_deadline(OPEN_LINE_TIMEOUT, self.finish, pending_reads_first=True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Rejects data that a client sends before its request is answered; passes on the rest."""
        if self.tunnel_id >= 0 and not self.is_open and not self.ending:
            self.protocol_error("more before the answer")
        else:
            super().dataReceived(data)
            if self.tunnel_id < 0 and self.lines.has_partial_line and not self.ending:
                self.listener.mark_waiting(self)

    def lines_received(self, lines: list[bytes]) -> None:
        """Handles complete lines: tunnel data, PING or OPEN."""
        if self.is_open:
            self.handler.lines_from_client(self.tunnel_id, lines)
        elif len(lines) > 1 or self.lines.has_partial_line:
            # Checked before the line is handled, as a backend must not receive a request that is followed by
            # data that the protocol forbids.
            self.protocol_error("more before the answer")
        elif lines[0] == b"PING":
            # Written to the socket at once, as the connection may be evicted (reset) from here on.
            self.send_lines([b"ERR" if self.listener.out_of_service else b"PONG"])
            self.listener.mark_answered(self)
        else:
            self._first_line(lines[0])

    def _first_line(self, line: bytes) -> None:
        try:
            open_request = parse_open_request(line)
        except MalformedError as why:
            self.protocol_error(f"{why}: {line[:80]!r}")
            return
        self.clear_deadline()
        self.listener.protect(self)
        self.answer_pending = True
        self.tunnel_id = self.handler.request_arrived(self, open_request)

    def drop_peer(self) -> None:
        """Ends the connection after bad input, with an error if it is not open."""
        if self.is_open:
            super().drop_peer()
            return
        if self.tunnel_id >= 0:
            self.handler.client_closed(self.tunnel_id, abrupt=False)
        self.send_error()

    def peer_closed(self, abrupt: bool) -> None:
        """Handles the end of the connection by the client."""
        self.answer_pending = False  # the client is gone, so no answer is due
        if self.tunnel_id >= 0:
            self.handler.client_closed(self.tunnel_id, abrupt)

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Marks the connection as evictable: all is sent and the sending side is closed."""
        self.listener.mark_answered(self)

    def _release(self) -> None:
        super()._release()
        self.listener.forget(self)
        if self.answer_pending:
            self.context.invariants.record_violation(Invariant.CLOSED_UNANSWERED, f"tunnel {self.tunnel_id}")

    # -- the answers; each but accept also ends the connection -----------------------------------

    def accept(self, line: bytes) -> None:
        """Sends the backend's UP line; from here on lines are forwarded."""
        self.is_open = True
        self.answer_pending = False
        # Written to the socket at once: if the backend resets its connection in the same reactor iteration,
        # this one is reset too, and data still buffered here would be lost.
        self.send_lines([line])

    def reject(self, retry_after: int) -> None:
        """Sends BUSY, with the wait in whole ms if `retry_after` (ns) has any."""
        self.answer_pending = False
        self.send_line(b"BUSY %d" % (retry_after // MS) if retry_after >= MS else b"BUSY")
        self.finish()

    def send_error(self) -> None:
        """Sends ERR."""
        self.answer_pending = False
        self.send_line(b"ERR")
        self.finish()

    def send_move(self) -> None:
        """Sends MOVE, which asks the client to open its connection anew."""
        self.send_line(b"MOVE")
        self.finish()


class Listener(EvictingListener):
    """Accepts clients.

    Hundreds of connections that send nothing must not keep other clients out, so idle connections are
    evicted. New connections wait in the system's queue only if none can be evicted.
    """

    def __init__(self, context: ConnectionContext, budget: DescriptorBudget, handler: RequestHandler) -> None:
        """Passes the requests of its clients to `handler`."""
        super().__init__(context, budget.eviction_free)
        self.refusal_free = budget.refusal_free
        self.handler = handler
        # Whoever releases a slot, this listener may accept again.
        context.connections.on_release = self.slots_freed
        # Asked to give back so many slots if no client is idle.
        self.reclaim_slots: Callable[[int], None] = lambda count: None
        # Not accepting: no slot is free; another process of this relay accepts the clients.
        self.paused = self.held_back = False
        self.out_of_service = False  # PING is answered with ERR, so that no more clients are directed here

    def buildProtocol(self, addr: IAddress) -> ClientLineConnection | None:  # noqa: N802
        """Returns the protocol of an accepted connection; None closes it."""
        self.evict_idle()
        missing = self.spare_slots + 1 - self.context.connections.free - len(self.evicted)
        if missing > 0:
            self.reclaim_slots(missing)
        if self.context.connections.free <= self.refusal_free:
            # Closed at once: one more open descriptor could exceed the limit at which the process is ended.
            self.context.rate_limited_log.warn("client", "no slot is left")
            self.paused = True
            self.port.stopReading()
            return None
        return ClientLineConnection(self)

    def slots_freed(self) -> None:
        """Resumes accepting after slots were released, here or by the predecessor process."""
        if self.paused and self.context.connections.free > self.refusal_free and self.port.connected:
            self.paused = False
            self._read()

    def pause_accepting(self) -> None:
        """Stops accepting, as another process of this relay is about to accept clients.

        Connections that are not accepted yet wait in the system's queue, which both processes share.
        """
        self.held_back = True
        self.port.stopReading()

    def resume_accepting(self) -> None:
        """Accepts clients again, unless no slot is free."""
        self.held_back = False
        self._read()

    def _read(self) -> None:
        if not (self.paused or self.held_back):
            self.port.startReading()
