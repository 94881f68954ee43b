"""A register whose slots are filled one after the other, each by a majority of named voters.

Single-decree Paxos (Lamport, "Paxos Made Simple", 2001) per slot: slot n + 1 is open once a value for slot n
is chosen. There are 3, 5 or 7 voters, all relays. Each is proposer, acceptor and learner, and is identified
by its index. No I/O, no clock; times are ns.

An acceptor must not forget its promises and votes, or two values could be chosen for one slot. A voter that
restarts without stored state therefore votes only on slots on which its earlier instance cannot have voted:

- A proposer asks for promises on slot n only when it knows the value of slot n - 1, so a majority had voted
  on slot n - 1. If as many other voters as make a majority still have their state, at least one of them was
  in that majority. The restarted voter asks for their status and does not vote on slots up to one past the
  highest slot on which any of them voted.
- When too few voters may vote on the open slot, nothing more can be chosen. A voter that learns this from all
  others, in 2 consecutive rounds and from the same instances, resets the register to a slot far above all
  slots that it knows of; the other instances of those rounds may follow.
"""

from __future__ import annotations

import random
from enum import IntEnum
from typing import Annotated, Any, Protocol

import msgspec
from msgspec import Meta

from cedarledge.terms import MS, SECOND

FORMAT = 1
MAX_VALUE_BYTES = 520  # so that 2 values fit into a datagram
Ballot = tuple[int, int]  # round, index of its proposer; the higher ballot wins
NO_BALLOT: Ballot = (0, -1)
# Timeout of a proposer's round, and bounds of the backoff before the next one, which doubles with each
# attempt. The backoff is random, so that two competing proposers do not preempt each other forever.
ROUND_TIMEOUT, BACKOFF_BASE, MAX_BACKOFF = 400 * MS, 100 * MS, 3 * SECOND
STATUS_RETRY_INTERVAL = 500 * MS
# Distance of a reset from the highest known slot.
RESET_MARGIN = 1000

SlotNumber = Annotated[int, Meta(ge=0, lt=1 << 62)]
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]


class Kind(IntEnum):
    """Message types of Paxos and of the status exchange for recovery, with fields that need a comment."""

    PREPARE = 0  # value: of the previous slot; proposal: see VoterMessage
    PROMISE = 1  # accepted_ballot, value: of the vote in this slot, NO_BALLOT without one
    ACCEPT = 2
    ACCEPTED = 3
    NACK = 4  # ballot: the higher one that was promised
    CHOSEN = 5  # value: of the slot
    STATUS_REQUEST = 6  # slot: the requester's status round
    STATUS = 7  # slot, value: the last chosen; ballot: status round and requester; the fields from floor on


class VoterMessage(msgspec.Struct, array_like=True, frozen=True):
    """One datagram between voters. Which fields are used depends on the kind."""

    format: Annotated[int, Meta(ge=0)]
    kind: Kind
    voter_id: Annotated[int, Meta(ge=0, le=6)]  # of the sender
    instance_id: SlotNumber  # random, drawn when the sender's process starts
    slot: SlotNumber = 0
    ballot: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    value: Value = b""
    proposal: Value = b""  # with PREPARE: the value to propose if none was accepted yet
    highest_voted: Annotated[int, Meta(ge=-1, lt=1 << 62)] = -1  # last slot with a vote, -1: unknown
    floor: Annotated[int, Meta(ge=-1, lt=1 << 62)] = -1  # votes on higher slots only, -1: on none
    reset_slot: SlotNumber = 0  # 0: no reset
    reset_instances: Annotated[list[SlotNumber], Meta(max_length=7)] = []  # that took part in it


class DurableState(msgspec.Struct, array_like=True, frozen=True):
    """What a voter must persist to vote on after a restart."""

    chosen_slot: SlotNumber
    chosen_value: Value
    promised: Ballot
    accepted_ballot: Ballot
    accepted_value: Value
    floor: SlotNumber


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(VoterMessage).decode
decode_state = msgspec.msgpack.Decoder(DurableState).decode


class VoterHost(Protocol):
    """Effects and decisions that a voter asks its host for."""

    def send(self, voter_id: int, data: bytes) -> None:
        """Sends one datagram to another voter; it may be lost."""
        ...

    def set_timer(self, delay: int, token: int) -> None:
        """Requests a call of `Voter.timer_expired` with this token after the delay, ns."""
        ...

    def persist(self, state: bytes) -> None:
        """Stores the state durably before it returns.

        A host without durable storage must start the next instance without stored state.
        """

    def approves(self, value: bytes) -> bool:
        """Whether this voter agrees with a proposed value.

        Asked only before a promise: a value that may have been accepted already must be proposed again in any
        case.
        """

    def chosen(self, slot: int, value: bytes) -> None:
        """Called when the value of a slot is final. Slots only increase, and some may be skipped."""


class Voter:
    """One of `count` voters.

    Callers may read `chosen_slot` and `chosen_value`, the last chosen, and `counts`.
    """

    def __init__(
        self,
        host: VoterHost,
        voter_id: int,
        count: int,
        seed: int,
        stored_state: bytes | None = None,
        known_slot: int = 0,
    ) -> None:
        """Raises ValueError for an unsupported number of voters or an index out of range.

        `stored_state` is what an earlier instance persisted; None, or bytes that do not decode, for a start
        without it. `known_slot` is the highest slot that other relays know of.
        """
        if count not in (3, 5, 7) or not 0 <= voter_id < count:
            raise ValueError(f"3, 5 or 7 voters are needed, got index {voter_id} of {count}")
        self.host = host
        self.voter_id = voter_id
        self.count = count
        self.majority = count // 2 + 1
        self.rng = random.Random(seed)
        self.instance_id = self.rng.getrandbits(60)
        self.known_slot = known_slot
        self.chosen_slot, self.chosen_value = 0, b""
        self.promised = self.accepted_ballot = NO_BALLOT
        self.accepted_value = b""
        self.floor = -1  # votes on higher slots only, -1: on none yet
        self.reset_slot = 0  # of the last reset during this instance
        self.reset_instances: list[int] = []
        self.counts = {"malformed": 0}
        self._restore(stored_state)
        self._status_round = 0
        self._previous_instances: list[int] = []  # of a status round in which too few could vote
        self._statuses: dict[int, VoterMessage] = {}  # by sender, of the current status round
        self._requested: bytes | None = None  # the value that the host wants to have chosen
        self._round = 0
        self._ballot = NO_BALLOT  # of the own round that is in progress
        self._promises: dict[int, VoterMessage] = {}
        self._accepts: set[int] = set()
        self._round_value = b""
        self._collecting_promises = False  # phase 1 of the round; else phase 2
        self._attempts = 0
        self._last_token = 0
        self._timers: dict[str, int] = {}  # tokens by the name of the method to call

    def _restore(self, stored_state: bytes | None) -> None:
        if stored_state is None:
            return
        try:
            state = decode_state(stored_state)
        except msgspec.MsgspecError:
            return
        self.chosen_slot, self.chosen_value, self.promised = (
            state.chosen_slot,
            state.chosen_value,
            state.promised,
        )
        self.accepted_ballot, self.accepted_value, self.floor = (
            state.accepted_ballot,
            state.accepted_value,
            state.floor,
        )

    # -- called by the host ------------------------------------------------------------------------

    def start(self) -> None:
        """Asks the other voters for their status if this one may not vote yet. Called once, first."""
        self._ask_status()

    def propose(self, value: bytes) -> None:
        """Proposes a value for the next slot until it is chosen.

        There is one proposal at a time; a later one replaces it. Raises ValueError for a value that is too
        large.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"a value may have at most {MAX_VALUE_BYTES} bytes")
        idle = self._requested is None
        self._requested = value
        if idle:
            self._attempts = 0
            self._begin()

    def withdraw(self) -> None:
        """Drops the proposal. A value already in phase 2 may still be chosen; no new round is started."""
        self._requested = None
        if self._ballot == NO_BALLOT or self._collecting_promises:
            self._ballot = NO_BALLOT
            self._timers.pop("_begin", None)
            self._timers.pop("_back_off", None)

    def timer_expired(self, token: int) -> None:
        """Runs what was scheduled under the token; tokens of replaced timers are ignored."""
        for name, due in list(self._timers.items()):
            if due == token:
                del self._timers[name]
                getattr(self, name)()

    def received(self, data: bytes) -> None:
        """Processes one datagram; a malformed one is dropped and counted."""
        try:
            message = decode(data)
        except (msgspec.MsgspecError, RecursionError):
            self.counts["malformed"] += 1
            return
        if message.voter_id < self.count and message.voter_id != self.voter_id:
            self._handle(message)

    # -- messages ----------------------------------------------------------------------------------

    def _handle(self, message: VoterMessage) -> None:
        (
            self._handle_prepare,
            self._handle_promise,
            self._handle_accept,
            self._handle_accepted,
            self._handle_nack,
            self._handle_chosen,
            self._handle_status_request,
            self._handle_status,
        )[message.kind](message)

    def _send(self, recipient: int, kind: Kind, **fields: Any) -> None:
        message = VoterMessage(FORMAT, kind, self.voter_id, self.instance_id, **fields)
        if recipient == self.voter_id:
            # The voter's own vote is counted like the others', through the same code.
            self._handle(message)
        else:
            self.host.send(recipient, encode(message))

    def _broadcast(self, kind: Kind, **fields: Any) -> None:
        # Itself last, as handling the message may start a new round.
        for voter_id in sorted(range(self.count), key=lambda voter_id: voter_id == self.voter_id):
            self._send(voter_id, kind, **fields)

    def _persist(self) -> None:
        self.host.persist(
            encode(
                DurableState(
                    self.chosen_slot,
                    self.chosen_value,
                    self.promised,
                    self.accepted_ballot,
                    self.accepted_value,
                    self.floor,
                )
            )
        )

    def _schedule(self, delay: int, name: str) -> None:
        """Schedules a call of the named method; replaces a pending call of the same method."""
        self._last_token += 1
        self._timers[name] = self._last_token
        self.host.set_timer(delay, self._last_token)

    def _schedule_proposal(self, delay: int, name: str) -> None:
        """Schedules the next step of the proposal in place of any other pending step."""
        self._timers.pop("_begin", None)
        self._timers.pop("_back_off", None)
        self._schedule(delay, name)

    # -- acceptor and learner ----------------------------------------------------------------------

    def _may_vote(self, slot: int) -> bool:
        return 0 <= self.floor < slot

    def _handle_prepare(self, message: VoterMessage) -> None:
        if message.slot - 1 > self.chosen_slot:
            self._learn_chosen(message.slot - 1, message.value)
        if message.slot <= self.chosen_slot:
            self._send(message.voter_id, Kind.CHOSEN, slot=self.chosen_slot, value=self.chosen_value)
        elif self._may_vote(message.slot):
            if message.ballot > self.promised:
                if (
                    message.voter_id != self.voter_id
                    and message.proposal
                    and not self.host.approves(message.proposal)
                ):
                    return
                self.promised = message.ballot
                self._persist()
                self._send(
                    message.voter_id,
                    Kind.PROMISE,
                    slot=message.slot,
                    ballot=message.ballot,
                    accepted_ballot=self.accepted_ballot,
                    value=self.accepted_value,
                )
            elif message.ballot < self.promised:
                self._send(message.voter_id, Kind.NACK, slot=message.slot, ballot=self.promised)

    def _handle_accept(self, message: VoterMessage) -> None:
        if message.slot <= self.chosen_slot:
            self._send(message.voter_id, Kind.CHOSEN, slot=self.chosen_slot, value=self.chosen_value)
        elif message.slot == self.chosen_slot + 1 and self._may_vote(message.slot):
            if message.ballot >= self.promised:
                self.promised = self.accepted_ballot = message.ballot
                self.accepted_value = message.value
                self._persist()
                self._send(message.voter_id, Kind.ACCEPTED, slot=message.slot, ballot=message.ballot)
            else:
                self._send(message.voter_id, Kind.NACK, slot=message.slot, ballot=self.promised)

    def _handle_chosen(self, message: VoterMessage) -> None:
        if message.slot > self.chosen_slot:
            self._learn_chosen(message.slot, message.value)

    def _learn_chosen(self, slot: int, value: bytes) -> None:
        """Records the value of a slot and opens the next slot, for which nothing is promised yet."""
        self.chosen_slot, self.chosen_value = slot, value
        self.promised = self.accepted_ballot = NO_BALLOT
        self.accepted_value = b""
        if self.floor >= 0:
            self._persist()
        if value:
            self.host.chosen(slot, value)
        if self._requested is not None and self.floor >= 0:
            # A voter in recovery (floor below 0) continues with that, and proposes afterwards.
            self._ballot = NO_BALLOT
            if value == self._requested:
                self._requested = None
                self._timers.pop("_begin", None)
                self._timers.pop("_back_off", None)
            else:
                self._back_off()

    # -- proposer ----------------------------------------------------------------------------------

    def _begin(self) -> None:
        if self._requested is None or self.floor < 0:
            # Recovery comes first; _finish_recovery calls this method again.
            return
        self._round += 1
        self._ballot = self._round, self.voter_id
        self._promises, self._accepts, self._collecting_promises = {}, set(), True
        self._attempts += 1
        self._schedule_proposal(ROUND_TIMEOUT, "_back_off")
        self._broadcast(
            Kind.PREPARE,
            slot=self.chosen_slot + 1,
            ballot=self._ballot,
            value=self.chosen_value,
            proposal=self._requested,
        )

    def _back_off(self) -> None:
        self._ballot = NO_BALLOT
        limit = min(MAX_BACKOFF, BACKOFF_BASE << min(self._attempts, 8))
        self._schedule_proposal(self.rng.randrange(limit) + 1, "_begin")

    def _matches_round(self, message: VoterMessage) -> bool:
        return message.ballot == self._ballot and message.slot == self.chosen_slot + 1

    def _handle_promise(self, message: VoterMessage) -> None:
        if not (self._matches_round(message) and self._collecting_promises):
            return
        self._promises[message.voter_id] = message
        if len(self._promises) >= self.majority:
            # A value that may have been chosen already must be proposed again.
            latest = max(self._promises.values(), key=lambda promise: promise.accepted_ballot)
            self._round_value = (
                latest.value if latest.accepted_ballot > NO_BALLOT else (self._requested or b"")
            )
            self._collecting_promises = False
            self._broadcast(
                Kind.ACCEPT, slot=self.chosen_slot + 1, ballot=self._ballot, value=self._round_value
            )

    def _handle_accepted(self, message: VoterMessage) -> None:
        if not self._matches_round(message) or self._collecting_promises:
            return
        self._accepts.add(message.voter_id)
        if len(self._accepts) >= self.majority:
            self._broadcast(Kind.CHOSEN, slot=message.slot, value=self._round_value)

    def _handle_nack(self, message: VoterMessage) -> None:
        self._round = max(self._round, message.ballot[0])
        if (
            message.slot == self.chosen_slot + 1
            and self._ballot != NO_BALLOT
            and message.ballot > self._ballot
        ):
            self._back_off()

    # -- recovery without stored state -------------------------------------------------------------

    @property
    def highest_voted(self) -> int:
        """The highest slot on which this voter may have voted; -1 if it cannot know."""
        if self.floor < 0:
            return -1
        return max(self.floor, self.chosen_slot + (self.promised > NO_BALLOT))

    def _ask_status(self) -> None:
        """Requests the status of all voters, again and again until this one may vote on the open slot."""
        if not self._may_vote(self.chosen_slot + 1):
            self._status_round += 1
            self._statuses = {}
            self._schedule(STATUS_RETRY_INTERVAL, "_ask_status")
            self._broadcast(Kind.STATUS_REQUEST, slot=self._status_round)

    def _handle_status_request(self, message: VoterMessage) -> None:
        if message.voter_id != self.voter_id:
            self._send(
                message.voter_id,
                Kind.STATUS,
                slot=self.chosen_slot,
                value=self.chosen_value,
                ballot=(message.slot, message.voter_id),
                highest_voted=self.highest_voted,
                floor=self.floor,
                reset_slot=self.reset_slot,
                reset_instances=self.reset_instances,
            )

    def _handle_status(self, message: VoterMessage) -> None:
        if self._may_vote(self.chosen_slot + 1) or message.ballot[0] != self._status_round:
            return
        self._statuses[message.voter_id] = message
        with_state = [status for status in self._statuses.values() if status.highest_voted >= 0]
        if self.floor < 0 and len(with_state) >= self.majority:
            self._finish_recovery(max(status.highest_voted for status in with_state) + 1)
        elif (
            self.floor < 0
            and len(message.reset_instances) == self.count
            and message.reset_instances[self.voter_id] == self.instance_id
        ):
            # Another voter has reset the register after a status round that included this instance.
            self._reset(message.reset_slot, message.reset_instances)
        elif len(self._statuses) == self.count - 1:
            self._handle_all_statuses()

    def _handle_all_statuses(self) -> None:
        """Finishes a status round in which all other voters replied."""
        latest = max(self._statuses.values(), key=lambda status: status.slot)
        if latest.slot > self.chosen_slot:
            self._learn_chosen(latest.slot, latest.value)
        voting = sum(0 <= status.floor <= self.chosen_slot for status in self._statuses.values())
        if self._may_vote(self.chosen_slot + 1) or voting >= self.majority:
            return
        instances = {status.voter_id: status.instance_id for status in self._statuses.values()} | {
            self.voter_id: self.instance_id
        }
        all_instances = [instances[voter_id] for voter_id in range(self.count)]
        if self._previous_instances != all_instances:
            self._previous_instances = all_instances
            return
        # The same in 2 consecutive rounds: at one moment between them too few voters could vote, and none of
        # these instances will ever vote on slots up to here.
        highest = [max(status.slot, status.highest_voted) for status in self._statuses.values()]
        self._reset(
            max(self.known_slot, self.chosen_slot, self.highest_voted, *highest) + RESET_MARGIN, all_instances
        )

    def _reset(self, reset_slot: int, reset_instances: list[int]) -> None:
        self.reset_slot, self.reset_instances = reset_slot, reset_instances
        if reset_slot > self.chosen_slot:
            # This slot stays without a value; the first chosen one is above it.
            self._learn_chosen(reset_slot, b"")
        self._finish_recovery(reset_slot)

    def _finish_recovery(self, floor: int) -> None:
        self.floor = floor
        latest = max(self._statuses.values(), key=lambda status: status.slot)
        self._statuses = {}
        if latest.slot > self.chosen_slot:
            self._learn_chosen(latest.slot, latest.value)
        self._persist()
        self._begin()
