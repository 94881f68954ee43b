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
    COUNTER_MODULUS,
    FORMAT,
    MAX_DATAGRAM_BYTES,
    MAX_METADATA_BYTES,
    OLDEST_FORMAT,
    Kind,
    MemberUpdate,
    Message,
    MetadataValue,
    Row,
    State,
    View,
    decode,
    decode_header,
    encode,
    is_newer,
    parse_private_address,
)
from cedarledge.terms import MS, SECOND

# SWIM: so many others are asked to ping whom this one gets no answer from.
INDIRECT_PROBES = 3
# Lifeguard: local health goes from 0, good, to this; periods and time-outs are one more times as long.
MAX_HEALTH_SCORE = 8
# Lifeguard: suspicion lasts ALPHA x log10(members) periods once this many have confirmed it, BETA times that
# before.
ALPHA, BETA, EXPECTED_CONFIRMATIONS = 4, 4, 3
# SWIM: each piece of news is sent on so often x ln(members). With 2 a fleet of 8 misses one now and then.
RETRANSMIT_FACTOR = 3
# Fresh news goes to so many others each time, besides what rides on probes.
GOSSIP_INTERVAL, GOSSIP_FANOUT = 200 * MS, 2
# A full exchange with somebody; rarer in large fleets, by what one costs there.
SYNC_INTERVAL = 10 * SECOND
# One who is held dead, or a seed that nobody is known at, is tried this often: a cut that heals is found by
# this.
RECONNECT_INTERVAL = SECOND
# The own record is told anew at least so often; all relays together tell at most 1 / EACH of them a second.
METADATA_INTERVAL, METADATA_INTERVAL_PER_MEMBER = 5 * SECOND, 250 * MS
# A wake later than this says that this process stood still: nobody else is to blame for what it did not hear.
STALL_THRESHOLD = 250 * MS
# How long the dead are remembered, and those who left; a cut that lasts longer is mended through the seeds.
DEAD_RETENTION, LEFT_RETENTION = 600 * SECOND, 60 * SECOND
# Bounds against what anybody on the network may send.
MAX_MEMBERS, MAX_RELAYED_PROBES, MIN_FULL_SYNC_GAP = 4096, 256, 100 * MS
# Bids over another life of the own name before it is taken for a second relay of that name, and how long
# such a one then keeps silent. A process that was started again may hear several old words of its former
# life. Who has been there for a while bids twice as often, so that it is the newcomer who gives way.
MAX_NAME_CONFLICTS, ESTABLISHED_AFTER, SILENCE_DURATION = 4, 10 * SECOND, 10 * SECOND


class MembershipHost(Protocol):
    """What the machine may have done."""

    def send(self, address: str, data: bytes) -> None: ...
    def set_timer(self, delay: int, token: int) -> None: ...
    def changed(self, name: str, before: State | None, after: State | None, why: str) -> None:
        """The view has changed: before None for a newcomer, after None for one that is forgotten."""

    def name_conflict(self, address: str) -> None:
        """Another relay of this one's name is alive there, and this one keeps silent for a while."""


class ProbeTiming(NamedTuple):
    """How fast members are probed: a period, and the part of it in which a direct answer must come."""

    period: int = 500 * MS
    ack_timeout: int = 200 * MS


DEFAULT_TIMING = ProbeTiming()


class Member:
    """One other relay. `raw` is its news as sent on, made anew where it is None."""

    __slots__ = (
        "accuser",
        "accusers",
        "address",
        "changed_at",
        "encoded",
        "incarnation",
        "instance_id",
        "metadata",
        "name",
        "state",
        "suspicion_timer",
    )

    def __init__(self, news: MemberUpdate, now: int) -> None:
        self.name = news.name
        self.changed_at = now
        self.accusers: list[str] = []
        self.suspicion_timer = -1
        self.encoded: bytes | None = None
        self.metadata: dict[str, tuple[int, MetadataValue]] = {}
        self.state = State.ALIVE
        self.accuser = ""
        self.address, self.instance_id, self.incarnation = news.address, news.instance_id, news.incarnation


class Probe(NamedTuple):
    number: int
    name: str
    proxies: int


class Membership:
    """The view of one relay. All but `members`, `incarnation`, `health`, `counts` and `silent` is its own."""

    def __init__(
        self,
        host: MembershipHost,
        fleet: str,
        name: str,
        address: str,
        seeds: tuple[str, ...] = (),
        timing: ProbeTiming = DEFAULT_TIMING,
        seed: int = 0,
        incarnation: int = 0,
    ) -> None:
        """Raises ValueError for an address that is not a near one."""
        parse_private_address(address)
        self.host = host
        self.fleet, self.name, self.address = fleet, name, address
        self.seeds = tuple(told for told in seeds if parse_private_address(told) and told != address)
        self.timing = timing
        self.rng = random.Random(seed)
        self.instance_id = self.rng.getrandbits(62)
        self.incarnation = incarnation
        self.members: dict[str, Member] = {}
        self.health = 0
        self.silent = self.left = False
        self.counts = dict.fromkeys(("malformed", "foreign", "old", "misdirected", "too_many"), 0)
        self.metadata: dict[str, tuple[int, MetadataValue]] = {}
        self.metadata_counter = 0  # of what this relay has told of itself
        self.now = 0
        self._name_conflicts = 0
        self._active_since = 0  # to speak
        self._own_encoded: bytes | None = None
        self._digest: int | None = None
        self._broadcasts: dict[str, int] = {}  # of whom there is news, and how often it was told
        self._last_number = 0
        self._probe: Probe | None = None
        self._received_nacks = 0
        self._probe_order: list[str] = []
        self._reconnect_addresses: list[str] = []
        self._relayed_probes: dict[
            int, tuple[str, int]
        ] = {}  # pings made for others: who asked, and their number
        self._last_full_sync = -MIN_FULL_SYNC_GAP
        self._gossip_scheduled = False
        self._timers: dict[int, tuple[int, Callable[..., None], tuple[Any, ...]]] = {}
        self._last_token = 0
        self._woke_late = False

    # -- what the host calls -----------------------------------------------------------------------

    def start(self, now: int) -> None:
        self.now = self._active_since = now
        self._contact_seeds()
        # Relays that start together must not probe in step.
        self._schedule(self.rng.randrange(self.timing.period), self._end_probe_period)
        self._schedule(self.rng.randrange(SYNC_INTERVAL), self._start_sync)
        self._schedule(RECONNECT_INTERVAL + self.rng.randrange(RECONNECT_INTERVAL), self._reconnect)
        self._schedule(self.rng.randrange(METADATA_INTERVAL), self._republish_metadata)

    def timer_expired(self, now: int, token: int) -> None:
        wait = self._timers.pop(token, None)
        if wait is None:
            return
        self.now = now
        due, call, args = wait
        self._woke_late = now - due > STALL_THRESHOLD
        call(*args)

    def received(self, now: int, data: bytes) -> None:
        """A datagram from wherever. What can't be used is counted, and costs no more than reading it."""
        self.now = now
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts["malformed"] += 1
            return
        try:
            message = decode(data)
            parse_private_address(message.address)
            for news in message.updates:
                parse_private_address(news.address)
        except (ValueError, RecursionError):
            self.counts[self._classify_undecodable(data)] += 1
            return
        if message.fleet != self.fleet:
            self.counts["foreign"] += 1
        elif message.format < OLDEST_FORMAT:
            self.counts["old"] += 1
        elif message.kind is Kind.SHOW:
            self._send_view(message)
        elif not (message.name == self.name and message.instance_id == self.instance_id) and not self.left:
            self._handle(message)

    def _send_view(self, message: Message) -> None:
        """To staff on this machine alone, wherever the question came from."""
        host, _ = parse_private_address(message.address)
        if host == parse_private_address(self.address)[0] or host.startswith("127."):
            self.host.send(message.address, encode(self.view(self.now, message.number)))

    def set_metadata(self, now: int, **fields: MetadataValue) -> None:
        """What this relay says of itself has changed. Told with the next news; Raises ValueError for what is
        too large together."""
        self.now = now
        changed = {
            name: value
            for name, value in fields.items()
            if name not in self.metadata or self.metadata[name][1] != value
        }
        if not changed:
            return
        told = dict(self.metadata)
        self.metadata_counter = (self.metadata_counter + 1) % COUNTER_MODULUS
        for name, value in changed.items():
            told[name] = (self.metadata_counter, value)
        if len(encode(told)) > MAX_METADATA_BYTES:
            raise ValueError(
                f"a relay may tell {MAX_METADATA_BYTES} bytes of itself, no more: {', '.join(told)}"
            )
        self.metadata = told
        self._own_encoded = None

    def publish_metadata(self, now: int, **fields: MetadataValue) -> None:
        """As tell, for what must not wait for its turn."""
        before = self.metadata_counter
        self.set_metadata(now, **fields)
        if self.metadata_counter != before:
            self._broadcast(self.name)

    def leave(self, now: int) -> None:
        """This relay ends as planned: says so to some, who tell the rest. Nothing is sent after it."""
        self.now = now
        if self.left or self.silent:
            self.left = True
            return
        word = encode(self.own_update(State.LEFT))
        for member in self._random_members(8):
            self._send(member.address, Kind.NEWS, first=[word])
        self.left = True

    def view(self, now: int, first: int = 0, room: int = MAX_DATAGRAM_BYTES) -> View:
        """The view for staff, this relay's own row first, from that row on as far as it goes into `room`
        bytes."""
        own = Row(
            self.name,
            self.address,
            "silent" if self.silent else "self",
            0,
            self.incarnation,
            {name: value for name, (_, value) in self.metadata.items()},
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
                    (now - member.changed_at) // MS,
                    member.incarnation,
                    {name: value for name, (_, value) in member.metadata.items()},
                )
            )
            size += len(encode(row))
            if size > room:
                break
            rows.append(row)
        return head

    # -- time --------------------------------------------------------------------------------------

    def _schedule(self, delay: int, call: Callable[..., None], *args: Any) -> int:
        self._last_token += 1
        self._timers[self._last_token] = (self.now + delay, call, args)
        self.host.set_timer(delay, self._last_token)
        return self._last_token

    def _adjust_health(self, change: int) -> None:
        self.health = max(0, min(MAX_HEALTH_SCORE, self.health + change))

    # -- probes ------------------------------------------------------------------------------------

    def _end_probe_period(self) -> None:
        """One protocol period ends, with a verdict on whom it was about, and the next begins."""
        probe, self._probe = self._probe, None
        member = self.members.get(probe.name) if probe is not None else None
        if self._woke_late:
            # A process that stood still would suspect whom it was probing, whose answer lies unread.
            self._adjust_health(1)
        elif member is not None:
            # Lifeguard: who asked others and heard from none of them, not even that there was no answer, is
            # more likely at fault itself.
            self._adjust_health(probe.proxies - self._received_nacks if probe.proxies else 1)
            if member.state in (State.ALIVE, State.SUSPECT):
                self._suspect(member, self.name)
        self._schedule(self.timing.period * (1 + self.health), self._end_probe_period)
        self._remove_expired()
        target = self._next_probe_target()
        if target is None or self.silent or self.left:
            return
        self._probe = Probe(self._next_number(), target.name, 0)
        self._received_nacks = 0
        self._ping(target, self._probe.number)
        self._schedule(
            self.timing.ack_timeout * (1 + self.health), self._send_indirect_probes, self._probe.number
        )

    def _next_probe_target(self) -> Member | None:
        """SWIM: members in a random order, each once a round, so that a death is seen within a round."""
        for _ in range(2):
            while self._probe_order:
                member = self.members.get(self._probe_order.pop())
                if member is not None and member.state in (State.ALIVE, State.SUSPECT):
                    return member
            self._probe_order = [member.name for member in self._present_members()]
            self.rng.shuffle(self._probe_order)
        return None

    def _ping(self, member: Member, number: int) -> None:
        # Lifeguard's buddy: whoever is suspected hears of it from who probes it, before anything else.
        first = [self._encoded_update(member)] if member.state is State.SUSPECT else []
        self._send(member.address, Kind.PING, number=number, target=member.name, first=first)

    def _send_indirect_probes(self, number: int) -> None:
        probe = self._probe
        if probe is None or probe.number != number or self._woke_late:
            return
        target = self.members[probe.name]
        proxies = self._random_members(INDIRECT_PROBES, but=probe.name)
        self._probe = probe._replace(proxies=len(proxies))
        for proxy in proxies:
            self._send(
                proxy.address, Kind.ASK, number=number, target=target.name, target_address=target.address
            )

    def _relayed_probe_timed_out(self, number: int) -> None:
        favour = self._relayed_probes.pop(number, None)
        if favour is not None:
            self._send(favour[0], Kind.NACK, number=favour[1])

    def _next_number(self) -> int:
        self._last_number = (self._last_number + 1) % COUNTER_MODULUS
        return self._last_number

    # -- messages ----------------------------------------------------------------------------------

    def _classify_undecodable(self, data: bytes) -> str:
        """Cheap enough for a flood: what is not of this fleet or format need not make sense otherwise."""
        try:
            head = decode_header(data)
        except (ValueError, RecursionError):
            return "malformed"
        return (
            "foreign" if head.fleet != self.fleet else "old" if head.format < OLDEST_FORMAT else "malformed"
        )

    def _handle(self, message: Message) -> None:
        kind = message.kind
        if kind is Kind.PING and message.target != self.name:
            # Somebody else had this address. Silence is the true answer for that one.
            self.counts["misdirected"] += 1
            return
        claim = MemberUpdate(
            message.name, message.address, message.instance_id, message.incarnation, State.ALIVE
        )
        self._apply_update(claim)
        for news in message.updates:
            self._apply_update(news)
        if self.silent:
            return
        first = self._corrections(claim)
        if kind is Kind.PING:
            self._send(message.address, Kind.ACK, number=message.number, first=first)
        elif kind is Kind.SYNC:
            self._handle_sync(message, first)
        elif first and kind is not Kind.NEWS:
            # Two that both object, and neither gives way, would answer each other as fast as they can.
            self._send(message.address, Kind.NEWS, first=first)
        if kind is Kind.ACK:
            self._handle_ack(message.number)
        elif kind is Kind.NACK and self._probe is not None and self._probe.number == message.number:
            self._received_nacks += 1
        elif kind is Kind.ASK:
            self._handle_probe_request(message)

    def _handle_ack(self, number: int) -> None:
        favour = self._relayed_probes.pop(number, None)
        if favour is not None:
            self._send(favour[0], Kind.ACK, number=favour[1])
        elif self._probe is not None and self._probe.number == number:
            self._probe = None
            self._adjust_health(-1)

    def _handle_probe_request(self, message: Message) -> None:
        if len(self._relayed_probes) >= MAX_RELAYED_PROBES:
            self.counts["too_many"] += 1
            return
        try:
            parse_private_address(message.target_address)
        except ValueError:
            self.counts["malformed"] += 1
            return
        number = self._next_number()
        self._relayed_probes[number] = (message.address, message.number)
        self._send(message.target_address, Kind.PING, number=number, target=message.target)
        # In time for the one who asked: his own period is not much longer.
        self._schedule(self.timing.ack_timeout * 3 // 2, self._relayed_probe_timed_out, number)

    def _corrections(self, claim: MemberUpdate) -> list[bytes]:
        """What this relay holds of a sender and that he must hear, since it goes over what he says himself:
        that he is dead here, or that his name had a life before."""
        if claim.name == self.name:
            return [self._encoded_own_update()]
        member = self.members.get(claim.name)
        if member is None or (member.state is State.ALIVE and member.instance_id == claim.instance_id):
            return []
        if is_newer(claim.incarnation, member.incarnation):
            return []
        return [self._encoded_update(member)]

    def _send(
        self,
        address: str,
        kind: Kind,
        number: int = 0,
        target: str = "",
        target_address: str = "",
        first: list[bytes] | tuple[bytes, ...] = (),
        digest: int = 0,
        with_updates: bool = True,
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
            self.instance_id,
            self.incarnation,
            number,
            target,
            target_address,
            digest,
            [],
        )
        if with_updates and self._broadcasts:
            # Three bytes for a longer list.
            room = MAX_DATAGRAM_BYTES - 3 - len(encode(head)) - sum(map(len, parts))
            most = self._max_transmissions()
            # No more than this many are of use: the shortest news has 40 bytes.
            for name in nsmallest(24, self._broadcasts, key=self._broadcasts.__getitem__):
                raw = (
                    self._encoded_own_update()
                    if name == self.name
                    else self._encoded_update(self.members[name])
                )
                if len(raw) > room or len(parts) >= 60:
                    break
                room -= len(raw)
                parts.append(raw)
                self._broadcasts[name] += 1
                if self._broadcasts[name] >= most:
                    del self._broadcasts[name]
        if parts:
            head = msgspec.structs.replace(head, updates=[msgspec.Raw(raw) for raw in parts])
        self.host.send(address, encode(head))

    def _encoded_update(self, member: Member) -> bytes:
        if member.encoded is None:
            member.encoded = encode(
                MemberUpdate(
                    member.name,
                    member.address,
                    member.instance_id,
                    member.incarnation,
                    member.state,
                    member.accuser,
                    member.metadata,
                )
            )
        return member.encoded

    def own_update(self, state: State = State.ALIVE) -> MemberUpdate:
        """Its word of itself."""
        return MemberUpdate(
            self.name, self.address, self.instance_id, self.incarnation, state, "", self.metadata
        )

    def _encoded_own_update(self) -> bytes:
        if self._own_encoded is None:
            self._own_encoded = encode(self.own_update())
        return self._own_encoded

    # -- news --------------------------------------------------------------------------------------

    def _broadcast(self, name: str) -> None:
        self._broadcasts[name] = 0
        if not self._gossip_scheduled:
            self._gossip_scheduled = True
            self._schedule(GOSSIP_INTERVAL // 4, self._gossip)

    def _broadcast_metadata(self, name: str) -> None:
        """What somebody tells of himself: behind news of who is there, half as often, and on probes alone,
        since it is told anew all the time. Of a thousand members the records alone would fill all
        messages."""
        self._broadcasts.setdefault(name, self._max_transmissions() // 2)

    def _gossip(self) -> None:
        # What is told for the first times; the rest rides on probes.
        self._gossip_scheduled = any(
            told < self._max_transmissions() // 2 for told in self._broadcasts.values()
        )
        if not self._gossip_scheduled:
            return
        others = self._random_members(GOSSIP_FANOUT)
        for member in others:
            self._send(member.address, Kind.NEWS)
        if not others:
            # Nobody to tell; who comes later gets all in an exchange.
            self._broadcasts.clear()
        self._schedule(GOSSIP_INTERVAL, self._gossip)

    def _max_transmissions(self) -> int:
        return math.ceil(RETRANSMIT_FACTOR * math.log(len(self.members) + 2))

    def _apply_update(self, news: MemberUpdate) -> None:
        if news.name == self.name:
            self._apply_own_update(news)
            return
        member = self.members.get(news.name)
        if member is None:
            # The dead of others are no business of one who never knew them.
            if news.state in (State.ALIVE, State.SUSPECT):
                self._add_member(news)
            return
        if news.instance_id == member.instance_id and self._merge_metadata(member, news):
            self._broadcast_metadata(member.name)
        ahead = is_newer(news.incarnation, member.incarnation)
        if not ahead and news.incarnation == member.incarnation:
            ahead = news.instance_id > member.instance_id
            if news.instance_id == member.instance_id:
                if news.state is State.SUSPECT and member.state is State.SUSPECT:
                    self._confirm_suspicion(member, news.accuser)
                ahead = news.state > member.state
        if not ahead:
            return
        if news.instance_id != member.instance_id:
            member.metadata = {}
            self._merge_metadata(member, news)
        member.instance_id, member.incarnation = news.instance_id, news.incarnation
        member.address = news.address
        self._set_state(member, news.state, news.accuser)

    def _add_member(self, news: MemberUpdate) -> None:
        if len(self.members) >= MAX_MEMBERS:
            self.counts["too_many"] += 1
            return
        member = self.members[news.name] = Member(news, self.now)
        self._merge_metadata(member, news)
        # SWIM: a newcomer takes a random place in the round that is under way.
        self._probe_order.insert(self.rng.randrange(len(self._probe_order) + 1), member.name)
        self.host.changed(member.name, None, State.ALIVE, "heard of")
        self._mark_changed(member)
        if news.state is State.SUSPECT:
            self._set_state(member, State.SUSPECT, news.accuser)

    def _merge_metadata(self, member: Member, news: MemberUpdate) -> bool:
        """What it told of itself, field by field, the newer of each; whether anything was."""
        found = False
        for name, (count, value) in news.metadata.items():
            known = member.metadata.get(name)
            if known is None or is_newer(count, known[0]):
                # The dict may be a message's, or shared with one.
                told = member.metadata | {name: (count, value)}
                if len(encode(told)) > MAX_METADATA_BYTES:
                    # Ever new names from one teller: news of it would fit into no datagram in the end.
                    self.counts["too_many"] += 1
                    continue
                member.metadata = told
                member.encoded = None
                found = True
        return found

    def _set_state(self, member: Member, state: State, by: str = "", why: str = "told") -> None:
        before, member.state = member.state, state
        self._timers.pop(member.suspicion_timer, None)
        member.accusers, member.accuser = [], by if state is State.SUSPECT else ""
        if before is not state:
            member.changed_at = self.now
            self.host.changed(member.name, before, state, f"by {by}" if by else why)
        if state is State.SUSPECT:
            member.accusers = [by]
            self._start_suspicion_timer(member)
        if state is State.ALIVE and before in (State.DEAD, State.LEFT):
            self._probe_order.insert(self.rng.randrange(len(self._probe_order) + 1), member.name)
        self._mark_changed(member)

    def _mark_changed(self, member: Member) -> None:
        member.encoded = self._digest = None
        self._broadcast(member.name)

    def _apply_own_update(self, news: MemberUpdate) -> None:
        mine = news.instance_id == self.instance_id
        ahead = is_newer(news.incarnation, self.incarnation) or (
            news.incarnation == self.incarnation
            and (news.state is not State.ALIVE if mine else news.instance_id > self.instance_id)
        )
        if not ahead or self.silent:
            return
        if mine and news.state is State.SUSPECT:
            # Lifeguard: somebody had no answer from here in time.
            self._adjust_health(1)
        if not mine and news.state in (State.ALIVE, State.SUSPECT):
            self._name_conflicts += 1
            if self._name_conflicts > MAX_NAME_CONFLICTS * (
                2 if self.now - self._active_since > ESTABLISHED_AFTER else 1
            ):
                self._go_silent(news.address)
                return
        self.incarnation = (news.incarnation + 1) % COUNTER_MODULUS
        self._own_encoded = self._digest = None
        self._broadcast(self.name)

    def _go_silent(self, address: str) -> None:
        """Two live relays of one name would outbid each other for ever, and their name stand for neither."""
        self.silent = True
        self._probe = None
        self.host.name_conflict(address)
        self._schedule(SILENCE_DURATION + self.rng.randrange(SILENCE_DURATION), self._end_silence)

    def _end_silence(self) -> None:
        self.silent, self._name_conflicts, self._active_since = False, 0, self.now
        self._contact_seeds()

    # -- suspicion ---------------------------------------------------------------------------------

    def _suspect(self, member: Member, by: str) -> None:
        if member.state is State.SUSPECT:
            self._confirm_suspicion(member, by)
        else:
            self._set_state(member, State.SUSPECT, by, "no answer")
            self._schedule(self.timing.period, self._reprobe_suspect, member, member.incarnation)

    def _reprobe_suspect(self, member: Member, incarnation: int) -> None:
        """Who accuses goes on asking: news of the refutation reaches nearly everybody, and the one that it
        missed would hold a live one dead."""
        if member.state is State.SUSPECT and member.incarnation == incarnation:
            self._ping(member, self._next_number())
            self._schedule(self.timing.period, self._reprobe_suspect, member, incarnation)

    def _confirm_suspicion(self, member: Member, by: str) -> None:
        if by in member.accusers or len(member.accusers) > EXPECTED_CONFIRMATIONS:
            return
        member.accusers.append(by)
        # Sent on under the new name: each accuser counts once for everybody.
        member.accuser, member.encoded = by, None
        self._broadcast(member.name)
        self._timers.pop(member.suspicion_timer, None)
        self._start_suspicion_timer(member)

    def _start_suspicion_timer(self, member: Member) -> None:
        """Lifeguard: long for one accuser, shorter with each more, since one accuser may be the slow one."""
        others = len(self._present_members())
        shortest = int(ALPHA * max(1.0, math.log10(others + 1)) * self.timing.period)
        need = min(EXPECTED_CONFIRMATIONS, others - 1)
        span = shortest
        if need > 0:
            part = math.log(len(member.accusers)) / math.log(need + 1)
            span = max(shortest, int(shortest * (BETA - (BETA - 1) * part)))
        member.suspicion_timer = self._schedule(
            max(0, member.changed_at + span - self.now),
            self._suspicion_timed_out,
            member,
            member.incarnation,
            member.instance_id,
        )

    def _suspicion_timed_out(self, member: Member, incarnation: int, instance_id: int) -> None:
        if (member.state, member.incarnation, member.instance_id) != (
            State.SUSPECT,
            incarnation,
            instance_id,
        ):
            return
        if self._woke_late:
            # This process stood still, and the answer of the other may lie unread, or was missed.
            member.changed_at = self.now
            self._start_suspicion_timer(member)
            return
        self._set_state(member, State.DEAD, why=f"suspected by {len(member.accusers)}")

    def _remove_expired(self) -> None:
        if not self.members:
            return
        for member in [member for member in self.members.values() if member.state >= State.DEAD]:
            if self.now - member.changed_at > (
                LEFT_RETENTION if member.state is State.LEFT else DEAD_RETENTION
            ):
                del self.members[member.name]
                self._broadcasts.pop(member.name, None)
                self._digest = None
                self.host.changed(member.name, member.state, None, "long gone")

    # -- exchanges ---------------------------------------------------------------------------------

    def _present_members(self) -> list[Member]:
        return [member for member in self.members.values() if member.state < State.DEAD]

    def _random_members(self, most: int, but: str = "") -> list[Member]:
        there = [
            member for member in self.members.values() if member.state is State.ALIVE and member.name != but
        ]
        return self.rng.sample(there, min(most, len(there)))

    def _contact_seeds(self) -> None:
        for address in self.seeds:
            self._send(address, Kind.SYNC, digest=self.digest())

    def _start_sync(self) -> None:
        scale = max(1.0, math.log2(max(1, len(self.members)) / 32) + 1) if len(self.members) > 32 else 1.0
        self._name_conflicts = max(0, self._name_conflicts - 1)
        self._schedule(int(SYNC_INTERVAL * scale * (0.75 + self.rng.random() / 2)), self._start_sync)
        for member in self._random_members(1):
            self._send(member.address, Kind.SYNC, digest=self.digest())

    def _reconnect(self) -> None:
        """To one who is held dead, or a seed that nobody alive is known at: both ends of a cut hold each
        other dead, and would never speak again."""
        self._schedule(RECONNECT_INTERVAL + self.rng.randrange(RECONNECT_INTERVAL // 2), self._reconnect)
        if not self._reconnect_addresses:
            there = {member.address for member in self._present_members()}
            gone = [member.address for member in self.members.values() if member.state is State.DEAD]
            self._reconnect_addresses = sorted({*gone, *self.seeds} - there)
            self.rng.shuffle(self._reconnect_addresses)
        if self._reconnect_addresses:
            self._send(self._reconnect_addresses.pop(), Kind.SYNC, digest=self.digest(), with_updates=False)

    def _handle_sync(self, message: Message, first: list[bytes]) -> None:
        if message.digest == self.digest():
            if first:
                self._send(message.address, Kind.NEWS, first=first)
            return
        if self.now - self._last_full_sync < MIN_FULL_SYNC_GAP:
            # All that is known costs many datagrams; whoever asks for it again and again gets little.
            self.counts["too_many"] += 1
            if first:
                self._send(message.address, Kind.NEWS, first=first)
            return
        self._last_full_sync = self.now
        parts = [
            *first,
            self._encoded_own_update(),
            *(self._encoded_update(member) for member in self.members.values()),
        ]
        room = MAX_DATAGRAM_BYTES - 160 - 2 * len(self.fleet) - len(self.name)
        while parts:
            size, count = 0, 0
            while count < min(len(parts), 60) and size + len(parts[count]) <= room:
                size += len(parts[count])
                count += 1
            self._send(message.address, Kind.NEWS, first=parts[:count], with_updates=False)
            parts = parts[count:]
        if message.number == 0:
            self._send(message.address, Kind.SYNC, number=1, digest=self.digest(), with_updates=False)

    def digest(self) -> int:
        """Of who is held to be what; equal where views agree. What members tell of themselves is not in it,
        as that is told anew all the time."""
        if self._digest is None:
            held = sorted(
                (member.name, member.instance_id, member.incarnation, int(member.state))
                for member in self.members.values()
                if member.state < State.DEAD
            )
            held.append((self.name, self.instance_id, self.incarnation, 0))
            held.sort()
            self._digest = int.from_bytes(blake2b(encode(held), digest_size=8).digest(), "big") >> 2
        return self._digest

    def _republish_metadata(self) -> None:
        span = max(METADATA_INTERVAL, METADATA_INTERVAL_PER_MEMBER * len(self.members))
        self._schedule(int(span * (0.9 + self.rng.random() / 5)), self._republish_metadata)
        if not self.silent:
            self._broadcast_metadata(self.name)
