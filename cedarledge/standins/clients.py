"""Stand-in clients and the front that deals them out over the relays.

A client is a person who wants to be served for a while: it opens a tunnel, sends a line now and then and
times what comes back, tries again when it is refused or cut off, and has patience of its own.
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
from cedarledge.standins.plan import BAD_ID, ScheduledEvent, relay_address
from cedarledge.standins.process_context import Player, ProcessContext
from cedarledge.terms import MS, SECOND

HELD_BACK = SECOND
CONNECT_WITHIN = SECOND
# How long a client that gave up is still listened to: an answer after that is one too many.
LISTEN_ON = 300 * MS
RETURN_AFTER = (20 * MS, 150 * MS)
# The front goes on dealing to a relay that was asked to stop for this long.
STOP_SEEN = (200 * MS, 400 * MS)
ANSWERS = frozenset(("UP", "BUSY", "ERR"))


def connect_to_relay(
    reactor: Any, relay: int, port: int, link: Protocol, failed: Callable[[Failure], None]
) -> None:
    endpoint = TCP4ClientEndpoint(reactor, relay_address(relay), port, timeout=CONNECT_WITHIN / SECOND)
    connectProtocol(endpoint, link).addErrback(failed)


class PingProbe(Protocol):
    """The question whether a relay is there."""

    transport: Any

    def __init__(self, timers: Timers, heard: Callable[[], None]) -> None:
        self.timers = timers
        self.heard = heard

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(b"PING\r\n")
        self.timers.after(CONNECT_WITHIN, self._too_late)

    def _too_late(self) -> None:
        if self.transport.connected:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if data.startswith(b"PONG"):
            self.heard()
        self.transport.abortConnection()


class Front(Player):
    """Deals clients out over the relays that it believes to be there, each by a draw."""

    def __init__(self, stage: ProcessContext, chance: random.Random) -> None:
        super().__init__(stage)
        self.chance = chance
        self.heard = dict.fromkeys(range(stage.plan.relays), 0)
        self.stopping: set[int] = set()  # were asked to stop, and still answer

    def begin(self) -> None:
        for act in self.plan.events:
            if act.target == "relay" and act.action == "stop":
                self.timers.after(act.at + self.chance.randint(*STOP_SEEN) - self.now(), self._stops, act)
        for relay in range(self.plan.relays):
            self._ask(relay)

    def _stops(self, act: ScheduledEvent) -> None:
        self.heard[act.index] = -SECOND
        self.stopping.add(act.index)

    def _ask(self, relay: int) -> None:
        every = self.plan.client_settings.health_check_interval
        self.timers.after(int(every * (0.8 + 0.4 * self.chance.random())), self._ask, relay)
        ping = PingProbe(self.timers, partial(self.pong, relay))
        connect_to_relay(self.reactor, relay, self.port, ping, lambda _why: self.stopping.discard(relay))

    def pong(self, relay: int) -> None:
        if relay not in self.stopping:
            self.heard[relay] = self.now()

    def pick(self, home: str = "") -> int:
        """One that is there, of the client's own zone while any is."""
        since = self.now() - self.plan.client_settings.health_check_timeout
        there = [relay for relay, at in self.heard.items() if at >= max(since, 0)]
        near = [relay for relay in there if self.plan.zones.zone_of_relay(relay) == home] if home else []
        return self.chance.choice(near or there or list(self.heard))


@implementer(IHalfCloseableProtocol)
class CallLink(Protocol):
    """One tunnel from its client's side."""

    transport: Any

    def __init__(self, person: Person, call: ClientRequest, opening: bytes) -> None:
        self.person = person
        self.crowd = person.crowd
        self.call = call
        self.opening = opening
        self.rest = b""
        self.back = 0
        self.last_word = ""
        self.over = False

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        if self.over:
            self.transport.abortConnection()
            return
        self.call.began = self.crowd.now()
        self.transport.write(self.opening)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            self._line(line.decode("latin-1"))

    def _line(self, line: str) -> None:
        call, now = self.call, self.crowd.now()
        if call.word == "GAVE_UP":
            # Its person is gone already; whether this came too late is for the judge to say.
            if call.answered < 0:
                call.answered, call.receipt = now, line.partition(" ")[0]
            else:
                # Behind an UP that came late the box's own lines follow.
                call.more += call.receipt != "UP"
            return
        if not call.word:
            word, _, rest = line.partition(" ")
            call.word = word if word in ANSWERS else line[:40]
            call.answered = now
            if word == "UP":
                call.receipt = rest
                self.person.opened()
            else:
                self.person.refused(int(rest) * MS if word == "BUSY" and rest.isdecimal() else 0)
            return
        if call.word != "UP" or self.last_word:
            call.more += 1
            return
        if line in ("MOVE", "BYE"):
            self.last_word = line
            return
        words = line.split(" ")
        if words[0] == "LOAD":
            return
        if len(words) != 4 or words[0] != "e":
            call.more += 1
            return
        call.gaps += int(words[2]) != self.back
        self.back = int(words[2]) + 1
        call.held += now - int(words[3]) > HELD_BACK
        self.person.echoed(int(words[1]), now)

    def send(self, number: int) -> None:
        self.transport.write(b"m %d %d\r\n" % (number, self.crowd.now()))

    def leave(self, how: str) -> None:
        """The person wants no more of it."""
        self._ended(how)
        if self.transport is not None and self.transport.connected:
            self.transport.loseConnection()

    def _ended(self, how: str) -> None:
        if self.over:
            return
        self.over = True
        self.call.ended, self.call.how = self.crowd.now(), how
        self.crowd.book.write(self.call)

    def readConnectionLost(self) -> None:  # noqa: N802
        self._lost(abrupt=False)
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Closed here; the other half follows."""

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self._lost(abrupt=reason.check(ConnectionDone) is None)

    def _lost(self, abrupt: bool) -> None:
        if self.over:
            return
        if not self.call.word:
            self.call.word, self.call.answered = "CLOSED", self.crowd.now()
        was_open = self.call.word == "UP"
        self._ended(self.last_word or ("reset" if abrupt else "cut"))
        if was_open:
            self.person.cut_off(self.last_word)
        elif self.call.word == "CLOSED":
            self.person.refused(0)


class Person:
    """One client: what it wants, and what it gets."""

    __slots__ = (
        "counted",
        "crowd",
        "due",
        "home",
        "key",
        "leaves",
        "link",
        "number",
        "profile",
        "sent_at",
        "tries",
    )

    def __init__(self, crowd: Crowd, profile: int, key: str, leaves: int) -> None:
        self.crowd = crowd
        self.profile = profile
        self.key = key
        self.home = crowd.chance.choice(crowd.plan.zones.names) if crowd.plan.zones.home else ""
        self.leaves = leaves
        self.counted = crowd.now()  # its wishes are accounted for up to here
        self.link: CallLink | None = None
        self.due: Timer | None = None
        self.tries = 0
        self.number = 0
        self.sent_at = -1

    # -- opening -----------------------------------------------------------------------------------

    def open(self, again: bool) -> None:
        crowd = self.crowd
        row = crowd.plan.profiles[self.profile]
        tun = f"{crowd.chance.getrandbits(64):016x}"
        relay = crowd.front.pick(self.home)
        wait = row.client_timeout
        marks = (",r=1" if self.tries else "") + (",again=1" if again else "")
        line = f"OPEN {tun} {self.key} c={row.name},d={wait // MS},g={self.key}{marks}\r\n"
        call = ClientRequest(tun, relay, self.profile, crowd.now(), wait)
        self.link = link = CallLink(self, call, line.encode())
        connect_to_relay(crowd.reactor, relay, crowd.port, link, lambda _why: self._unreached(link))
        self._wait(wait, self._gives_up, link)

    def _wait(self, delay: int, then: Callable[..., None], *args: Any) -> None:
        self.crowd.timers.cancel(self.due)
        self.due = self.crowd.timers.after(delay, then, *args)

    def _unreached(self, link: CallLink) -> None:
        if link is self.link and not link.over:
            link.call.word, link.call.answered = "UNREACHED", self.crowd.now()
            link._ended("")
            self.refused(0)

    def _gives_up(self, link: CallLink) -> None:
        link.call.word = "GAVE_UP"
        self.crowd.timers.after(LISTEN_ON, link.leave, "gave up")
        self.refused(0)

    def opened(self) -> None:
        self._account(served=False)
        self.crowd.count("opened")
        self.tries = 0
        self.number = 0
        self.sent_at = -1
        self._line()

    def refused(self, come_back: int) -> None:
        """This try came to nothing."""
        self._account(served=False)
        crowd, terms = self.crowd, self.crowd.plan.client_settings
        crowd.count("declined" if self.link.call.word == "BUSY" else "failed")
        self.link = None
        self.tries += 1
        if self.tries <= terms.max_retries:
            wait = max(come_back, int(terms.backoff * 2 ** (self.tries - 1) * (0.5 + crowd.chance.random())))
        else:
            # It has had enough, and looks in again later as if for the first time.
            wait = max(come_back, int(terms.return_delay * (0.5 + crowd.chance.random())))
            self.tries = 0
        self._wait(wait, self._again, False)

    def _again(self, returning: bool) -> None:
        if self.crowd.now() >= self.leaves:
            self._leave()
        else:
            self.open(returning)

    # -- open --------------------------------------------------------------------------------------

    def _line(self) -> None:
        crowd = self.crowd
        now = crowd.now()
        if now >= self.leaves:
            self._leave()
            return
        if self.sent_at < 0:
            # While an echo is out no other line goes: the time of one is the time of the next.
            self.sent_at = now
            self.link.send(self.number)
        every = crowd.plan.client_settings.message_interval
        self._wait(int(every * (0.9 + 0.2 * crowd.chance.random())), self._line)

    def echoed(self, number: int, now: int) -> None:
        if number != self.number or self.sent_at < 0:
            return
        goal = self.crowd.plan.profiles[self.profile].message_goal
        self._account(served=now - self.sent_at <= goal)
        self.number += 1
        self.sent_at = -1

    def cut_off(self, word: str) -> None:
        """Its open tunnel has ended, by MOVE or without a word: it comes again soon."""
        self._account(served=False)
        self.crowd.count("moved" if word == "MOVE" else "cut")
        self.link = None
        self.sent_at = -1
        self._wait(self.crowd.chance.randint(*RETURN_AFTER), self._again, True)

    def drop(self) -> None:
        """A storm: it loses its network and comes again with everybody else."""
        if self.link is not None and self.link.call.word == "UP":
            self.link.leave("left")
            self._account(served=False)
            self.link = None
            self.sent_at = -1
            self._wait(self.crowd.chance.randint(0, SECOND), self._again, True)

    def _leave(self) -> None:
        self.crowd.timers.cancel(self.due)
        if self.link is not None:
            self.link.leave("left")
            self.link = None
        self.crowd.people.pop(self, None)

    def _account(self, served: bool) -> None:
        """What it wanted since the last time counts as served, or not."""
        now = min(self.crowd.now(), self.leaves)
        if now > self.counted:
            self.crowd.account(self.profile, self.counted, now, served)
            self.counted = now

    def end(self) -> None:
        """The run is over."""
        if self.link is not None:
            self.link.leave("over")
        # What is not known to be served was waited for only if an echo is out for longer than its goal.
        if (
            self.sent_at >= 0
            and self.crowd.now() - self.sent_at <= self.crowd.plan.profiles[self.profile].message_goal
        ):
            return
        self._account(served=self.link is not None and self.link.call.word == "UP" and self.sent_at < 0)


class Crowd(Player):
    """The clients of one process: every `parts`-th newcomer."""

    def __init__(self, stage: ProcessContext, part: int, parts: int) -> None:
        super().__init__(stage)
        plan = stage.plan
        self.part = part
        self.parts = parts
        self.chance = random.Random(plan.seed * 1009 + part)
        self.front = Front(stage, random.Random(plan.seed * 1013 + part))
        self.people: dict[Person, None] = {}
        self.counts = dict.fromkeys(("opened", "declined", "failed", "moved", "cut", "rude"), 0)
        self.seconds: dict[tuple[int, int], list[float]] = {}
        self.shares = [profile.share for profile in plan.profiles]
        self.hot = 0.0  # share of newcomers with one key
        self.rude_rate = 0.0

    def begin(self) -> None:
        self.front.begin()
        for act in self.plan.events:
            if act.target == "clients":
                self.timers.after(act.at - self.now(), self._played, act)
        terms = self.plan.client_settings
        mine = terms.initial_clients // self.parts + (self.part < terms.initial_clients % self.parts)
        for number in range(mine):
            self.timers.after(terms.ramp_up * number // max(1, mine), self._comes)
        # The crowd that stands already has its part of newcomers: who leaves is replaced.
        self.timers.after(terms.ramp_up, self._next)

    def _next(self) -> None:
        rate = self.plan.client_settings.arrival_rate / self.parts
        self.timers.after(int(self.chance.expovariate(rate) * SECOND), self._next)
        self._comes()

    def _comes(self) -> None:
        life = max(2 * SECOND, int(self.chance.expovariate(1.0) * self.plan.client_settings.mean_lifetime))
        profile = self.chance.choices(range(len(self.shares)), self.shares)[0]
        key = (
            "hot"
            if self.chance.random() < self.hot
            else f"k{self.chance.randrange(self.plan.client_settings.key_count)}"
        )
        person = Person(self, profile, key, self.now() + life)
        self.people[person] = None
        person.open(again=False)

    def _played(self, act: ScheduledEvent) -> None:
        if act.action == "hot":
            self.hot = act.size
        elif act.action == "storm":
            for person in list(self.people):
                if self.chance.random() < act.size:
                    person.drop()
        elif act.action == "rude":
            idle, self.rude_rate = not self.rude_rate, act.size / self.parts
            if idle and self.rude_rate:
                self._rude()

    # -- bad clients -------------------------------------------------------------------------------

    def _rude(self) -> None:
        if not self.rude_rate:
            return
        self.timers.after(int(self.chance.expovariate(self.rude_rate) * SECOND), self._rude)
        kind = self.chance.choice(tuple(RUDE))
        relay = self.front.pick()
        self.count("rude")
        connect_to_relay(self.reactor, relay, self.port, RudeLink(self, kind, relay), lambda _why: None)

    # -- accounts ----------------------------------------------------------------------------------

    def count(self, what: str) -> None:
        self.counts[what] += 1

    def account(self, profile: int, begin: int, end: int, served: bool) -> None:
        while begin < end:
            second = begin // SECOND
            until = min(end, (second + 1) * SECOND)
            sums = self.seconds.setdefault((second, profile), [0.0, 0.0])
            sums[0] += (until - begin) / SECOND
            sums[1] += served * (until - begin) / SECOND
            begin = until

    def close(self) -> None:
        for person in list(self.people):
            person.end()
        for (second, profile), (wanted, served) in sorted(self.seconds.items()):
            self.book.write(ServedSecond(second, profile, wanted, served))

    def summary(self) -> dict[str, Any]:
        last = self.now() // SECOND - 3
        wanted, served = (
            [sum(sums[place] for (second, _), sums in self.seconds.items() if last <= second < last + 2)]
            for place in (0, 1)
        )
        there = sum(1 for person in self.people if person.link is not None and person.link.call.word == "UP")
        return self.counts | {
            "open": there,
            "people": len(self.people),
            "wanted": wanted[0],
            "served": served[0],
        }


def _open_of(tun: str, names: str) -> bytes:
    return f"OPEN {tun} k {names}\r\n".encode()


# What bad clients send, by kind. Whatever of it reaches a box is recognised there by its id.
RUDE: dict[str, Callable[[str], bytes]] = {
    "garbage": lambda tun: bytes(range(1, 200)) + b"\r\n",
    "no end": lambda tun: b"OPEN " + b"x" * 20_000,
    "no profile": lambda tun: _open_of(tun, "c=nobody,d=1000,g=g"),
    "no number": lambda tun: _open_of(tun, "c=live,d=soon,g=g"),
    "negative": lambda tun: _open_of(tun, "c=live,d=-5,g=g"),
    "past all time": lambda tun: _open_of(tun, "c=live,d=999999999,g=g"),
    "no id": lambda tun: b"OPEN  k c=live,d=1000,g=g\r\n",
    "half": lambda tun: f"OPEN {tun} k c=li".encode(),
    "many": lambda tun: _open_of(tun, "c=live,d=1000,g=g") * 300,
    "silent": lambda tun: b"",
}


class RudeLink(Protocol):
    """One bad client: says its piece and waits to be turned out."""

    transport: Any

    def __init__(self, crowd: Crowd, kind: str, relay: int) -> None:
        self.crowd = crowd
        self.entry = MisbehavingClient(0, relay, kind, -1, "")

    def connectionMade(self) -> None:  # noqa: N802
        self.entry.at = self.crowd.now()
        self.transport.write(RUDE[self.entry.kind](f"{BAD_ID}{self.crowd.chance.getrandbits(48):x}"))
        self.crowd.timers.after(6 * SECOND, self._too_late)

    def _too_late(self) -> None:
        if self.transport.connected:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.entry.took < 0:
            self.entry.took = self.crowd.now() - self.entry.at
            self.entry.word = data[:20].decode("latin-1").strip()
            self.transport.loseConnection()

    def connectionLost(self, _reason: Failure) -> None:  # noqa: N802
        took = self.crowd.now() - self.entry.at
        if self.entry.took < 0 and took < 5 * SECOND:
            self.entry.took, self.entry.word = took, "closed"
        self.crowd.book.write(self.entry)
