"""A relay's peers on UDP: the socket, the timers and the log round the machine, and nothing that it
decides."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger

from cedarledge.peers.machine import Membership
from cedarledge.peers.messages import MAX_DATAGRAM_BYTES, MetadataValue, State, parse_private_address
from cedarledge.terms import MS, SECOND

# Datagrams read in one go, and how long the rest waits then: a flood at this port costs a bounded part of the
# reactor's time, and what the system can't keep meanwhile is lost, as datagrams are. 1,600 a second are read.
MAX_READS_AT_ONCE, READ_PAUSE = 16, 10 * MS
# The port may be held by the process before this one, which ends soon.
BIND_RETRY_INTERVAL = SECOND
# How often the machine is told of what this relay says of itself.
METADATA_POLL_INTERVAL = 500 * MS
# So many lines about the view in each span; more are counted.
MAX_LOG_LINES, LOG_WINDOW = 40, 10 * SECOND
EVENTS = {
    State.ALIVE: "peers.back",
    State.SUSPECT: "peers.suspected",
    State.DEAD: "peers.dead",
    State.LEFT: "peers.left",
}


class Timers(Protocol):
    """The relay's timers, as far as they are needed; delays are ns."""

    def now(self) -> int: ...
    def after(self, delay: int, call: Callable[..., None], *args: Any) -> object: ...
    def after_reading(self, delay: int, call: Callable[..., None], *args: Any) -> object: ...


class Shell:
    """Hosts one machine (machine.PeersHost). It owns the socket, which `leave` gives back."""

    def __init__(
        self, reactor: Any, timers: Timers, listen: str, read_metadata: Callable[[], dict[str, MetadataValue]]
    ) -> None:
        """`tells` gives what the relay says of itself; `urgent` among it is told at once. `join` starts
        it."""
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
        self.machine = machine
        self._bind()

    def _bind(self) -> None:
        if self._closed:
            return
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.setblocking(False)
        try:
            udp_socket.bind(self.listen)
        except OSError as why:
            udp_socket.close()
            if not self._bind_failure_logged:
                logger.warning(
                    "peers: {}:{} can't be had, tried again each second: {}", *self.listen, why.strerror
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
        """Says goodbye and gives the socket back; for the end of the process."""
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

    # -- what the reactor calls --------------------------------------------------------------------

    def fileno(self) -> int:
        return -1 if self._socket is None else self._socket.fileno()

    def logPrefix(self) -> str:  # noqa: N802
        return "peers"

    def connectionLost(self, _reason: Any) -> None:  # noqa: N802
        """The reactor has given the reader up, at its own end at the latest."""

    def doRead(self) -> None:  # noqa: N802
        assert self._socket is not None
        for _ in range(MAX_READS_AT_ONCE):
            try:
                # One byte more tells what is too long from what just fits.
                data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                # Linux tells here that a datagram sent before found nobody: the machine's probes tell better.
                continue
            try:
                self.machine.received(self.timers.now(), data)
            except Exception:
                # A fault costs one datagram. Left to the reactor it would cost the socket.
                logger.exception("peers: a datagram of {} bytes could not be taken in", len(data))
            if self._socket is None:
                return
        self.reactor.removeReader(self)
        self.timers.after(READ_PAUSE, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._socket is not None:
            self.reactor.addReader(self)

    # -- what the machine calls --------------------------------------------------------------------

    def send(self, address: str, data: bytes) -> None:
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, parse_private_address(address))
        except OSError:
            # A full buffer or no way there: a lost datagram, which the machine reckons with.
            return

    def set_timer(self, delay: int, token: int) -> None:
        self.timers.after_reading(delay, self._timer_expired, token)

    def _timer_expired(self, token: int) -> None:
        if not self._closed:
            self.machine.timer_expired(self.timers.now(), token)

    def changed(self, name: str, before: State | None, after: State | None, why: str) -> None:
        event = "peers.forgotten" if after is None else "peers.joined" if before is None else EVENTS[after]
        self._log_change(event, why, peer=name)

    def name_conflict(self, address: str) -> None:
        logger.error(
            "peers: another relay of this name is alive at {}; this one keeps out of its fleet for a while",
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
