"""I/O for the membership state machine: UDP socket, timers and log. It makes no protocol decisions."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger

from cedarledge.peers.machine import Membership
from cedarledge.peers.messages import MAX_DATAGRAM_BYTES, MetadataValue, State, parse_private_address
from cedarledge.terms import MS, SECOND

# Datagrams read in one turn of the reactor, and the pause before the next turn. This bounds the share of the
# reactor's time that a flood on this port takes: at most 1,600 datagrams are read per second, and the kernel
# drops what overflows the socket buffer meanwhile.
MAX_READS_AT_ONCE, READ_PAUSE = 16, 10 * MS
# During a hot restart the previous process still holds the port until it exits.
BIND_RETRY_INTERVAL = SECOND
# How often the relay's own metadata is read and handed to the state machine.
METADATA_POLL_INTERVAL = 500 * MS
# Upper bound of log lines about membership changes per window; the rest are only counted.
MAX_LOG_LINES, LOG_WINDOW = 40, 10 * SECOND
EVENTS = {
    State.ALIVE: "peers.back",
    State.SUSPECT: "peers.suspected",
    State.DEAD: "peers.dead",
    State.LEFT: "peers.left",
}


class Timers(Protocol):
    """The part of the relay's timers that the shell uses. Times and delays are ns."""

    def now(self) -> int:
        """Returns the monotonic time."""
        ...

    def after(self, delay: int, call: Callable[..., None], *args: Any) -> object:
        """Schedules a call."""
        ...

    def after_pending_reads(self, delay: int, call: Callable[..., None], *args: Any) -> object:
        """Schedules a call that runs only after input that is ready by then has been read."""
        ...


class Shell:
    """Host of one membership state machine (machine.MembershipHost); owns its socket."""

    def __init__(
        self, reactor: Any, timers: Timers, listen: str, read_metadata: Callable[[], dict[str, MetadataValue]]
    ) -> None:
        """Sends nothing before `join` is called.

        `read_metadata` returns the relay's current metadata. The field `state` must be present, and a change
        of it is gossiped at once; other fields wait for the periodic broadcast.
        """
        self.reactor = reactor
        self.timers = timers
        self.listen = parse_private_address(listen)
        self.read_metadata = read_metadata
        self.machine: Membership
        self._socket: socket.socket | None = None
        self._bind_failure_logged = False
        self._lines_logged = 0
        self._closed = False

    def join(self, machine: Membership) -> None:
        """Binds the socket and starts the state machine; retries for as long as the port is taken."""
        self.machine = machine
        self._bind()

    def _bind(self) -> None:
        if self._closed:
            return
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.setblocking(False)
        try:
            udp_socket.bind(self.listen)
        except OSError as error:
            udp_socket.close()
            if not self._bind_failure_logged:
                logger.warning(
                    "peers: cannot bind {}:{}, tried again each second: {}", *self.listen, error.strerror
                )
            self._bind_failure_logged = True
            self.timers.after(BIND_RETRY_INTERVAL, self._bind)
            return
        self._socket = udp_socket
        logger.info("peers: on as {} at {}:{}", self.machine.name, *self.listen)
        self.machine.start(self.timers.now())
        self._update_metadata()
        self.reactor.addReader(self)

    def leave(self) -> None:
        """Announces the planned exit to the fleet and closes the socket. Called when the process ends."""
        self._closed = True
        if self._socket is None:
            return
        self.machine.leave(self.timers.now())
        self.reactor.removeReader(self)
        self._socket.close()
        self._socket = None

    def _update_metadata(self) -> None:
        if self._closed:
            return
        self.timers.after(METADATA_POLL_INTERVAL, self._update_metadata)
        metadata = self.read_metadata()
        now = self.timers.now()
        self.machine.publish_metadata(now, state=metadata.pop("state"))
        self.machine.set_metadata(now, **metadata)

    # -- reactor callbacks (Twisted's IReadDescriptor) ---------------------------------------------

    def fileno(self) -> int:
        """Returns the socket's file descriptor, -1 without a socket."""
        return -1 if self._socket is None else self._socket.fileno()

    def logPrefix(self) -> str:  # noqa: N802
        """Returns the prefix that Twisted puts before its own log lines about this reader."""
        return "peers"

    def connectionLost(self, _reason: Any) -> None:  # noqa: N802
        """Does nothing: the reactor calls it when it drops the reader, at the latest when it stops."""

    def doRead(self) -> None:  # noqa: N802
        """Reads a bounded batch of datagrams, then pauses reading if more may be waiting."""
        assert self._socket is not None
        for _ in range(MAX_READS_AT_ONCE):
            try:
                # One extra byte distinguishes an oversized datagram from one of exactly the maximum size.
                data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                # Linux reports here that an earlier datagram was refused (ICMP); the protocol's probes
                # detect a dead member more reliably.
                continue
            try:
                self.machine.received(self.timers.now(), data)
            except Exception:
                # A fault costs only this datagram. An exception passed on to the reactor would make it drop
                # the socket.
                logger.exception("peers: failed to process a datagram of {} bytes", len(data))
            if self._socket is None:
                return
        self.reactor.removeReader(self)
        self.timers.after(READ_PAUSE, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._socket is not None:
            self.reactor.addReader(self)

    # -- MembershipHost ----------------------------------------------------------------------------

    def send(self, address: str, data: bytes) -> None:
        """Sends one datagram, or drops it if the system refuses it."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, parse_private_address(address))
        except OSError:
            # Send buffer full or no route: counts as a lost datagram, which the protocol tolerates.
            return

    def set_timer(self, delay: int, token: int) -> None:
        """Calls the machine's `timer_expired` after the delay, once pending datagrams have been read."""
        self.timers.after_pending_reads(delay, self._timer_expired, token)

    def _timer_expired(self, token: int) -> None:
        if not self._closed:
            self.machine.timer_expired(self.timers.now(), token)

    def changed(self, name: str, before: State | None, after: State | None, why: str) -> None:
        """Logs a change of the view."""
        event = "peers.forgotten" if after is None else "peers.joined" if before is None else EVENTS[after]
        self._log_change(event, why, peer=name)

    def name_conflict(self, address: str) -> None:
        """Logs that another live relay uses this relay's name."""
        logger.error(
            "peers: another relay of this name is alive at {}; this one is silent in the fleet for a while",
            address,
        )

    def _log_change(self, event: str, why: str, **fields: str) -> None:
        if self._lines_logged == 0:
            self.timers.after(LOG_WINDOW, self._log_suppressed)
        self._lines_logged += 1
        if self._lines_logged <= MAX_LOG_LINES:
            logger.bind(event=event, why=why, **fields).info("{} {} ({})", event, fields["peer"], why)

    def _log_suppressed(self) -> None:
        more, self._lines_logged = self._lines_logged - MAX_LOG_LINES, 0
        if more > 0:
            logger.info("peers: {} more changes in {} s", more, LOG_WINDOW // SECOND)
