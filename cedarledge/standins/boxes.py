"""Emulated backends ("boxes"): many in one process, each with an address for every relay.

Lines are split and parsed by code of its own, so that a fault in the relay's parsers is not repeated here.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol, ServerFactory
from twisted.python.failure import Failure
from zope.interface import implementer

from cedarledge.standins.box_model import BoxModel
from cedarledge.standins.event_log import BoxAttempt, BoxLoad, ColdOverload, UnexpectedLine
from cedarledge.standins.plan import (
    INVALID_ID_PREFIX,
    RELOCATED_PORT_OFFSET,
    BoxPlan,
    ScheduledEvent,
    box_address,
)
from cedarledge.standins.process_context import Emulator, ProcessContext
from cedarledge.terms import MS, SECOND

# A line that takes longer than this from client to box or back was delayed by the relay between them.
MAX_LINE_DELAY = SECOND
MAX_LINE = 4096
# How long a box that closes a connection waits until the relay closes its side.
LINGER = 2 * SECOND
# Time until the answer ERR of a failing box.
FAST_ERROR = 2 * MS
# Mode `late_up`: UP is sent this long after the client's timeout, and the connection is reset this long after
# UP.
LATE_UP, LATE_STAY = 60 * MS, 200 * MS


@implementer(IHalfCloseableProtocol)
class BoxConnection(Protocol):
    """A connection of one relay to one box; carries probes, or one client's connection."""

    transport: Any

    def __init__(self, box: Box, relay: int) -> None:
        """`relay` is the one whose address was connected to."""
        self.box = box
        self.relay = relay
        self.rest = b""
        self.started_at = -1  # arrival of the first byte of the request
        self.attempt: BoxAttempt | None = None
        self.load = 0.0
        self.is_open = self.ending = False
        self.next_line = 0
        self.next_out = 0
        self.echo_due = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection; nothing is read while the relay is partitioned from the box."""
        self.transport.setTcpNoDelay(True)
        self.box.connections[self] = None
        if (self.relay, self.box.plan.name) in self.box.fleet.partitioned:
            self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles complete lines; a line that is too long resets the connection."""
        if self.started_at < 0:
            self.started_at = self.box.now()
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        if len(self.rest) > MAX_LINE:
            self.box.log_unexpected(self, self.rest)
            self.transport.abortConnection()
            return
        for line in lines:
            if not self.ending:
                self._line(line)

    def _line(self, line: bytes) -> None:
        if line in (b"STATS", b"PING") and self.attempt is None:
            self.started_at = -1
            self.box.probe(self, line)
        elif self.attempt is None:
            self._open_request(line)
        elif not self.is_open:
            self.box.log_unexpected(self, line)
        else:
            self._message(line)

    def _open_request(self, line: bytes) -> None:
        words = line.decode("latin-1").split(" ")
        values = dict(pair.partition("=")[::2] for pair in words[-1].split(","))
        profile = self.box.fleet.profiles.get(values.get("c", ""))
        timeout = values.get("d", "")
        if (
            len(words) != 4
            or words[0] != "OPEN"
            or profile is None
            or words[1].startswith(INVALID_ID_PREFIX)
            or not timeout.isdecimal()
        ):
            self.box.log_unexpected(self, line)
            self.send(b"SYNTAX")
            self.end()
            return
        now = self.box.now()
        self.attempt = BoxAttempt(self.box.index, self.relay, words[1], self.started_at, now)
        self.box.set_up(self, profile.load, int(timeout) * MS)

    def _message(self, line: bytes) -> None:
        attempt, now = self.attempt, self.box.now()
        words = line.split(b" ")
        if len(words) != 3 or words[0] != b"m" or not words[1].isdigit() or not words[2].isdigit():
            self.box.log_unexpected(self, line)
            return
        attempt.sequence_gaps += int(words[1]) != self.next_line
        self.next_line = int(words[1]) + 1
        attempt.delayed_lines += now - int(words[2]) > MAX_LINE_DELAY
        if not self.box.model.hung:
            # Answers keep the order of the messages, however long each takes.
            self.echo_due = max(self.echo_due, now + self.box.model.message_time(now))
            self.box.after(self.echo_due - now, self._echo, words[1])

    def _echo(self, number: bytes) -> None:
        if self.is_open and not self.ending and not self.box.model.hung:
            self.send(b"e %b %d %d" % (number, self.next_out, self.box.now()))
            self.next_out += 1

    # -- called by the box -------------------------------------------------------------------------

    def send(self, line: bytes) -> None:
        """Sends a line."""
        self.transport.write(line + b"\r\n")

    def answer(self, word: str, line: bytes) -> None:
        """Sends the answer to the request and logs its first word, unless the attempt is over."""
        if self.attempt is None or self.ending or self.attempt.ended_at >= 0:
            return
        self.attempt.answer, self.attempt.answered_at = word, self.box.now()
        self.send(line)

    def end(self) -> None:
        """Closes the connection after what was written has been sent."""
        if not self.ending:
            self.ending = True
            if self.attempt is not None:
                self.attempt.ended_by_box = True
            self.transport.loseWriteConnection()
            self.box.after(LINGER, self._linger_over)

    def _linger_over(self) -> None:
        if self.transport.connected:
            self.transport.abortConnection()

    def reset(self) -> None:
        """Resets the connection."""
        if self.attempt is not None:
            self.attempt.ended_by_box = True
        self.ending = True
        self.transport.abortConnection()

    def attempt_over(self) -> None:
        """Logs the attempt, once: the relay has closed the connection, or the run has ended."""
        if self.is_open:
            self.is_open = False
            self.box.model.connection_closed(self.load)
        if self.attempt is not None and self.attempt.ended_at < 0:
            self.attempt.ended_at = self.box.now()
            self.box.fleet.event_log.write(self.attempt)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Ends the attempt, as the relay has closed its side."""
        self.attempt_over()
        self.ending = True
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Does nothing: this side is closed, the relay's side follows."""

    def connectionLost(self, _reason: Failure) -> None:  # noqa: N802
        """Ends the attempt and unregisters the connection."""
        self.attempt_over()
        self.box.connections.pop(self, None)


class BoxFactory(ServerFactory):
    """Accepts the connections of one relay to one box."""

    noisy = False

    def __init__(self, box: Box, relay: int) -> None:
        """`relay` is the one whose address is listened on."""
        self.box = box
        self.relay = relay

    def buildProtocol(self, _addr: Any) -> BoxConnection:  # noqa: N802
        """Returns the protocol of a new connection."""
        return BoxConnection(self.box, self.relay)


class Box:
    """One emulated backend: its model, its listening sockets and its connections."""

    def __init__(self, fleet: BoxFleet, index: int, plan: BoxPlan) -> None:
        """Creates a box that is down; `start` brings it up."""
        self.fleet = fleet
        self.index = index
        self.plan = plan
        self.model = BoxModel(plan, fleet.plan.box_settings, 0, cold=False)
        self.connections: dict[BoxConnection, None] = {}
        self.ports: list[Any] = []
        self.up = False
        self.port_offset = 0
        self.receipts = 0

    def now(self) -> int:
        """Returns the time in ns after the start of the run."""
        return self.fleet.now()

    def after(self, delay: int, call: Callable[..., None], *args: Any) -> None:
        """Sets a timer; the delay is in ns."""
        self.fleet.timers.after(delay, call, *args)

    # -- start and stop ----------------------------------------------------------------------------

    def start(self, cold: bool) -> None:
        """Starts the box, unless it is up."""
        if self.up:
            return
        self.up = True
        self.model = BoxModel(self.plan, self.fleet.plan.box_settings, self.now(), cold)
        for relay in range(self.fleet.plan.relays):
            self.ports.append(
                self.fleet.reactor.listenTCP(
                    self.fleet.port + self.port_offset,
                    BoxFactory(self, relay),
                    backlog=512,
                    interface=box_address(self.index, relay),
                )
            )

    def stop(self) -> None:
        """Stops the box as a crash does: its connections are reset, new ones refused."""
        self.up = False
        for port in self.ports:
            port.stopListening()
        self.ports.clear()
        for connection in list(self.connections):
            connection.reset()

    # -- connections -------------------------------------------------------------------------------

    def probe(self, connection: BoxConnection, word: bytes) -> None:
        """Answers PING or STATS; a box that hangs does not."""
        if self.model.hung:
            return
        now = self.now()
        if word == b"PING":
            connection.send(b"PONG")
            return
        report = self.model.report(now)
        line = b"PONG utilization=%.4f,recent_ms=%.3f,x0=%.4f,x1=%.4f" % report[:4]
        # Probes have priority over messages, as if a thread of its own answered them.
        self.after(self.fleet.plan.box_settings.message_time // 4, connection.send, line)

    def set_up(self, connection: BoxConnection, load: float, timeout: int) -> None:
        """Accepts, rejects, fails or ignores a request, as the state of the box requires."""
        now, model = self.now(), self.model
        if model.hung:
            return
        if model.late_up:
            self.after(timeout + LATE_UP, self._accept, connection, load)
            self.after(timeout + LATE_UP + LATE_STAY, connection.reset)
            return
        if model.failing:
            self.after(FAST_ERROR, self._refuse, connection, "ERR")
            return
        accepted = model.accepts(now)
        setup_time = model.begin_setup(now, accepted)
        if model.fails_from_overload(now):
            self._fail_from_overload(now)
        elif accepted:
            self.after(setup_time, self._accept, connection, load)
        else:
            self.after(setup_time, self._refuse, connection, "BUSY")

    def _accept(self, connection: BoxConnection, load: float) -> None:
        attempt = connection.attempt
        if attempt is None or attempt.ended_at >= 0 or connection.ending or self.model.hung:
            return
        self.receipts += 1
        attempt.receipt = f"{self.plan.name}-{self.receipts}"
        connection.load = load
        connection.is_open = True
        self.model.connection_opened(load)
        connection.answer("UP", b"UP " + attempt.receipt.encode())
        connection.send(b"LOAD %.5f" % load)

    def _refuse(self, connection: BoxConnection, word: str) -> None:
        if connection.attempt is not None and connection.attempt.ended_at < 0:
            connection.answer(word, word.encode())
            connection.end()

    def _fail_from_overload(self, now: int) -> None:
        self.fleet.event_log.write(ColdOverload(now, self.index, self.model.load_ratio(now)))
        self.stop()
        self.after(self.fleet.plan.box_settings.restart_delay, self.start, True)

    def move_clients(self) -> None:
        """Sends MOVE to the clients that are still connected, and closes their connections, if draining."""
        if self.model.draining:
            for connection in list(self.connections):
                if connection.is_open:
                    connection.send(b"MOVE")
                    connection.end()

    def log_unexpected(self, connection: BoxConnection, line: bytes) -> None:
        """Logs a line that no relay should send, cut to 80 bytes."""
        self.fleet.event_log.write(
            UnexpectedLine(self.now(), self.index, connection.relay, line[:80].decode("latin-1"))
        )

    def apply(self, event: ScheduledEvent) -> None:
        """Carries out a scheduled event that concerns this box."""
        model, now = self.model, self.now()
        model.advance(now)
        if event.action == "slow":
            model.slow = event.size
        elif event.action == "neighbour":
            model.neighbour = event.size
        elif event.action in ("hung", "failing", "frozen", "late_up"):
            setattr(model, event.action, bool(event.size))
        elif event.action == "drain":
            model.draining = True
            self.after(self.fleet.plan.box_settings.move_after, self.move_clients)
        elif event.action == "start":
            self.port_offset = RELOCATED_PORT_OFFSET if event.size else 0
            self.start(cold=True)
        elif event.action == "stop":
            self.stop()
        elif event.action == "cut":
            self.partition(event.relay, bool(event.size))

    def partition(self, relay: int, on: bool) -> None:
        """Begins or ends a partition: what the relay sends does not arrive, what this box sends still
        does."""
        pair = (relay, self.plan.name)
        (self.fleet.partitioned.add if on else self.fleet.partitioned.discard)(pair)
        for connection in self.connections:
            if connection.relay == relay and connection.transport.connected:
                (connection.transport.pauseProducing if on else connection.transport.resumeProducing)()

    def tick(self, second: int) -> None:
        """Updates the model and logs the load; called every second."""
        now = self.now()
        if not self.up:
            return
        self.model.advance(now)
        if self.model.fails_from_overload(now):
            self._fail_from_overload(now)
            return
        self.fleet.event_log.write(
            BoxLoad(second, self.index, self.model.load_ratio(now), self.model.connections)
        )


class BoxFleet(Emulator):
    """The boxes of one process: those whose index leaves the remainder `part` when divided by `parts`."""

    def __init__(self, context: ProcessContext, part: int, parts: int) -> None:
        """Creates the boxes; `open` starts them."""
        super().__init__(context)
        plan = context.plan
        self.profiles = {profile.name: profile for profile in plan.profiles}
        self.partitioned: set[tuple[int, str]] = set()  # relay, name of box
        self.boxes = {
            index: Box(self, index, box) for index, box in enumerate(plan.boxes) if index % parts == part
        }

    def open(self) -> None:
        """Starts the boxes that are in the list from the start, before the relays start."""
        for box in self.boxes.values():
            if box.plan.at_start:
                box.start(cold=False)

    def begin(self) -> None:
        """Sets timers for the scheduled events; called at the start of the run."""
        for event in self.plan.events:
            box = self.boxes.get(event.index)
            if event.target == "box" and box is not None:
                self.timers.after(event.at - self.now(), box.apply, event)
        self._tick(0)

    def _tick(self, second: int) -> None:
        for box in self.boxes.values():
            box.tick(second)
        self.timers.after((second + 1) * SECOND - self.now(), self._tick, second + 1)

    def close(self) -> None:
        """Logs the attempts that are open at the end of the run."""
        for box in self.boxes.values():
            for connection in list(box.connections):
                connection.attempt_over()

    def summary(self) -> dict[str, float]:
        """Returns the progress that the worker reports every second."""
        ratios = [box.model.load_ratio(self.now()) for box in self.boxes.values() if box.up]
        return {"up": len(ratios), "most": max(ratios, default=0.0), "sum": sum(ratios)}
