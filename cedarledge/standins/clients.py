"""Emulated clients, and the client-side balancer that distributes them over the relays.

A client wants to be served for a while: it opens a connection, sends a message at intervals and measures the
time to the answer, tries again when it is rejected or cut off, and leaves when its lifetime is over.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from cedarledge.net.timers import Timer, Timers
from cedarledge.standins.event_log import ClientRequest, MisbehavingClient, ServedSecond
from cedarledge.standins.plan import INVALID_ID_PREFIX, ScheduledEvent, relay_address
from cedarledge.standins.process_context import Emulator, ProcessContext
from cedarledge.terms import MS, SECOND

# A line that takes longer than this from box to client was delayed by the relay between them.
MAX_LINE_DELAY = SECOND
CONNECT_TIMEOUT = SECOND
# After its timeout a client reads on for this long; an answer in this time is logged as late.
READ_AFTER_TIMEOUT = 300 * MS
RECONNECT_DELAY = (20 * MS, 150 * MS)
# The client-side balancer still sends clients to a relay that was asked to stop for this long.
STOP_NOTICE_DELAY = (200 * MS, 400 * MS)
ANSWERS = frozenset(("UP", "BUSY", "ERR"))


def connect_to_relay(
    reactor: Any, relay: int, port: int, protocol: Protocol, failed: Callable[[Failure], None]
) -> None:
    """Connects a protocol to a relay; `failed` is called if that fails."""
    endpoint = TCP4ClientEndpoint(reactor, relay_address(relay), port, timeout=CONNECT_TIMEOUT / SECOND)
    connectProtocol(endpoint, protocol).addErrback(failed)


class PingProbe(Protocol):
    """Sends one PING to a relay and calls back on PONG."""

    transport: Any

    def __init__(self, timers: Timers, on_pong: Callable[[], None]) -> None:
        """`on_pong` is not called if the relay gives another answer or none."""
        self.timers = timers
        self.on_pong = on_pong

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the PING."""
        self.transport.write(b"PING\r\n")
        self.timers.after(CONNECT_TIMEOUT, self._timed_out)

    def _timed_out(self) -> None:
        if self.transport.connected:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads the answer and closes the connection."""
        if data.startswith(b"PONG"):
            self.on_pong()
        self.transport.abortConnection()


class RelayPicker(Emulator):
    """The client-side balancer: picks a random relay for each client among those that answer its PINGs."""

    def __init__(self, context: ProcessContext, rng: random.Random) -> None:
        """All relays count as available at the start."""
        super().__init__(context)
        self.random = rng
        self.last_pong = dict.fromkeys(range(context.plan.relays), 0)
        self.stopping: set[int] = set()  # relays that were asked to stop and still answer

    def begin(self) -> None:
        """Starts the PINGs and sets timers for planned stops; called at the start of the run."""
        for event in self.plan.events:
            if event.target == "relay" and event.action == "stop":
                self.timers.after(
                    event.at + self.random.randint(*STOP_NOTICE_DELAY) - self.now(), self._stops, event
                )
        for relay in range(self.plan.relays):
            self._ping(relay)

    def _stops(self, event: ScheduledEvent) -> None:
        self.last_pong[event.index] = -SECOND
        self.stopping.add(event.index)

    def _ping(self, relay: int) -> None:
        interval = self.plan.client_settings.health_check_interval
        self.timers.after(int(interval * (0.8 + 0.4 * self.random.random())), self._ping, relay)
        probe = PingProbe(self.timers, partial(self.pong, relay))
        connect_to_relay(self.reactor, relay, self.port, probe, lambda _reason: self.stopping.discard(relay))

    def pong(self, relay: int) -> None:
        """Marks a relay as available, unless it was asked to stop and has not refused a connection since."""
        if relay not in self.stopping:
            self.last_pong[relay] = self.now()

    def pick(self, home: str = "") -> int:
        """Returns an available relay, in the zone `home` while one is available there; any relay if none
        is."""
        since = self.now() - self.plan.client_settings.health_check_timeout
        available = [relay for relay, at in self.last_pong.items() if at >= max(since, 0)]
        local = [relay for relay in available if self.plan.zones.zone_of_relay(relay) == home] if home else []
        return self.random.choice(local or available or list(self.last_pong))


@implementer(IHalfCloseableProtocol)
class ClientConnection(Protocol):
    """One connection request and the connection that it opens, from the client's side."""

    transport: Any

    def __init__(self, client: Client, request: ClientRequest, opening: bytes) -> None:
        """`opening` is the line that requests the connection."""
        self.client = client
        self.pool = client.pool
        self.request = request
        self.opening = opening
        self.rest = b""
        self.next_echo = 0
        self.last_word = ""
        self.over = False

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the request, unless the client has given up while connecting."""
        self.transport.setTcpNoDelay(True)
        if self.over:
            self.transport.abortConnection()
            return
        self.request.started_at = self.pool.now()
        self.transport.write(self.opening)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles complete lines."""
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            self._line(line.decode("latin-1"))

    def _line(self, line: str) -> None:
        request, now = self.request, self.pool.now()
        if request.answer == "GAVE_UP":
            # The client has given up; the judge decides whether this answer came too late.
            if request.answered_at < 0:
                request.answered_at, request.receipt = now, line.partition(" ")[0]
            else:
                # After a late UP the box's own lines follow, which are not further answers.
                request.extra_answers += request.receipt != "UP"
            return
        if not request.answer:
            word, _, rest = line.partition(" ")
            request.answer = word if word in ANSWERS else line[:40]
            request.answered_at = now
            if word == "UP":
                request.receipt = rest
                self.client.opened()
            else:
                self.client.failed(int(rest) * MS if word == "BUSY" and rest.isdecimal() else 0)
            return
        if request.answer != "UP" or self.last_word:
            request.extra_answers += 1
            return
        if line in ("MOVE", "BYE"):
            self.last_word = line
            return
        words = line.split(" ")
        if words[0] == "LOAD":
            return
        if len(words) != 4 or words[0] != "e":
            request.extra_answers += 1
            return
        request.sequence_gaps += int(words[2]) != self.next_echo
        self.next_echo = int(words[2]) + 1
        request.delayed_lines += now - int(words[3]) > MAX_LINE_DELAY
        self.client.echoed(int(words[1]), now)

    def send_message(self, number: int) -> None:
        """Sends a message with its number and the time."""
        self.transport.write(b"m %d %d\r\n" % (number, self.pool.now()))

    def leave(self, reason: str) -> None:
        """Closes the connection on the client's behalf and logs the request with this reason."""
        self.log_end(reason)
        if self.transport is not None and self.transport.connected:
            self.transport.loseConnection()

    def log_end(self, reason: str) -> None:
        """Logs the request, once."""
        if self.over:
            return
        self.over = True
        self.request.ended_at, self.request.end_reason = self.pool.now(), reason
        self.pool.event_log.write(self.request)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Handles the relay's close of its side, and closes this side."""
        self._lost(abrupt=False)
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Does nothing: this side is closed, the other side follows."""

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Handles the end of the connection."""
        self._lost(abrupt=reason.check(ConnectionDone) is None)

    def _lost(self, abrupt: bool) -> None:
        if self.over:
            return
        if not self.request.answer:
            self.request.answer, self.request.answered_at = "CLOSED", self.pool.now()
        was_open = self.request.answer == "UP"
        self.log_end(self.last_word or ("reset" if abrupt else "cut"))
        if was_open:
            self.client.cut_off(self.last_word)
        elif self.request.answer == "CLOSED":
            self.client.failed(0)


class Client:
    """One client: its requests, its messages, and the account of when it was served."""

    __slots__ = (
        "accounted_until",
        "connection",
        "home",
        "key",
        "leaves_at",
        "message_number",
        "pool",
        "profile",
        "sent_at",
        "timer",
        "tries",
    )

    def __init__(self, pool: ClientPool, profile: int, key: str, leaves_at: int) -> None:
        """Creates a client that arrives now; `open` sends its first request."""
        self.pool = pool
        self.profile = profile
        self.key = key
        self.home = pool.random.choice(pool.plan.zones.names) if pool.plan.zones.home else ""
        self.leaves_at = leaves_at
        self.accounted_until = pool.now()
        self.connection: ClientConnection | None = None
        self.timer: Timer | None = None
        self.tries = 0
        self.message_number = 0
        self.sent_at = -1  # of the message without an answer so far; -1: none

    # -- opening -----------------------------------------------------------------------------------

    def open(self, again: bool) -> None:
        """Sends a request; `again` tells the relay that the client had an open connection before."""
        pool = self.pool
        profile = pool.plan.profiles[self.profile]
        connection_id = f"{pool.random.getrandbits(64):016x}"
        relay = pool.picker.pick(self.home)
        timeout = profile.client_timeout
        flags = (",r=1" if self.tries else "") + (",again=1" if again else "")
        line = f"OPEN {connection_id} {self.key} c={profile.name},d={timeout // MS},g={self.key}{flags}\r\n"
        request = ClientRequest(connection_id, relay, self.profile, pool.now(), timeout)
        self.connection = connection = ClientConnection(self, request, line.encode())
        connect_to_relay(
            pool.reactor, relay, pool.port, connection, lambda _reason: self._unreached(connection)
        )
        self._set_timer(timeout, self._give_up, connection)

    def _set_timer(self, delay: int, then: Callable[..., None], *args: Any) -> None:
        self.pool.timers.cancel(self.timer)
        self.timer = self.pool.timers.after(delay, then, *args)

    def _unreached(self, connection: ClientConnection) -> None:
        if connection is self.connection and not connection.over:
            connection.request.answer, connection.request.answered_at = "UNREACHED", self.pool.now()
            connection.log_end("")
            self.failed(0)

    def _give_up(self, connection: ClientConnection) -> None:
        connection.request.answer = "GAVE_UP"
        self.pool.timers.after(READ_AFTER_TIMEOUT, connection.leave, "gave up")
        self.failed(0)

    def opened(self) -> None:
        """Starts to send messages; called on UP."""
        self._account(served=False)
        self.pool.count("opened")
        self.tries = 0
        self.message_number = 0
        self.sent_at = -1
        self._message_due()

    def failed(self, retry_after: int) -> None:
        """Schedules the next try after one that did not open a connection; `retry_after` is the least
        delay."""
        self._account(served=False)
        pool, settings = self.pool, self.pool.plan.client_settings
        pool.count("declined" if self.connection.request.answer == "BUSY" else "failed")
        self.connection = None
        self.tries += 1
        if self.tries <= settings.max_retries:
            delay = max(
                retry_after, int(settings.backoff * 2 ** (self.tries - 1) * (0.5 + pool.random.random()))
            )
        else:
            # After the last retry it returns later, as if for the first time.
            delay = max(retry_after, int(settings.return_delay * (0.5 + pool.random.random())))
            self.tries = 0
        self._set_timer(delay, self._try_again, False)

    def _try_again(self, again: bool) -> None:
        if self.pool.now() >= self.leaves_at:
            self._leave()
        else:
            self.open(again)

    # -- open --------------------------------------------------------------------------------------

    def _message_due(self) -> None:
        pool = self.pool
        now = pool.now()
        if now >= self.leaves_at:
            self._leave()
            return
        if self.sent_at < 0:
            # The next message waits for the answer to the last one.
            self.sent_at = now
            self.connection.send_message(self.message_number)
        interval = pool.plan.client_settings.message_interval
        self._set_timer(int(interval * (0.9 + 0.2 * pool.random.random())), self._message_due)

    def echoed(self, number: int, now: int) -> None:
        """Accounts for the time since the last message as served if the answer came within the goal."""
        if number != self.message_number or self.sent_at < 0:
            return
        goal = self.pool.plan.profiles[self.profile].message_goal
        self._account(served=now - self.sent_at <= goal)
        self.message_number += 1
        self.sent_at = -1

    def cut_off(self, word: str) -> None:
        """Schedules the reconnect after an open connection ended; `word` is MOVE, BYE or empty."""
        self._account(served=False)
        self.pool.count("moved" if word == "MOVE" else "cut")
        self.connection = None
        self.sent_at = -1
        self._set_timer(self.pool.random.randint(*RECONNECT_DELAY), self._try_again, True)

    def disconnect(self) -> None:
        """Simulates a network failure in a reconnect storm: closes an open connection, reconnects within 1
        s."""
        if self.connection is not None and self.connection.request.answer == "UP":
            self.connection.leave("left")
            self._account(served=False)
            self.connection = None
            self.sent_at = -1
            self._set_timer(self.pool.random.randint(0, SECOND), self._try_again, True)

    def _leave(self) -> None:
        self.pool.timers.cancel(self.timer)
        if self.connection is not None:
            self.connection.leave("left")
            self.connection = None
        self.pool.clients.pop(self, None)

    def _account(self, served: bool) -> None:
        """Accounts for the time since the last call as served or not."""
        now = min(self.pool.now(), self.leaves_at)
        if now > self.accounted_until:
            self.pool.account(self.profile, self.accounted_until, now, served)
            self.accounted_until = now

    def end(self) -> None:
        """Closes the connection at the end of the run and accounts for the remaining time."""
        if self.connection is not None:
            self.connection.leave("over")
        # The time since the last message is unknown, and left out, if its answer may still come within the
        # goal.
        if (
            self.sent_at >= 0
            and self.pool.now() - self.sent_at <= self.pool.plan.profiles[self.profile].message_goal
        ):
            return
        self._account(
            served=self.connection is not None and self.connection.request.answer == "UP" and self.sent_at < 0
        )


class ClientPool(Emulator):
    """The clients of one process, which get an equal part of all arrivals."""

    def __init__(self, context: ProcessContext, part: int, parts: int) -> None:
        """`part` is the number of this one of `parts` processes."""
        super().__init__(context)
        plan = context.plan
        self.part = part
        self.parts = parts
        self.random = random.Random(plan.seed * 1009 + part)
        self.picker = RelayPicker(context, random.Random(plan.seed * 1013 + part))
        self.clients: dict[Client, None] = {}
        self.counts = dict.fromkeys(("opened", "declined", "failed", "moved", "cut", "rude"), 0)
        # Wanted and served client seconds by second and profile.
        self.seconds: dict[tuple[int, int], list[float]] = {}
        self.shares = [profile.share for profile in plan.profiles]
        self.hot_share = 0.0  # share of new clients that have the same key
        self.misbehaving_rate = 0.0  # per second

    def begin(self) -> None:
        """Starts arrivals and sets timers for the scheduled events; called at the start of the run."""
        self.picker.begin()
        for event in self.plan.events:
            if event.target == "clients":
                self.timers.after(event.at - self.now(), self._apply, event)
        settings = self.plan.client_settings
        count = settings.initial_clients // self.parts + (self.part < settings.initial_clients % self.parts)
        for number in range(count):
            self.timers.after(settings.ramp_up * number // max(1, count), self._arrive)
        # After the ramp-up the arrivals replace the clients that leave.
        self.timers.after(settings.ramp_up, self._next_arrival)

    def _next_arrival(self) -> None:
        rate = self.plan.client_settings.arrival_rate / self.parts
        self.timers.after(int(self.random.expovariate(rate) * SECOND), self._next_arrival)
        self._arrive()

    def _arrive(self) -> None:
        lifetime = max(
            2 * SECOND, int(self.random.expovariate(1.0) * self.plan.client_settings.mean_lifetime)
        )
        profile = self.random.choices(range(len(self.shares)), self.shares)[0]
        key = (
            "hot"
            if self.random.random() < self.hot_share
            else f"k{self.random.randrange(self.plan.client_settings.key_count)}"
        )
        client = Client(self, profile, key, self.now() + lifetime)
        self.clients[client] = None
        client.open(again=False)

    def _apply(self, event: ScheduledEvent) -> None:
        if event.action == "hot":
            self.hot_share = event.size
        elif event.action == "storm":
            for client in list(self.clients):
                if self.random.random() < event.size:
                    client.disconnect()
        elif event.action == "rude":
            idle, self.misbehaving_rate = not self.misbehaving_rate, event.size / self.parts
            if idle and self.misbehaving_rate:
                self._next_misbehaving()

    # -- misbehaving clients -----------------------------------------------------------------------

    def _next_misbehaving(self) -> None:
        if not self.misbehaving_rate:
            return
        self.timers.after(
            int(self.random.expovariate(self.misbehaving_rate) * SECOND), self._next_misbehaving
        )
        kind = self.random.choice(tuple(INVALID_INPUT))
        relay = self.picker.pick()
        self.count("rude")
        connect_to_relay(
            self.reactor, relay, self.port, MisbehavingConnection(self, kind, relay), lambda _reason: None
        )

    # -- accounts ----------------------------------------------------------------------------------

    def count(self, what: str) -> None:
        """Adds 1 to a count of the progress report."""
        self.counts[what] += 1

    def account(self, profile: int, begin: int, end: int, served: bool) -> None:
        """Adds a span of a client's time to the seconds that it covers."""
        while begin < end:
            second = begin // SECOND
            until = min(end, (second + 1) * SECOND)
            sums = self.seconds.setdefault((second, profile), [0.0, 0.0])
            sums[0] += (until - begin) / SECOND
            sums[1] += served * (until - begin) / SECOND
            begin = until

    def close(self) -> None:
        """Ends all clients and logs the wanted and served seconds at the end of the run."""
        for client in list(self.clients):
            client.end()
        for (second, profile), (wanted, served) in sorted(self.seconds.items()):
            self.event_log.write(ServedSecond(second, profile, wanted, served))

    def summary(self) -> dict[str, Any]:
        """Returns the progress that the worker reports every second."""
        last = self.now() // SECOND - 3
        wanted, served = (
            [sum(sums[column] for (second, _), sums in self.seconds.items() if last <= second < last + 2)]
            for column in (0, 1)
        )
        open_count = sum(
            1
            for client in self.clients
            if client.connection is not None and client.connection.request.answer == "UP"
        )
        return self.counts | {
            "open": open_count,
            "people": len(self.clients),
            "wanted": wanted[0],
            "served": served[0],
        }


def _open_line(connection_id: str, values: str) -> bytes:
    return f"OPEN {connection_id} k {values}\r\n".encode()


# What misbehaving clients send, by kind. A box that receives any of it recognizes the connection id.
INVALID_INPUT: dict[str, Callable[[str], bytes]] = {
    "garbage": lambda connection_id: bytes(range(1, 200)) + b"\r\n",
    "no end": lambda connection_id: b"OPEN " + b"x" * 20_000,
    "no profile": lambda connection_id: _open_line(connection_id, "c=nobody,d=1000,g=g"),
    "no number": lambda connection_id: _open_line(connection_id, "c=live,d=soon,g=g"),
    "negative": lambda connection_id: _open_line(connection_id, "c=live,d=-5,g=g"),
    "past all time": lambda connection_id: _open_line(connection_id, "c=live,d=999999999,g=g"),
    "no id": lambda connection_id: b"OPEN  k c=live,d=1000,g=g\r\n",
    "half": lambda connection_id: f"OPEN {connection_id} k c=li".encode(),
    "many": lambda connection_id: _open_line(connection_id, "c=live,d=1000,g=g") * 300,
    "silent": lambda connection_id: b"",
}


class MisbehavingConnection(Protocol):
    """One misbehaving client: sends invalid input and waits up to 6 s for an answer or the end."""

    transport: Any

    def __init__(self, pool: ClientPool, kind: str, relay: int) -> None:
        """`kind` is a key of INVALID_INPUT."""
        self.pool = pool
        self.entry = MisbehavingClient(0, relay, kind, -1, "")

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the invalid input."""
        self.entry.at = self.pool.now()
        self.transport.write(
            INVALID_INPUT[self.entry.kind](f"{INVALID_ID_PREFIX}{self.pool.random.getrandbits(48):x}")
        )
        self.pool.timers.after(6 * SECOND, self._timed_out)

    def _timed_out(self) -> None:
        if self.transport.connected:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Records the time and the start of the first answer, and closes the connection."""
        if self.entry.closed_after < 0:
            self.entry.closed_after = self.pool.now() - self.entry.at
            self.entry.answer = data[:20].decode("latin-1").strip()
            self.transport.loseConnection()

    def connectionLost(self, _reason: Failure) -> None:  # noqa: N802
        """Logs the client; an end in less than 5 s without an answer was the relay's close."""
        elapsed = self.pool.now() - self.entry.at
        if self.entry.closed_after < 0 and elapsed < 5 * SECOND:
            self.entry.closed_after, self.entry.answer = elapsed, "closed"
        self.pool.event_log.write(self.entry)
