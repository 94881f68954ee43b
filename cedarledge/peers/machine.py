"""State machine of a relay's membership: SWIM with Lifeguard's extensions, without I/O and without a clock.

Members are probed directly and through other members, and a member that does not answer is suspected before
it is declared dead. Updates about members are piggybacked on all messages, and two members compare their
whole views from time to time. Times are ns.

SWIM: Das, Gupta, Motivala, 2002. Lifeguard: Dadgar, Phillips, Currey, 2017. Comments on constants name the
paper that they come from.
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

# SWIM: number of other members that are asked to probe a member that did not answer a direct probe.
INDIRECT_PROBES = 3
# Lifeguard: the local health score goes from 0 (healthy) to this; probe periods and timeouts are multiplied
# by the score plus one.
MAX_HEALTH_SCORE = 8
# Lifeguard: a suspicion lasts ALPHA x log10(members) probe periods once it has this many confirmations, and
# BETA times as long without one.
ALPHA, BETA, EXPECTED_CONFIRMATIONS = 4, 4, 3
# SWIM: each update is transmitted this many times ln(members). With 2, a member of a fleet of 8 missed one
# now and then.
RETRANSMIT_FACTOR = 3
# Period of sending fresh updates in messages of their own, besides piggybacking, and the receivers each time.
GOSSIP_INTERVAL, GOSSIP_FANOUT = 200 * MS, 2
# Period of a full exchange with a random member; longer in large fleets, where an exchange costs more.
SYNC_INTERVAL = 10 * SECOND
# Period of contacting a dead member, or a seed without a live member at its address. This is how the two
# sides of a healed network partition find each other.
RECONNECT_INTERVAL = SECOND
# A relay rebroadcasts its metadata with the first period, or with the second one times the members if that is
# longer, so that the fleet as a whole broadcasts at most 1 / METADATA_INTERVAL_PER_MEMBER records per second.
METADATA_INTERVAL, METADATA_INTERVAL_PER_MEMBER = 5 * SECOND, 250 * MS
# A timer that fires later than this shows that this process was stalled, so missing answers are not the fault
# of other members.
STALL_THRESHOLD = 250 * MS
# How long members are kept after they died or left. A network partition that lasts longer heals through the
# seeds.
DEAD_RETENTION, LEFT_RETENTION = 600 * SECOND, 60 * SECOND
# Resource bounds, as anybody on the network may send datagrams: members, probes on behalf of others that
# await an answer, and the shortest time between two replies with the full view.
MAX_MEMBERS, MAX_RELAYED_PROBES, MIN_FULL_SYNC_GAP = 4096, 256, 100 * MS
# Claims by another instance of the own name that are answered with a higher incarnation before that instance
# is taken for a second live relay of this name, and how long this relay is silent then. A restarted process
# may receive several old updates about its previous instance. A relay that has been active for longer than
# ESTABLISHED_AFTER tolerates twice as many claims, so that the relay that started later gives way.
MAX_NAME_CONFLICTS, ESTABLISHED_AFTER, SILENCE_DURATION = 4, 10 * SECOND, 10 * SECOND


class MembershipHost(Protocol):
    """Effects that the state machine asks its host for."""

    def send(self, address: str, data: bytes) -> None:
        """Sends one datagram; it may be lost."""
        ...

    def set_timer(self, delay: int, token: int) -> None:
        """Requests a call of `Membership.timer_expired` with this token after the delay, ns."""
        ...

    def changed(self, name: str, before: State | None, after: State | None, why: str) -> None:
        """Called when a member's state changes.

        `before` is None for a new member, `after` is None for a member that is removed from the view.
        """

    def name_conflict(self, address: str) -> None:
        """Called when another live relay uses this relay's name and this relay therefore goes silent."""


class ProbeTiming(NamedTuple):
    """The period of probes, and the time within it that the probed member has to answer directly; ns."""

    period: int = 500 * MS
    ack_timeout: int = 200 * MS


DEFAULT_TIMING = ProbeTiming()


class Member:
    """Another relay in the view. `encoded` caches its update as sent on; None if it must be encoded anew."""

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

    def __init__(self, update: MemberUpdate, now: int) -> None:
        """Starts as alive, with the identity that the update carries but without its metadata."""
        self.name = update.name
        self.changed_at = now
        self.accusers: list[str] = []
        self.suspicion_timer = -1
        self.encoded: bytes | None = None
        self.metadata: dict[str, tuple[int, MetadataValue]] = {}
        self.state = State.ALIVE
        self.accuser = ""
        self.address, self.instance_id, self.incarnation = (
            update.address,
            update.instance_id,
            update.incarnation,
        )


class Probe(NamedTuple):
    """The probe of the current period: number, name of the member, and count of proxies asked to probe it."""

    number: int
    name: str
    proxies: int


class Membership:
    """One relay's view of the fleet and its part in the protocol.

    Besides the methods, callers may read `members`, `incarnation`, `health`, `counts` and `silent`.
    """

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
        """Raises ValueError if an address is neither loopback nor private.

        `seed` determines all random choices, also the instance id; relays must not share one.
        """
        parse_private_address(address)
        self.host = host
        self.fleet, self.name, self.address = fleet, name, address
        self.seeds = tuple(
            candidate for candidate in seeds if parse_private_address(candidate) and candidate != address
        )
        self.timing = timing
        self.rng = random.Random(seed)
        self.instance_id = self.rng.getrandbits(62)
        self.incarnation = incarnation
        self.members: dict[str, Member] = {}
        self.health = 0
        self.silent = self.left = False
        self.counts = dict.fromkeys(("malformed", "foreign", "old", "misdirected", "too_many"), 0)
        self.metadata: dict[str, tuple[int, MetadataValue]] = {}
        self.metadata_counter = 0  # version of the last change of `metadata`
        self.now = 0
        self._name_conflicts = 0
        self._active_since = 0  # start of the current period without silence
        self._own_encoded: bytes | None = None
        self._digest: int | None = None
        self._broadcasts: dict[str, int] = {}  # transmissions so far of the pending update, by member name
        self._last_number = 0
        self._probe: Probe | None = None
        self._received_nacks = 0
        self._probe_order: list[str] = []
        self._reconnect_addresses: list[str] = []
        # Probes sent on behalf of others, by own number: the requester's address and number.
        self._relayed_probes: dict[int, tuple[str, int]] = {}
        self._last_full_sync = -MIN_FULL_SYNC_GAP
        self._gossip_scheduled = False
        self._timers: dict[int, tuple[int, Callable[..., None], tuple[Any, ...]]] = {}
        self._last_token = 0
        self._woke_late = False

    # -- called by the host ------------------------------------------------------------------------

    def start(self, now: int) -> None:
        """Contacts the seeds and starts the periodic work. Called once, before anything else."""
        self.now = self._active_since = now
        self._contact_seeds()
        # Random first delays, so that relays that start together do not probe in lockstep.
        self._schedule(self.rng.randrange(self.timing.period), self._end_probe_period)
        self._schedule(self.rng.randrange(SYNC_INTERVAL), self._start_sync)
        self._schedule(RECONNECT_INTERVAL + self.rng.randrange(RECONNECT_INTERVAL), self._reconnect)
        self._schedule(self.rng.randrange(METADATA_INTERVAL), self._republish_metadata)

    def timer_expired(self, now: int, token: int) -> None:
        """Runs what was scheduled under the token; tokens of cancelled timers are ignored."""
        timer = self._timers.pop(token, None)
        if timer is None:
            return
        self.now = now
        due, call, args = timer
        self._woke_late = now - due > STALL_THRESHOLD
        call(*args)

    def received(self, now: int, data: bytes) -> None:
        """Processes one datagram from any sender.

        What cannot be used is dropped and counted, and costs no more than decoding it.
        """
        self.now = now
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts["malformed"] += 1
            return
        try:
            message = decode(data)
            parse_private_address(message.address)
            for update in message.updates:
                parse_private_address(update.address)
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
        """Replies only to an address on this machine, wherever the request was sent from."""
        host, _ = parse_private_address(message.address)
        if host == parse_private_address(self.address)[0] or host.startswith("127."):
            self.host.send(message.address, encode(self.view(self.now, message.number)))

    def set_metadata(self, now: int, **fields: MetadataValue) -> None:
        """Changes fields of this relay's metadata, which other members see with the next update about it.

        Raises ValueError, and leaves the metadata as it is, if all fields together are too large.
        """
        self.now = now
        changed = {
            name: value
            for name, value in fields.items()
            if name not in self.metadata or self.metadata[name][1] != value
        }
        if not changed:
            return
        metadata = dict(self.metadata)
        self.metadata_counter = (self.metadata_counter + 1) % COUNTER_MODULUS
        for name, value in changed.items():
            metadata[name] = (self.metadata_counter, value)
        if len(encode(metadata)) > MAX_METADATA_BYTES:
            raise ValueError(
                f"a relay's metadata is limited to {MAX_METADATA_BYTES} bytes, got: {', '.join(metadata)}"
            )
        self.metadata = metadata
        self._own_encoded = None

    def publish_metadata(self, now: int, **fields: MetadataValue) -> None:
        """Changes metadata like `set_metadata` and broadcasts the change at once."""
        before = self.metadata_counter
        self.set_metadata(now, **fields)
        if self.metadata_counter != before:
            self._broadcast(self.name)

    def leave(self, now: int) -> None:
        """Announces this relay's planned exit to a few members, who spread it. Nothing is sent afterwards."""
        self.now = now
        if self.left or self.silent:
            self.left = True
            return
        left_update = encode(self.own_update(State.LEFT))
        for member in self._random_members(8):
            self._send(member.address, Kind.NEWS, priority_updates=[left_update])
        self.left = True

    def view(self, now: int, first: int = 0, room: int = MAX_DATAGRAM_BYTES) -> View:
        """Returns the view for operators: rows from index `first` on, as many as fit into `room` bytes.

        Row 0 is this relay itself; the members follow by name.
        """
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
        for index in range(first, 1 + len(names)):
            member = self.members[names[index - 1]] if index else None
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

    # -- timers and local health -------------------------------------------------------------------

    def _schedule(self, delay: int, call: Callable[..., None], *args: Any) -> int:
        self._last_token += 1
        self._timers[self._last_token] = (self.now + delay, call, args)
        self.host.set_timer(delay, self._last_token)
        return self._last_token

    def _adjust_health(self, change: int) -> None:
        self.health = max(0, min(MAX_HEALTH_SCORE, self.health + change))

    # -- probes ------------------------------------------------------------------------------------

    def _end_probe_period(self) -> None:
        """Ends a protocol period: suspects the probed member if it did not answer, then probes the next."""
        probe, self._probe = self._probe, None
        member = self.members.get(probe.name) if probe is not None else None
        if self._woke_late:
            # This process was stalled: the probed member's answer may still be unread in the socket.
            self._adjust_health(1)
        elif member is not None:
            # Lifeguard: a relay that got neither an ACK nor a NACK from the proxies is more likely at fault
            # itself.
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
        """Returns the next member to probe, None without members.

        SWIM: round robin in a random order, so that a death is detected within one round.
        """
        for _ in range(2):
            while self._probe_order:
                member = self.members.get(self._probe_order.pop())
                if member is not None and member.state in (State.ALIVE, State.SUSPECT):
                    return member
            self._probe_order = [member.name for member in self._present_members()]
            self.rng.shuffle(self._probe_order)
        return None

    def _ping(self, member: Member, number: int) -> None:
        # Lifeguard's buddy system: a probe of a suspected member tells it first that it is suspected.
        priority_updates = [self._encoded_update(member)] if member.state is State.SUSPECT else []
        self._send(
            member.address, Kind.PING, number=number, target=member.name, priority_updates=priority_updates
        )

    def _send_indirect_probes(self, number: int) -> None:
        probe = self._probe
        if probe is None or probe.number != number or self._woke_late:
            return
        target = self.members[probe.name]
        proxies = self._random_members(INDIRECT_PROBES, excluded=probe.name)
        self._probe = probe._replace(proxies=len(proxies))
        for proxy in proxies:
            self._send(
                proxy.address, Kind.ASK, number=number, target=target.name, target_address=target.address
            )

    def _relayed_probe_timed_out(self, number: int) -> None:
        relayed = self._relayed_probes.pop(number, None)
        if relayed is not None:
            self._send(relayed[0], Kind.NACK, number=relayed[1])

    def _next_number(self) -> int:
        self._last_number = (self._last_number + 1) % COUNTER_MODULUS
        return self._last_number

    # -- messages ----------------------------------------------------------------------------------

    def _classify_undecodable(self, data: bytes) -> str:
        """Returns the counter for a datagram that does not decode.

        Decodes the header alone, which is cheap enough for a flood: a message of another fleet or of an older
        format may have any content behind it.
        """
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
            # Another member had this address before. No answer is correct: that member is not here.
            self.counts["misdirected"] += 1
            return
        claim = MemberUpdate(
            message.name, message.address, message.instance_id, message.incarnation, State.ALIVE
        )
        self._apply_update(claim)
        for update in message.updates:
            self._apply_update(update)
        if self.silent:
            return
        corrections = self._corrections(claim)
        if kind is Kind.PING:
            self._send(message.address, Kind.ACK, number=message.number, priority_updates=corrections)
        elif kind is Kind.SYNC:
            self._handle_sync(message, corrections)
        elif corrections and kind is not Kind.NEWS:
            # A NEWS message gets no correction in reply: two relays that each hold the other's claim for
            # outdated would answer each other without end.
            self._send(message.address, Kind.NEWS, priority_updates=corrections)
        if kind is Kind.ACK:
            self._handle_ack(message.number)
        elif kind is Kind.NACK and self._probe is not None and self._probe.number == message.number:
            self._received_nacks += 1
        elif kind is Kind.ASK:
            self._handle_probe_request(message)

    def _handle_ack(self, number: int) -> None:
        relayed = self._relayed_probes.pop(number, None)
        if relayed is not None:
            self._send(relayed[0], Kind.ACK, number=relayed[1])
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
        # Early enough for the requester, whose own probe period is not much longer.
        self._schedule(self.timing.ack_timeout * 3 // 2, self._relayed_probe_timed_out, number)

    def _corrections(self, claim: MemberUpdate) -> list[bytes]:
        """Returns updates that the sender must see because they override its own claim.

        Either it is suspected, dead or gone in this view, or its name belonged to an earlier instance.
        """
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
        priority_updates: list[bytes] | tuple[bytes, ...] = (),
        digest: int = 0,
        with_updates: bool = True,
    ) -> None:
        """Sends one message and fills it up with pending updates, the least transmitted ones first."""
        if self.silent or self.left:
            return
        encoded_updates = list(priority_updates)
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
            # 3 bytes are kept for the longer header of a non-empty list.
            room = MAX_DATAGRAM_BYTES - 3 - len(encode(head)) - sum(map(len, encoded_updates))
            max_transmissions = self._max_transmissions()
            # More than 24 cannot fit: the shortest update has 40 bytes.
            for name in nsmallest(24, self._broadcasts, key=self._broadcasts.__getitem__):
                encoded = (
                    self._encoded_own_update()
                    if name == self.name
                    else self._encoded_update(self.members[name])
                )
                if len(encoded) > room or len(encoded_updates) >= 60:
                    break
                room -= len(encoded)
                encoded_updates.append(encoded)
                self._broadcasts[name] += 1
                if self._broadcasts[name] >= max_transmissions:
                    del self._broadcasts[name]
        if encoded_updates:
            head = msgspec.structs.replace(
                head, updates=[msgspec.Raw(encoded) for encoded in encoded_updates]
            )
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
        """Returns this relay's update about itself."""
        return MemberUpdate(
            self.name, self.address, self.instance_id, self.incarnation, state, "", self.metadata
        )

    def _encoded_own_update(self) -> bytes:
        if self._own_encoded is None:
            self._own_encoded = encode(self.own_update())
        return self._own_encoded

    # -- dissemination of updates ------------------------------------------------------------------

    def _broadcast(self, name: str) -> None:
        self._broadcasts[name] = 0
        if not self._gossip_scheduled:
            self._gossip_scheduled = True
            self._schedule(GOSSIP_INTERVAL // 4, self._gossip)

    def _broadcast_metadata(self, name: str) -> None:
        """Queues an update that changes nothing but metadata.

        It goes behind changes of state, is transmitted half as often, and only piggybacked: metadata changes
        all the time, and with 1,000 members it would fill all messages.
        """
        self._broadcasts.setdefault(name, self._max_transmissions() // 2)

    def _gossip(self) -> None:
        # Only the first half of an update's transmissions; the rest is piggybacked on probes.
        self._gossip_scheduled = any(
            transmissions < self._max_transmissions() // 2 for transmissions in self._broadcasts.values()
        )
        if not self._gossip_scheduled:
            return
        targets = self._random_members(GOSSIP_FANOUT)
        for member in targets:
            self._send(member.address, Kind.NEWS)
        if not targets:
            # No member to send to; one that joins later gets everything in a full exchange.
            self._broadcasts.clear()
        self._schedule(GOSSIP_INTERVAL, self._gossip)

    def _max_transmissions(self) -> int:
        return math.ceil(RETRANSMIT_FACTOR * math.log(len(self.members) + 2))

    def _apply_update(self, update: MemberUpdate) -> None:
        if update.name == self.name:
            self._apply_own_update(update)
            return
        member = self.members.get(update.name)
        if member is None:
            # A dead or departed member that was never in this view is not added.
            if update.state in (State.ALIVE, State.SUSPECT):
                self._add_member(update)
            return
        if update.instance_id == member.instance_id and self._merge_metadata(member, update):
            self._broadcast_metadata(member.name)
        overrides = is_newer(update.incarnation, member.incarnation)
        if not overrides and update.incarnation == member.incarnation:
            overrides = update.instance_id > member.instance_id
            if update.instance_id == member.instance_id:
                if update.state is State.SUSPECT and member.state is State.SUSPECT:
                    self._confirm_suspicion(member, update.accuser)
                overrides = update.state > member.state
        if not overrides:
            return
        if update.instance_id != member.instance_id:
            member.metadata = {}
            self._merge_metadata(member, update)
        member.instance_id, member.incarnation = update.instance_id, update.incarnation
        member.address = update.address
        self._set_state(member, update.state, update.accuser)

    def _add_member(self, update: MemberUpdate) -> None:
        if len(self.members) >= MAX_MEMBERS:
            self.counts["too_many"] += 1
            return
        member = self.members[update.name] = Member(update, self.now)
        self._merge_metadata(member, update)
        # SWIM: a new member is inserted at a random position of the current probe round.
        self._probe_order.insert(self.rng.randrange(len(self._probe_order) + 1), member.name)
        self.host.changed(member.name, None, State.ALIVE, "new member")
        self._mark_changed(member)
        if update.state is State.SUSPECT:
            self._set_state(member, State.SUSPECT, update.accuser)

    def _merge_metadata(self, member: Member, update: MemberUpdate) -> bool:
        """Merges metadata by field, where the newer version wins. Returns whether anything changed."""
        changed = False
        for name, (count, value) in update.metadata.items():
            known = member.metadata.get(name)
            if known is None or is_newer(count, known[0]):
                # A new dict, as this one may be shared with a message.
                metadata = member.metadata | {name: (count, value)}
                if len(encode(metadata)) > MAX_METADATA_BYTES:
                    # A member that keeps adding fields would grow its update until no datagram can hold it.
                    self.counts["too_many"] += 1
                    continue
                member.metadata = metadata
                member.encoded = None
                changed = True
        return changed

    def _set_state(
        self, member: Member, state: State, accuser: str = "", reason: str = "reported by another member"
    ) -> None:
        before, member.state = member.state, state
        self._timers.pop(member.suspicion_timer, None)
        member.accusers, member.accuser = [], accuser if state is State.SUSPECT else ""
        if before is not state:
            member.changed_at = self.now
            self.host.changed(member.name, before, state, f"by {accuser}" if accuser else reason)
        if state is State.SUSPECT:
            member.accusers = [accuser]
            self._start_suspicion_timer(member)
        if state is State.ALIVE and before in (State.DEAD, State.LEFT):
            self._probe_order.insert(self.rng.randrange(len(self._probe_order) + 1), member.name)
        self._mark_changed(member)

    def _mark_changed(self, member: Member) -> None:
        member.encoded = self._digest = None
        self._broadcast(member.name)

    def _apply_own_update(self, update: MemberUpdate) -> None:
        own_instance = update.instance_id == self.instance_id
        overrides = is_newer(update.incarnation, self.incarnation) or (
            update.incarnation == self.incarnation
            and (update.state is not State.ALIVE if own_instance else update.instance_id > self.instance_id)
        )
        if not overrides or self.silent:
            return
        if own_instance and update.state is State.SUSPECT:
            # Lifeguard: another member got no timely answer from this relay.
            self._adjust_health(1)
        if not own_instance and update.state in (State.ALIVE, State.SUSPECT):
            self._name_conflicts += 1
            if self._name_conflicts > MAX_NAME_CONFLICTS * (
                2 if self.now - self._active_since > ESTABLISHED_AFTER else 1
            ):
                self._go_silent(update.address)
                return
        self.incarnation = (update.incarnation + 1) % COUNTER_MODULUS
        self._own_encoded = self._digest = None
        self._broadcast(self.name)

    def _go_silent(self, address: str) -> None:
        """Stops sending for a while.

        Two live relays of one name would override each other's incarnations without end, and other members
        could not tell which of them the name means.
        """
        self.silent = True
        self._probe = None
        self.host.name_conflict(address)
        self._schedule(SILENCE_DURATION + self.rng.randrange(SILENCE_DURATION), self._end_silence)

    def _end_silence(self) -> None:
        self.silent, self._name_conflicts, self._active_since = False, 0, self.now
        self._contact_seeds()

    # -- suspicion ---------------------------------------------------------------------------------

    def _suspect(self, member: Member, accuser: str) -> None:
        if member.state is State.SUSPECT:
            self._confirm_suspicion(member, accuser)
        else:
            self._set_state(member, State.SUSPECT, accuser, "no answer")
            self._schedule(self.timing.period, self._reprobe_suspect, member, member.incarnation)

    def _reprobe_suspect(self, member: Member, incarnation: int) -> None:
        """Keeps probing a member that this relay suspects.

        A refutation reaches almost all members; an accuser that missed it would declare a live member dead.
        """
        if member.state is State.SUSPECT and member.incarnation == incarnation:
            self._ping(member, self._next_number())
            self._schedule(self.timing.period, self._reprobe_suspect, member, incarnation)

    def _confirm_suspicion(self, member: Member, accuser: str) -> None:
        if accuser in member.accusers or len(member.accusers) > EXPECTED_CONFIRMATIONS:
            return
        member.accusers.append(accuser)
        # Passed on under the new accuser's name, as every member counts each accuser once.
        member.accuser, member.encoded = accuser, None
        self._broadcast(member.name)
        self._timers.pop(member.suspicion_timer, None)
        self._start_suspicion_timer(member)

    def _start_suspicion_timer(self, member: Member) -> None:
        """Sets the time after which a suspected member is declared dead.

        Lifeguard: long with one accuser, which may itself be slow, and shorter with each further one.
        """
        others = len(self._present_members())
        min_timeout = int(ALPHA * max(1.0, math.log10(others + 1)) * self.timing.period)
        expected = min(EXPECTED_CONFIRMATIONS, others - 1)
        timeout = min_timeout
        if expected > 0:
            fraction = math.log(len(member.accusers)) / math.log(expected + 1)
            timeout = max(min_timeout, int(min_timeout * (BETA - (BETA - 1) * fraction)))
        member.suspicion_timer = self._schedule(
            max(0, member.changed_at + timeout - self.now),
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
            # This process was stalled: a refutation may be unread, or was lost meanwhile.
            member.changed_at = self.now
            self._start_suspicion_timer(member)
            return
        self._set_state(member, State.DEAD, reason=f"suspected by {len(member.accusers)}")

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
                self.host.changed(member.name, member.state, None, "retention time is over")

    # -- full exchanges ----------------------------------------------------------------------------

    def _present_members(self) -> list[Member]:
        return [member for member in self.members.values() if member.state < State.DEAD]

    def _random_members(self, count: int, excluded: str = "") -> list[Member]:
        alive = [
            member
            for member in self.members.values()
            if member.state is State.ALIVE and member.name != excluded
        ]
        return self.rng.sample(alive, min(count, len(alive)))

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
        """Contacts a dead member, or a seed without a live member at its address.

        After a network partition each side holds the other for dead, and neither would contact the other
        again.
        """
        self._schedule(RECONNECT_INTERVAL + self.rng.randrange(RECONNECT_INTERVAL // 2), self._reconnect)
        if not self._reconnect_addresses:
            present_addresses = {member.address for member in self._present_members()}
            dead_addresses = [
                member.address for member in self.members.values() if member.state is State.DEAD
            ]
            self._reconnect_addresses = sorted({*dead_addresses, *self.seeds} - present_addresses)
            self.rng.shuffle(self._reconnect_addresses)
        if self._reconnect_addresses:
            self._send(self._reconnect_addresses.pop(), Kind.SYNC, digest=self.digest(), with_updates=False)

    def _handle_sync(self, message: Message, corrections: list[bytes]) -> None:
        if message.digest == self.digest():
            if corrections:
                self._send(message.address, Kind.NEWS, priority_updates=corrections)
            return
        if self.now - self._last_full_sync < MIN_FULL_SYNC_GAP:
            # A full view takes many datagrams, so repeated requests are not answered with it.
            self.counts["too_many"] += 1
            if corrections:
                self._send(message.address, Kind.NEWS, priority_updates=corrections)
            return
        self._last_full_sync = self.now
        encoded_updates = [
            *corrections,
            self._encoded_own_update(),
            *(self._encoded_update(member) for member in self.members.values()),
        ]
        room = MAX_DATAGRAM_BYTES - 160 - 2 * len(self.fleet) - len(self.name)
        while encoded_updates:
            size, count = 0, 0
            while count < min(len(encoded_updates), 60) and size + len(encoded_updates[count]) <= room:
                size += len(encoded_updates[count])
                count += 1
            self._send(
                message.address, Kind.NEWS, priority_updates=encoded_updates[:count], with_updates=False
            )
            encoded_updates = encoded_updates[count:]
        if message.number == 0:
            self._send(message.address, Kind.SYNC, number=1, digest=self.digest(), with_updates=False)

    def digest(self) -> int:
        """Returns a digest of the states of all live members, equal for equal views.

        Metadata is left out, as it changes all the time.
        """
        if self._digest is None:
            entries = sorted(
                (member.name, member.instance_id, member.incarnation, int(member.state))
                for member in self.members.values()
                if member.state < State.DEAD
            )
            entries.append((self.name, self.instance_id, self.incarnation, 0))
            entries.sort()
            self._digest = int.from_bytes(blake2b(encode(entries), digest_size=8).digest(), "big") >> 2
        return self._digest

    def _republish_metadata(self) -> None:
        interval = max(METADATA_INTERVAL, METADATA_INTERVAL_PER_MEMBER * len(self.members))
        self._schedule(int(interval * (0.9 + self.rng.random() / 5)), self._republish_metadata)
        if not self.silent:
            self._broadcast_metadata(self.name)
