"""The clients' side: the listener, PING, OPEN and its answers, MOVE."""

from __future__ import annotations

import re
from typing import NamedTuple

from twisted.internet.interfaces import IAddress

from cedarledge.net.evicting_listener import EvictingListener
from cedarledge.net.interfaces import RequestHandler
from cedarledge.net.invariants import Invariant
from cedarledge.net.line_connection import ConnectionContext, LineConnection
from cedarledge.net.lines import parse_finite
from cedarledge.terms import MS

# How long a connection may stand without a whole OPEN: who can't be dealt with is owed an end within 3 s.
OPEN_LINE_TIMEOUT = 2500 * MS
# Connections that are not tunnels yet, or no longer, and probes: what tunnels must leave free.
RESERVED_SLOTS = 48
# With less room than the first each newcomer takes the place of an idle one, with less than the last it is
# refused.
EVICTION_FREE_SLOTS, REFUSAL_FREE_SLOTS = 40, 8
WAIT = re.compile(rb"(?:^|(?<=,))d=(\d{1,9})(?=,|$)")
# No id, key or group comes near this. They stay in tables for as long as a tunnel lasts, keys in the module's
# for longer, and a stranger could fill these with lines of the longest length.
MAX_NAME_BYTES = 256
# What one connection can ask of a backend, by far: a guess past that would drown all others' in every mean.
MAX_LOAD_HINT = 1e6


class MalformedError(Exception):
    """A line that is no OPEN as the protocol has it."""


class OpenRequest(NamedTuple):
    """What an OPEN line asks for."""

    line: bytes
    id: str
    profile: str
    key: str
    client_timeout: int  # how long the client waits for UP; 0: not said
    group: str | None
    tenant: str | None
    load_hint: float | None
    returning: bool
    previous_backend: str | None  # the backend that held it before

    def line_for_backend(self, timeout: int) -> bytes:
        """The line for a backend: unchanged, but for how long the relay will wait."""
        if self.previous_backend is not None:
            return self.line
        start, found, names = self.line.rpartition(b" ")
        return start + found + WAIT.sub(b"d=%d" % max(1, timeout // MS), names, count=1)


def parse_open_request(line: bytes) -> OpenRequest:
    try:
        words = line.decode("ascii").split(" ")
        if len(words) != 4 or words[0] != "OPEN" or not words[1] or not words[2]:
            raise MalformedError("not OPEN with an id, a key and a list of values")
        pairs = [pair.split("=", 1) for pair in words[3].split(",")]
        told = dict(pairs)
        if len(told) < len(pairs):
            raise MalformedError("a name twice")
        if max(map(len, (*words[1:3], told.get("g", "")))) > MAX_NAME_BYTES:
            raise MalformedError(f"a name of over {MAX_NAME_BYTES} bytes")
        hint = parse_finite(told["h"]) if "h" in told else None
        if hint is not None:
            if hint < 0:
                raise MalformedError("no load in h")
            hint = min(hint, MAX_LOAD_HINT)
        at = told.get("at")
        wait = WAIT.search(line.rpartition(b" ")[2])
        if at is None and (wait is None or not int(wait[1])):
            raise MalformedError("no time to wait in d")
        return OpenRequest(
            line,
            words[1],
            told["c"],
            words[2],
            int(wait[1]) * MS if wait else 0,
            told.get("g"),
            told.get("t"),
            hint,
            "1" in (told.get("r"), told.get("again")),
            at,
        )
    except UnicodeDecodeError as why:
        raise MalformedError("bytes past ASCII") from why
    except KeyError as why:
        raise MalformedError(f"no value {why}") from why
    except ValueError as why:
        raise MalformedError(f"not a list of values: {why}") from why


class ClientLink(LineConnection):
    """One client's connection: first lines that are no tunnel yet, then the tunnel's client end."""

    peer = "client"

    def __init__(self, listener: Listener) -> None:
        super().__init__(listener.context)
        self.handler = listener.handler
        self.listener = listener
        self.tunnel_id = -1
        self.is_open = False
        self.answer_pending = False  # a whole request was read, and no word of an answer said

    def on_connected(self) -> None:
        self.listener.mark_waiting(self)
        # From connecting on: half lines and PINGs put nothing off. Where this process was paused the line may
        # lie here unread, and its client is owed an answer.
        self.set_deadline(OPEN_LINE_TIMEOUT, self.finish, pending_reads_first=True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.tunnel_id >= 0 and not self.is_open and not self.ending:
            self.protocol_error("more before the answer")
        else:
            super().dataReceived(data)
            if self.tunnel_id < 0 and self.lines.has_partial_line and not self.ending:
                self.listener.mark_waiting(self)

    def lines_received(self, lines: list[bytes]) -> None:
        if self.is_open:
            self.handler.lines_from_client(self.tunnel_id, lines)
        elif len(lines) > 1 or self.lines.has_partial_line:
            # Looked at before the line is dealt with: a backend may not see one of which the client itself
            # makes nonsense.
            self.protocol_error("more before the answer")
        elif lines[0] == b"PING":
            # To the system at once: from here on it may be reset to make room.
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
        if self.is_open:
            super().drop_peer()
            return
        if self.tunnel_id >= 0:
            self.handler.client_closed(self.tunnel_id, abrupt=False)
        self.send_error()

    def peer_closed(self, abrupt: bool) -> None:
        self.answer_pending = False  # there is nobody to have it
        if self.tunnel_id >= 0:
            self.handler.client_closed(self.tunnel_id, abrupt)

    def writeConnectionLost(self) -> None:  # noqa: N802
        self.listener.mark_answered(self)

    def _release(self) -> None:
        super()._release()
        self.listener.forget(self)
        if self.answer_pending:
            self.context.invariants.record_violation(Invariant.CLOSED_UNANSWERED, f"tunnel {self.tunnel_id}")

    # -- the answers, each the last but opened ---------------------------------------------------

    def accept(self, line: bytes) -> None:
        self.is_open = True
        self.answer_pending = False
        # To the system at once: its backend may reset the connection in the same turn of the reactor, and
        # what still waited here would go with it.
        self.send_lines([line])

    def reject(self, retry_after: int) -> None:
        self.answer_pending = False
        self.send_line(b"BUSY %d" % (retry_after // MS) if retry_after >= MS else b"BUSY")
        self.finish()

    def send_error(self) -> None:
        self.answer_pending = False
        self.send_line(b"ERR")
        self.finish()

    def send_move(self) -> None:
        self.send_line(b"MOVE")
        self.finish()


class Listener(EvictingListener):
    """Takes clients in. Strangers who connect by hundreds and say nothing must not keep the others out; only
    where nobody can make room do newcomers wait in the system's queue.
    """

    spare_slots = EVICTION_FREE_SLOTS

    def __init__(self, context: ConnectionContext, handler: RequestHandler) -> None:
        super().__init__(context)
        self.handler = handler
        self.paused = self.held_back = False  # for want of slots; another process takes clients in
        self.out_of_service = False  # out of service: the front that asks is to deal no clients to this relay

    def buildProtocol(self, addr: IAddress) -> ClientLink | None:  # noqa: N802
        self.evict_idle()
        if self.context.connections.free <= REFUSAL_FREE_SLOTS:
            # Refused here by closing; a socket more might be the one that ends the process.
            self.context.rate_limited_log.warn("client", "no slot is left")
            self.paused = True
            self.port.stopReading()
            return None
        return ClientLink(self)

    def forget(self, link: LineConnection) -> None:
        super().forget(link)
        self.slots_freed()

    def slots_freed(self) -> None:
        """Slots have come free, here or at the process before."""
        if self.paused and self.context.connections.free > REFUSAL_FREE_SLOTS and self.port.connected:
            self.paused = False
            self._read()

    def pause_accepting(self) -> None:
        """Another process of this relay is about to take clients in. Who has not been accepted waits in the
        system's queue, which both share."""
        self.held_back = True
        self.port.stopReading()

    def resume_accepting(self) -> None:
        self.held_back = False
        self._read()

    def _read(self) -> None:
        if not (self.paused or self.held_back):
            self.port.startReading()
