"""The members of a fleet as one relay knows them: SWIM's probes, indirect probes and suspicion, Lifeguard's
local health, news on every message, and a full exchange now and then. No I/O, no clock.

SWIM: Das, Gupta, Motivala, 2002. Lifeguard: Dadgar, Phillips, Currey, 2017. Times are ns; the names of
constants say which paper they come from.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from hashlib import blake2b
from heapq import nsmallest
from typing import Any, NamedTuple, Protocol

import msgspec

from cedarledge.peers.messages import (
    FORMAT,
    LARGEST,
    LARGEST_RECORD,
    OLDEST,
    WRAP,
    Kind,
    Message,
    News,
    Row,
    State,
    Value,
    View,
    decode,
    decode_head,
    encode,
    near,
    newer,
)
from cedarledge.terms import MS, SECOND

# SWIM: so many others are asked to ping whom this one gets no answer from.
PROXIES = 3
# Lifeguard: local health goes from 0, good, to this; periods and time-outs are one more times as long.
WORST_HEALTH = 8
# Lifeguard: suspicion lasts ALPHA x log10(members) periods once this many have confirmed it, BETA times that
# before.
ALPHA, BETA, CONFIRMATIONS = 4, 4, 3
# SWIM: each piece of news is sent on so often x ln(members). With 2 a fleet of 8 misses one now and then.
RETELL = 3
# Fresh news goes to so many others each time, besides what rides on probes.
SPREAD_EVERY, SPREAD_TO = 200 * MS, 2
# A full exchange with somebody; rarer in large fleets, by what one costs there.
SYNC_EVERY = 10 * SECOND
# One who is held dead, or a seed that nobody is known at, is tried this often: a cut that heals is found by
# this.
REACH_EVERY = SECOND
# The own record is told anew at least so often; all relays together tell at most 1 / EACH of them a second.
RETELL_RECORD, EACH = 5 * SECOND, 250 * MS
# A wake later than this says that this process stood still: nobody else is to blame for what it did not hear.
LATE = 250 * MS
# How long the dead are remembered, and those who left; a cut that lasts longer is mended through the seeds.
KEPT_DEAD, KEPT_LEFT = 600 * SECOND, 60 * SECOND
# Bounds against what anybody on the network may send.
MOST_MEMBERS, MOST_FAVOURS, EXCHANGE_GAP = 4096, 256, 100 * MS
# Bids over another life of the own name before it is taken for a second relay of that name, and how long
# such a one then keeps silent. A process that was started again may hear several old words of its former
# life. Who has been there for a while bids twice as often, so that it is the newcomer who gives way.
MOST_BIDS, SETTLED, SILENT_FOR = 4, 10 * SECOND, 10 * SECOND


class PeersHost(Protocol):
    """What the machine may have done."""

    def send(self, address: str, data: bytes) -> None: ...
    def wake(self, delay: int, token: int) -> None: ...
    def changed(self, name: str, before: State | None, after: State | None, why: str) -> None:
        """The view has changed: before None for a newcomer, after None for one that is forgotten."""

    def doubled(self, address: str) -> None:
        """Another relay of this one's name is alive there, and this one keeps silent for a while."""


class Pace(NamedTuple):
    """How fast members are probed: a period, and the part of it in which a direct answer must come."""

    every: int = 500 * MS
    answer_within: int = 200 * MS


USUAL = Pace()


class Member:
    """One other relay. `raw` is its news as sent on, made anew where it is None."""

    __slots__ = (
        "accusers",
        "address",
        "by",
        "incarnation",
        "life",
        "name",
        "raw",
        "since",
        "state",
        "timer",
        "told",
    )

    def __init__(self, news: News, now: int) -> None:
        self.name = news.name
        self.since = now
        self.accusers: list[str] = []
        self.timer = -1
        self.raw: bytes | None = None
        self.told: dict[str, tuple[int, Value]] = {}
        self.state = State.ALIVE
        self.by = ""
        self.address, self.life, self.incarnation = news.address, news.life, news.incarnation


class Probe(NamedTuple):
    number: int
    name: str
    asked: int  # proxies


class Peers:
    """The view of one relay. All but `members`, `incarnation`, `health`, `counts` and `silent` is its own."""

    def __init__(
        self,
        host: PeersHost,
        fleet: str,
        name: str,
        address: str,
        seeds: tuple[str, ...] = (),
        pace: Pace = USUAL,
        seed: int = 0,
        incarnation: int = 0,
    ) -> None:
        """Raises ValueError for an address that is not a near one."""
        near(address)
        self.host = host
        self.fleet, self.name, self.address = fleet, name, address
        self.seeds = tuple(told for told in seeds if near(told) and told != address)
        self.pace = pace
        self.chance = random.Random(seed)
        self.life = self.chance.getrandbits(62)
        self.incarnation = incarnation
        self.members: dict[str, Member] = {}
        self.health = 0
        self.silent = self.left = False
        self.counts = dict.fromkeys(("malformed", "foreign", "old", "misdirected", "too_many"), 0)
        self.told: dict[str, tuple[int, Value]] = {}
        self.count = 0  # of what this relay has told of itself
        self.now = 0
        self._bids = 0
        self._began = 0  # to speak
        self._own: bytes | None = None
        self._digest: int | None = None
        self._news: dict[str, int] = {}  # of whom there is news, and how often it was told
        self._number = 0
        self._probe: Probe | None = None
        self._nacks = 0
        self._ring: list[str] = []
        self._reach: list[str] = []
        self._favours: dict[int, tuple[str, int]] = {}  # pings made for others: who asked, and their number
        self._exchanged = -EXCHANGE_GAP
        self._spreads = False
        self._waits: dict[int, tuple[int, Callable[..., None], tuple[Any, ...]]] = {}
        self._tokens = 0
        self._late = False

    # -- what the host calls -----------------------------------------------------------------------

    def start(self, now: int) -> None:
        self.now = self._began = now
        self._join()
        # Relays that start together must not probe in step.
        self._after(self.chance.randrange(self.pace.every), self._period)
        self._after(self.chance.randrange(SYNC_EVERY), self._sync)
        self._after(REACH_EVERY + self.chance.randrange(REACH_EVERY), self._reach_out)
        self._after(self.chance.randrange(RETELL_RECORD), self._retell)

    def woke(self, now: int, token: int) -> None:
        wait = self._waits.pop(token, None)
        if wait is None:
            return
        self.now = now
        due, call, args = wait
        self._late = now - due > LATE
        call(*args)

    def received(self, now: int, data: bytes) -> None:
        """A datagram from wherever. What can't be used is counted, and costs no more than reading it."""
        self.now = now
        if len(data) > LARGEST:
            self.counts["malformed"] += 1
            return
        try:
            message = decode(data)
            near(message.address)
            for news in message.news:
                near(news.address)
        except (ValueError, RecursionError):
            self.counts[self._why_unread(data)] += 1
            return
        if message.fleet != self.fleet:
            self.counts["foreign"] += 1
        elif message.format < OLDEST:
            self.counts["old"] += 1
        elif message.kind is Kind.SHOW:
            self._show(message)
        elif not (message.name == self.name and message.life == self.life) and not self.left:
            self._take(message)

    def _show(self, message: Message) -> None:
        """To staff on this machine alone, wherever the question came from."""
        host, _ = near(message.address)
        if host == near(self.address)[0] or host.startswith("127."):
            self.host.send(message.address, encode(self.view(self.now, message.number)))

    def tell(self, now: int, **fields: Value) -> None:
        """What this relay says of itself has changed. Told with the next news; Raises ValueError for what is
        too large together."""
        self.now = now
        changed = {
            name: value
            for name, value in fields.items()
            if name not in self.told or self.told[name][1] != value
        }
        if not changed:
            return
        told = dict(self.told)
        self.count = (self.count + 1) % WRAP
        for name, value in changed.items():
            told[name] = (self.count, value)
        if len(encode(told)) > LARGEST_RECORD:
            raise ValueError(f"a relay may tell {LARGEST_RECORD} bytes of itself, no more: {', '.join(told)}")
        self.told = told
        self._own = None

    def tell_at_once(self, now: int, **fields: Value) -> None:
        """As tell, for what must not wait for its turn."""
        before = self.count
        self.tell(now, **fields)
        if self.count != before:
            self._spread(self.name)

    def leave(self, now: int) -> None:
        """This relay ends as planned: says so to some, who tell the rest. Nothing is sent after it."""
        self.now = now
        if self.left or self.silent:
            self.left = True
            return
        word = encode(self.news(State.LEFT))
        for member in self._some(8):
            self._send(member.address, Kind.NEWS, first=[word])
        self.left = True

    def view(self, now: int, first: int = 0, room: int = LARGEST) -> View:
        """The view for staff, this relay's own row first, from that row on as far as it goes into `room`
        bytes."""
        own = Row(
            self.name,
            self.address,
            "silent" if self.silent else "self",
            0,
            self.incarnation,
            {name: value for name, (_, value) in self.told.items()},
        )
        names = sorted(self.members)
        rows: list[Row] = []
        head = View(FORMAT, self.fleet, self.name, first, 1 + len(names), self.health, self.counts, rows)
        size = len(encode(head)) + 8
        for place in range(first, 1 + len(names)):
            member = self.members[names[place - 1]] if place else None
            row = (
                own
                if member is None
                else Row(
                    member.name,
                    member.address,
                    member.state.name.lower(),
                    (now - member.since) // MS,
                    member.incarnation,
                    {name: value for name, (_, value) in member.told.items()},
                )
            )
            size += len(encode(row))
            if size > room:
                break
            rows.append(row)
        return head

    # -- time --------------------------------------------------------------------------------------

    def _after(self, delay: int, call: Callable[..., None], *args: Any) -> int:
        self._tokens += 1
        self._waits[self._tokens] = (self.now + delay, call, args)
        self.host.wake(delay, self._tokens)
        return self._tokens

    def _feel(self, change: int) -> None:
        self.health = max(0, min(WORST_HEALTH, self.health + change))

    # -- probes ------------------------------------------------------------------------------------

    def _period(self) -> None:
        """One protocol period ends, with a verdict on whom it was about, and the next begins."""
        probe, self._probe = self._probe, None
        member = self.members.get(probe.name) if probe is not None else None
        if self._late:
            # A process that stood still would suspect whom it was probing, whose answer lies unread.
            self._feel(1)
        elif member is not None:
            # Lifeguard: who asked others and heard from none of them, not even that there was no answer, is
            # more likely at fault itself.
            self._feel(probe.asked - self._nacks if probe.asked else 1)
            if member.state in (State.ALIVE, State.SUSPECT):
                self._suspect(member, self.name)
        self._after(self.pace.every * (1 + self.health), self._period)
        self._forget()
        target = self._next()
        if target is None or self.silent or self.left:
            return
        self._probe = Probe(self._next_number(), target.name, 0)
        self._nacks = 0
        self._ping(target, self._probe.number)
        self._after(self.pace.answer_within * (1 + self.health), self._ask_others, self._probe.number)

    def _next(self) -> Member | None:
        """SWIM: members in a random order, each once a round, so that a death is seen within a round."""
        for _ in range(2):
            while self._ring:
                member = self.members.get(self._ring.pop())
                if member is not None and member.state in (State.ALIVE, State.SUSPECT):
                    return member
            self._ring = [member.name for member in self._there()]
            self.chance.shuffle(self._ring)
        return None

    def _ping(self, member: Member, number: int) -> None:
        # Lifeguard's buddy: whoever is suspected hears of it from who probes it, before anything else.
        first = [self._raw(member)] if member.state is State.SUSPECT else []
        self._send(member.address, Kind.PING, number=number, target=member.name, first=first)

    def _ask_others(self, number: int) -> None:
        probe = self._probe
        if probe is None or probe.number != number or self._late:
            return
        target = self.members[probe.name]
        proxies = self._some(PROXIES, but=probe.name)
        self._probe = probe._replace(asked=len(proxies))
        for proxy in proxies:
            self._send(proxy.address, Kind.ASK, number=number, target=target.name, at=target.address)

    def _favour_over(self, number: int) -> None:
        favour = self._favours.pop(number, None)
        if favour is not None:
            self._send(favour[0], Kind.NACK, number=favour[1])

    def _next_number(self) -> int:
        self._number = (self._number + 1) % WRAP
        return self._number

    # -- messages ----------------------------------------------------------------------------------

    def _why_unread(self, data: bytes) -> str:
        """Cheap enough for a flood: what is not of this fleet or format need not make sense otherwise."""
        try:
            head = decode_head(data)
        except (ValueError, RecursionError):
            return "malformed"
        return "foreign" if head.fleet != self.fleet else "old" if head.format < OLDEST else "malformed"

    def _take(self, message: Message) -> None:
        kind = message.kind
        if kind is Kind.PING and message.target != self.name:
            # Somebody else had this address. Silence is the true answer for that one.
            self.counts["misdirected"] += 1
            return
        claim = News(message.name, message.address, message.life, message.incarnation, State.ALIVE)
        self._hear(claim)
        for news in message.news:
            self._hear(news)
        if self.silent:
            return
        first = self._objection(claim)
        if kind is Kind.PING:
            self._send(message.address, Kind.ACK, number=message.number, first=first)
        elif kind is Kind.SYNC:
            self._exchange(message, first)
        elif first and kind is not Kind.NEWS:
            # Two that both object, and neither gives way, would answer each other as fast as they can.
            self._send(message.address, Kind.NEWS, first=first)
        if kind is Kind.ACK:
            self._acked(message.number)
        elif kind is Kind.NACK and self._probe is not None and self._probe.number == message.number:
            self._nacks += 1
        elif kind is Kind.ASK:
            self._ask(message)

    def _acked(self, number: int) -> None:
        favour = self._favours.pop(number, None)
        if favour is not None:
            self._send(favour[0], Kind.ACK, number=favour[1])
        elif self._probe is not None and self._probe.number == number:
            self._probe = None
            self._feel(-1)

    def _ask(self, message: Message) -> None:
        if len(self._favours) >= MOST_FAVOURS:
            self.counts["too_many"] += 1
            return
        try:
            near(message.at)
        except ValueError:
            self.counts["malformed"] += 1
            return
        number = self._next_number()
        self._favours[number] = (message.address, message.number)
        self._send(message.at, Kind.PING, number=number, target=message.target)
        # In time for the one who asked: his own period is not much longer.
        self._after(self.pace.answer_within * 3 // 2, self._favour_over, number)

    def _objection(self, claim: News) -> list[bytes]:
        """What this relay holds of a sender and that he must hear, since it goes over what he says himself:
        that he is dead here, or that his name had a life before."""
        if claim.name == self.name:
            return [self._raw_own()]
        member = self.members.get(claim.name)
        if member is None or (member.state is State.ALIVE and member.life == claim.life):
            return []
        if newer(claim.incarnation, member.incarnation):
            return []
        return [self._raw(member)]

    def _send(
        self,
        address: str,
        kind: Kind,
        number: int = 0,
        target: str = "",
        at: str = "",
        first: list[bytes] | tuple[bytes, ...] = (),
        digest: int = 0,
        news: bool = True,
    ) -> None:
        """One message, filled up with what news there is."""
        if self.silent or self.left:
            return
        parts = list(first)
        head = Message(
            FORMAT,
            self.fleet,
            kind,
            self.name,
            self.address,
            self.life,
            self.incarnation,
            number,
            target,
            at,
            digest,
            [],
        )
        if news and self._news:
            # Three bytes for a longer list.
            room = LARGEST - 3 - len(encode(head)) - sum(map(len, parts))
            most = self._most_tellings()
            # No more than this many are of use: the shortest news has 40 bytes.
            for name in nsmallest(24, self._news, key=self._news.__getitem__):
                raw = self._raw_own() if name == self.name else self._raw(self.members[name])
                if len(raw) > room or len(parts) >= 60:
                    break
                room -= len(raw)
                parts.append(raw)
                self._news[name] += 1
                if self._news[name] >= most:
                    del self._news[name]
        if parts:
            head = msgspec.structs.replace(head, news=[msgspec.Raw(raw) for raw in parts])
        self.host.send(address, encode(head))

    def _raw(self, member: Member) -> bytes:
        if member.raw is None:
            member.raw = encode(
                News(
                    member.name,
                    member.address,
                    member.life,
                    member.incarnation,
                    member.state,
                    member.by,
                    member.told,
                )
            )
        return member.raw

    def news(self, state: State = State.ALIVE) -> News:
        """Its word of itself."""
        return News(self.name, self.address, self.life, self.incarnation, state, "", self.told)

    def _raw_own(self) -> bytes:
        if self._own is None:
            self._own = encode(self.news())
        return self._own

    # -- news --------------------------------------------------------------------------------------

    def _spread(self, name: str) -> None:
        self._news[name] = 0
        if not self._spreads:
            self._spreads = True
            self._after(SPREAD_EVERY // 4, self._spread_news)

    def _spread_record(self, name: str) -> None:
        """What somebody tells of himself: behind news of who is there, half as often, and on probes alone,
        since it is told anew all the time. Of a thousand members the records alone would fill all
        messages."""
        self._news.setdefault(name, self._most_tellings() // 2)

    def _spread_news(self) -> None:
        # What is told for the first times; the rest rides on probes.
        self._spreads = any(told < self._most_tellings() // 2 for told in self._news.values())
        if not self._spreads:
            return
        others = self._some(SPREAD_TO)
        for member in others:
            self._send(member.address, Kind.NEWS)
        if not others:
            # Nobody to tell; who comes later gets all in an exchange.
            self._news.clear()
        self._after(SPREAD_EVERY, self._spread_news)

    def _most_tellings(self) -> int:
        return math.ceil(RETELL * math.log(len(self.members) + 2))

    def _hear(self, news: News) -> None:
        if news.name == self.name:
            self._hear_of_me(news)
            return
        member = self.members.get(news.name)
        if member is None:
            # The dead of others are no business of one who never knew them.
            if news.state in (State.ALIVE, State.SUSPECT):
                self._add(news)
            return
        if news.life == member.life and self._merge(member, news):
            self._spread_record(member.name)
        ahead = newer(news.incarnation, member.incarnation)
        if not ahead and news.incarnation == member.incarnation:
            ahead = news.life > member.life
            if news.life == member.life:
                if news.state is State.SUSPECT and member.state is State.SUSPECT:
                    self._confirm(member, news.by)
                ahead = news.state > member.state
        if not ahead:
            return
        if news.life != member.life:
            member.told = {}
            self._merge(member, news)
        member.life, member.incarnation = news.life, news.incarnation
        member.address = news.address
        self._become(member, news.state, news.by)

    def _add(self, news: News) -> None:
        if len(self.members) >= MOST_MEMBERS:
            self.counts["too_many"] += 1
            return
        member = self.members[news.name] = Member(news, self.now)
        self._merge(member, news)
        # SWIM: a newcomer takes a random place in the round that is under way.
        self._ring.insert(self.chance.randrange(len(self._ring) + 1), member.name)
        self.host.changed(member.name, None, State.ALIVE, "heard of")
        self._changed(member)
        if news.state is State.SUSPECT:
            self._become(member, State.SUSPECT, news.by)

    def _merge(self, member: Member, news: News) -> bool:
        """What it told of itself, field by field, the newer of each; whether anything was."""
        found = False
        for name, (count, value) in news.told.items():
            known = member.told.get(name)
            if known is None or newer(count, known[0]):
                # The dict may be a message's, or shared with one.
                told = member.told | {name: (count, value)}
                if len(encode(told)) > LARGEST_RECORD:
                    # Ever new names from one teller: news of it would fit into no datagram in the end.
                    self.counts["too_many"] += 1
                    continue
                member.told = told
                member.raw = None
                found = True
        return found

    def _become(self, member: Member, state: State, by: str = "", why: str = "told") -> None:
        before, member.state = member.state, state
        self._waits.pop(member.timer, None)
        member.accusers, member.by = [], by if state is State.SUSPECT else ""
        if before is not state:
            member.since = self.now
            self.host.changed(member.name, before, state, f"by {by}" if by else why)
        if state is State.SUSPECT:
            member.accusers = [by]
            self._suspicion(member)
        if state is State.ALIVE and before in (State.DEAD, State.LEFT):
            self._ring.insert(self.chance.randrange(len(self._ring) + 1), member.name)
        self._changed(member)

    def _changed(self, member: Member) -> None:
        member.raw = self._digest = None
        self._spread(member.name)

    def _hear_of_me(self, news: News) -> None:
        mine = news.life == self.life
        ahead = newer(news.incarnation, self.incarnation) or (
            news.incarnation == self.incarnation
            and (news.state is not State.ALIVE if mine else news.life > self.life)
        )
        if not ahead or self.silent:
            return
        if mine and news.state is State.SUSPECT:
            # Lifeguard: somebody had no answer from here in time.
            self._feel(1)
        if not mine and news.state in (State.ALIVE, State.SUSPECT):
            self._bids += 1
            if self._bids > MOST_BIDS * (2 if self.now - self._began > SETTLED else 1):
                self._fall_silent(news.address)
                return
        self.incarnation = (news.incarnation + 1) % WRAP
        self._own = self._digest = None
        self._spread(self.name)

    def _fall_silent(self, address: str) -> None:
        """Two live relays of one name would outbid each other for ever, and their name stand for neither."""
        self.silent = True
        self._probe = None
        self.host.doubled(address)
        self._after(SILENT_FOR + self.chance.randrange(SILENT_FOR), self._speak_again)

    def _speak_again(self) -> None:
        self.silent, self._bids, self._began = False, 0, self.now
        self._join()

    # -- suspicion ---------------------------------------------------------------------------------

    def _suspect(self, member: Member, by: str) -> None:
        if member.state is State.SUSPECT:
            self._confirm(member, by)
        else:
            self._become(member, State.SUSPECT, by, "no answer")
            self._after(self.pace.every, self._look_again, member, member.incarnation)

    def _look_again(self, member: Member, incarnation: int) -> None:
        """Who accuses goes on asking: news of the refutation reaches nearly everybody, and the one that it
        missed would hold a live one dead."""
        if member.state is State.SUSPECT and member.incarnation == incarnation:
            self._ping(member, self._next_number())
            self._after(self.pace.every, self._look_again, member, incarnation)

    def _confirm(self, member: Member, by: str) -> None:
        if by in member.accusers or len(member.accusers) > CONFIRMATIONS:
            return
        member.accusers.append(by)
        # Sent on under the new name: each accuser counts once for everybody.
        member.by, member.raw = by, None
        self._spread(member.name)
        self._waits.pop(member.timer, None)
        self._suspicion(member)

    def _suspicion(self, member: Member) -> None:
        """Lifeguard: long for one accuser, shorter with each more, since one accuser may be the slow one."""
        others = len(self._there())
        shortest = int(ALPHA * max(1.0, math.log10(others + 1)) * self.pace.every)
        need = min(CONFIRMATIONS, others - 1)
        span = shortest
        if need > 0:
            part = math.log(len(member.accusers)) / math.log(need + 1)
            span = max(shortest, int(shortest * (BETA - (BETA - 1) * part)))
        member.timer = self._after(
            max(0, member.since + span - self.now),
            self._suspicion_over,
            member,
            member.incarnation,
            member.life,
        )

    def _suspicion_over(self, member: Member, incarnation: int, life: int) -> None:
        if (member.state, member.incarnation, member.life) != (State.SUSPECT, incarnation, life):
            return
        if self._late:
            # This process stood still, and the answer of the other may lie unread, or was missed.
            member.since = self.now
            self._suspicion(member)
            return
        self._become(member, State.DEAD, why=f"suspected by {len(member.accusers)}")

    def _forget(self) -> None:
        if not self.members:
            return
        for member in [member for member in self.members.values() if member.state >= State.DEAD]:
            if self.now - member.since > (KEPT_LEFT if member.state is State.LEFT else KEPT_DEAD):
                del self.members[member.name]
                self._news.pop(member.name, None)
                self._digest = None
                self.host.changed(member.name, member.state, None, "long gone")

    # -- exchanges ---------------------------------------------------------------------------------

    def _there(self) -> list[Member]:
        return [member for member in self.members.values() if member.state < State.DEAD]

    def _some(self, most: int, but: str = "") -> list[Member]:
        there = [
            member for member in self.members.values() if member.state is State.ALIVE and member.name != but
        ]
        return self.chance.sample(there, min(most, len(there)))

    def _join(self) -> None:
        for address in self.seeds:
            self._send(address, Kind.SYNC, digest=self.digest())

    def _sync(self) -> None:
        scale = max(1.0, math.log2(max(1, len(self.members)) / 32) + 1) if len(self.members) > 32 else 1.0
        self._bids = max(0, self._bids - 1)
        self._after(int(SYNC_EVERY * scale * (0.75 + self.chance.random() / 2)), self._sync)
        for member in self._some(1):
            self._send(member.address, Kind.SYNC, digest=self.digest())

    def _reach_out(self) -> None:
        """To one who is held dead, or a seed that nobody alive is known at: both ends of a cut hold each
        other dead, and would never speak again."""
        self._after(REACH_EVERY + self.chance.randrange(REACH_EVERY // 2), self._reach_out)
        if not self._reach:
            there = {member.address for member in self._there()}
            gone = [member.address for member in self.members.values() if member.state is State.DEAD]
            self._reach = sorted({*gone, *self.seeds} - there)
            self.chance.shuffle(self._reach)
        if self._reach:
            self._send(self._reach.pop(), Kind.SYNC, digest=self.digest(), news=False)

    def _exchange(self, message: Message, first: list[bytes]) -> None:
        if message.digest == self.digest():
            if first:
                self._send(message.address, Kind.NEWS, first=first)
            return
        if self.now - self._exchanged < EXCHANGE_GAP:
            # All that is known costs many datagrams; whoever asks for it again and again gets little.
            self.counts["too_many"] += 1
            if first:
                self._send(message.address, Kind.NEWS, first=first)
            return
        self._exchanged = self.now
        parts = [*first, self._raw_own(), *(self._raw(member) for member in self.members.values())]
        room = LARGEST - 160 - 2 * len(self.fleet) - len(self.name)
        while parts:
            size, count = 0, 0
            while count < min(len(parts), 60) and size + len(parts[count]) <= room:
                size += len(parts[count])
                count += 1
            self._send(message.address, Kind.NEWS, first=parts[:count], news=False)
            parts = parts[count:]
        if message.number == 0:
            self._send(message.address, Kind.SYNC, number=1, digest=self.digest(), news=False)

    def digest(self) -> int:
        """Of who is held to be what; equal where views agree. What members tell of themselves is not in it,
        as that is told anew all the time."""
        if self._digest is None:
            held = sorted(
                (member.name, member.life, member.incarnation, int(member.state))
                for member in self.members.values()
                if member.state < State.DEAD
            )
            held.append((self.name, self.life, self.incarnation, 0))
            held.sort()
            self._digest = int.from_bytes(blake2b(encode(held), digest_size=8).digest(), "big") >> 2
        return self._digest

    def _retell(self) -> None:
        span = max(RETELL_RECORD, EACH * len(self.members))
        self._after(int(span * (0.9 + self.chance.random() / 5)), self._retell)
        if not self.silent:
            self._spread_record(self.name)
