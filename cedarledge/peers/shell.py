"""A relay's peers on UDP: the socket, the timers and the log round the machine, and nothing that it
decides."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger

from cedarledge.peers.machine import Peers
from cedarledge.peers.messages import LARGEST, State, Value, near
from cedarledge.terms import MS, SECOND

# Datagrams read in one go, and how long the rest waits then: a flood at this port costs a bounded part of the
# reactor's time, and what the system can't keep meanwhile is lost, as datagrams are. 1,600 a second are read.
AT_ONCE, PAUSE = 16, 10 * MS
# The port may be held by the process before this one, which ends soon.
BIND_AGAIN = SECOND
# How often the machine is told of what this relay says of itself.
TELL_EVERY = 500 * MS
# So many lines about the view in each span; more are counted.
MOST_LINES, SPAN = 40, 10 * SECOND
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
        self, reactor: Any, timers: Timers, listen: str, tells: Callable[[], dict[str, Value]]
    ) -> None:
        """`tells` gives what the relay says of itself; `urgent` among it is told at once. `join` starts
        it."""
        self.reactor = reactor
        self.timers = timers
        self.listen = near(listen)
        self.tells = tells
        self.machine: Peers
        self._socket: socket.socket | None = None
        self._complained = False
        self._lines = 0
        self._over = False

    def join(self, machine: Peers) -> None:
        self.machine = machine
        self._bind()

    def _bind(self) -> None:
        if self._over:
            return
        link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        link.setblocking(False)
        try:
            link.bind(self.listen)
        except OSError as why:
            link.close()
            if not self._complained:
                logger.warning(
                    "peers: {}:{} can't be had, tried again each second: {}", *self.listen, why.strerror
                )
            self._complained = True
            self.timers.after(BIND_AGAIN, self._bind)
            return
        self._socket = link
        logger.info("peers: on as {} at {}:{}", self.machine.name, *self.listen)
        self.machine.start(self.timers.now())
        self._tell()
        self.reactor.addReader(self)

    def leave(self) -> None:
        """Says goodbye and gives the socket back; for the end of the process."""
        self._over = True
        if self._socket is None:
            return
        self.machine.leave(self.timers.now())
        self.reactor.removeReader(self)
        self._socket.close()
        self._socket = None

    def _tell(self) -> None:
        if self._over:
            return
        self.timers.after(TELL_EVERY, self._tell)
        told = self.tells()
        now = self.timers.now()
        self.machine.tell_at_once(now, state=told.pop("state"))
        self.machine.tell(now, **told)

    # -- what the reactor calls --------------------------------------------------------------------

    def fileno(self) -> int:
        return -1 if self._socket is None else self._socket.fileno()

    def logPrefix(self) -> str:  # noqa: N802
        return "peers"

    def connectionLost(self, _reason: Any) -> None:  # noqa: N802
        """The reactor has given the reader up, at its own end at the latest."""

    def doRead(self) -> None:  # noqa: N802
        assert self._socket is not None
        for _ in range(AT_ONCE):
            try:
                # One byte more tells what is too long from what just fits.
                data = self._socket.recv(LARGEST + 1)
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
        self.timers.after(PAUSE, self._read_on)

    def _read_on(self) -> None:
        if self._socket is not None:
            self.reactor.addReader(self)

    # -- what the machine calls --------------------------------------------------------------------

    def send(self, address: str, data: bytes) -> None:
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, near(address))
        except OSError:
            # A full buffer or no way there: a lost datagram, which the machine reckons with.
            return

    def wake(self, delay: int, token: int) -> None:
        self.timers.after_reading(delay, self._woke, token)

    def _woke(self, token: int) -> None:
        if not self._over:
            self.machine.woke(self.timers.now(), token)

    def changed(self, name: str, before: State | None, after: State | None, why: str) -> None:
        event = "peers.forgotten" if after is None else "peers.joined" if before is None else EVENTS[after]
        self._say(event, why, peer=name)

    def doubled(self, address: str) -> None:
        logger.error(
            "peers: another relay of this name is alive at {}; this one keeps out of its fleet for a while",
            address,
        )

    def _say(self, event: str, why: str, **fields: str) -> None:
        if self._lines == 0:
            self.timers.after(SPAN, self._sum_up)
        self._lines += 1
        if self._lines <= MOST_LINES:
            logger.bind(event=event, why=why, **fields).info("{} {} ({})", event, fields["peer"], why)

    def _sum_up(self) -> None:
        more, self._lines = self._lines - MOST_LINES, 0
        if more > 0:
            logger.info("peers: {} more changes in {} s", more, SPAN // SECOND)
