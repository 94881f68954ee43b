"""One value for each number, taken by a majority of named voters: a register that only goes on.

No I/O, no clock. Lamport's single-decree agreement ("Paxos Made Simple", 2001) for one number after the
other: number n + 1 is open once n is held. Voters are 3, 5 or 7 relays, each known by its place among them;
each may propose. Times are ns.

What a voter has promised must outlast it, else two values of one number could be taken. Where nothing lasts,
one that has started anew is without memory, and votes only on numbers that its former life can't have had:

- A promise for n is asked by one who knows that n - 1 is held, so a majority had voted on n - 1. As many
  others as make a majority, each with its memory, leave no majority without one of them. So it asks them,
  and keeps out of all up to one past the highest number that any of them has voted on.
- Where too few may vote on the open number nothing more can be taken. Whoever has heard so of all the others,
  twice in a row from the same lives, begins anew, well past any number that it has heard of; those lives may
  follow.
"""

from __future__ import annotations

import random
from enum import IntEnum
from typing import Annotated, Any, Protocol

import msgspec
from msgspec import Meta

from cedarledge.terms import MS, SECOND

FORMAT = 1
MAX_VALUE_BYTES = 520  # two of them go into one datagram
Ballot = tuple[int, int]  # a round, and the place of the voter who began it; the higher goes first
NO_BALLOT: Ballot = (0, -1)
# A proposer that hears nothing begins again after this, and waits up to twice as long each time. Two that
# outbid each other draw their waits, so that one of them is left alone for long enough.
ROUND_TIMEOUT, BACKOFF_BASE, MAX_BACKOFF = 400 * MS, 100 * MS, 3 * SECOND
STATUS_RETRY_INTERVAL = 500 * MS
# How far past what was heard all voters begin that have all forgotten.
RESET_MARGIN = 1000

SlotNumber = Annotated[int, Meta(ge=0, lt=1 << 62)]
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]


class Kind(IntEnum):
    PREPARE = 0  # value: of the number before
    PROMISE = 1  # held: the ballot that its value was taken under, NONE if none was
    ACCEPT = 2
    ACCEPTED = 3
    NACK = 4  # ballot: the one that goes first
    CHOSEN = 5  # value: of that number, for good
    STATUS_REQUEST = 6
    STATUS = 7  # number and value held; top: voted on up to there; base, lives: where all began anew, and who


class VoterMessage(msgspec.Struct, array_like=True, frozen=True):
    """One message between voters."""

    format: Annotated[int, Meta(ge=0)]
    kind: Kind
    voter_id: Annotated[int, Meta(ge=0, le=6)]
    instance_id: SlotNumber
    slot: SlotNumber = 0
    ballot: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    value: Value = b""
    proposal: Value = b""  # with PREPARE: what is to have the number, if nothing was taken yet
    highest_voted: Annotated[int, Meta(ge=-1, lt=1 << 62)] = -1  # below 0: without memory
    floor: Annotated[int, Meta(ge=-1, lt=1 << 62)] = -1  # votes on what is past it; below 0: on nothing
    reset_slot: SlotNumber = 0
    reset_instances: Annotated[list[SlotNumber], Meta(max_length=7)] = []


class DurableState(msgspec.Struct, array_like=True, frozen=True):
    """What must outlast a voter."""

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
    """What the machine may have done."""

    def send(self, voter_id: int, data: bytes) -> None: ...
    def set_timer(self, delay: int, token: int) -> None: ...
    def persist(self, memory: bytes) -> None:
        """Before it returns it lasts; or nothing does, and the next life starts without memory."""

    def approves(self, value: bytes) -> bool:
        """Whether this voter would have such a value. Asked before a promise alone: what may have been taken
        already must be taken again, whoever likes it."""

    def chosen(self, slot: int, value: bytes) -> None:
        """This value has this number, for good. Numbers only grow; some may be passed over."""


class Voter:
    """One of `count` voters, at its place. Public: `number` and `plan`, the last held, and `counts`."""

    def __init__(
        self,
        host: VoterHost,
        voter_id: int,
        count: int,
        seed: int,
        memory: bytes | None = None,
        known_slot: int = 0,
    ) -> None:
        """`heard`: the highest number that is known of elsewhere. A memory that can't be read is none."""
        if count not in (3, 5, 7) or not 0 <= voter_id < count:
            raise ValueError(f"3, 5 or 7 voters are needed, got place {voter_id} of {count}")
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
        self.floor = -1  # votes on what is past it; below 0: on nothing yet
        self.reset_slot = 0  # where all began anew, if they did in this life
        self.reset_instances: list[int] = []
        self.counts = {"malformed": 0}
        self._restore(memory)
        self._status_round = 0  # rounds of asking where the others are
        self._previous_instances: list[int] = []  # all lives, where a whole round had too few with a memory
        self._statuses: dict[
            int, VoterMessage
        ] = {}  # what the others say of themselves, while this one has no memory
        self._requested: bytes | None = None
        self._round = 0
        self._ballot = NO_BALLOT  # of the proposal that is under way
        self._promises: dict[int, VoterMessage] = {}
        self._accepts: set[int] = set()
        self._round_value = b""
        self._collecting_promises = False  # for promises; else for votes
        self._attempts = 0
        self._last_token = 0
        self._timers: dict[str, int] = {}  # by the method that is to be called

    def _restore(self, memory: bytes | None) -> None:
        if memory is None:
            return
        try:
            told = decode_state(memory)
        except msgspec.MsgspecError:
            return
        self.chosen_slot, self.chosen_value, self.promised = (
            told.chosen_slot,
            told.chosen_value,
            told.promised,
        )
        self.accepted_ballot, self.accepted_value, self.floor = (
            told.accepted_ballot,
            told.accepted_value,
            told.floor,
        )

    # -- what the host calls -----------------------------------------------------------------------

    def start(self) -> None:
        self._ask_status()

    def propose(self, value: bytes) -> None:
        """This value is to have the next number. One at a time; a later one goes before it."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"a value has {MAX_VALUE_BYTES} bytes at most")
        idle = self._requested is None
        self._requested = value
        if idle:
            self._attempts = 0
            self._begin()

    def withdraw(self) -> None:
        """Nothing is wanted any more. What is under way may still be taken; nothing new is begun."""
        self._requested = None
        if self._ballot == NO_BALLOT or self._collecting_promises:
            self._ballot = NO_BALLOT
            self._timers.pop("_begin", None)
            self._timers.pop("_back_off", None)

    def timer_expired(self, token: int) -> None:
        for name, due in list(self._timers.items()):
            if due == token:
                del self._timers[name]
                getattr(self, name)()

    def received(self, data: bytes) -> None:
        try:
            vote = decode(data)
        except (msgspec.MsgspecError, RecursionError):
            self.counts["malformed"] += 1
            return
        if vote.voter_id < self.count and vote.voter_id != self.voter_id:
            self._handle(vote)

    # -- messages ----------------------------------------------------------------------------------

    def _handle(self, vote: VoterMessage) -> None:
        (
            self._handle_prepare,
            self._handle_promise,
            self._handle_accept,
            self._handle_accepted,
            self._handle_nack,
            self._handle_chosen,
            self._handle_status_request,
            self._handle_status,
        )[vote.kind](vote)

    def _send(self, recipient: int, kind: Kind, **fields: Any) -> None:
        vote = VoterMessage(FORMAT, kind, self.voter_id, self.instance_id, **fields)
        if recipient == self.voter_id:
            # Its own vote counts as the others' do, and goes the same way.
            self._handle(vote)
        else:
            self.host.send(recipient, encode(vote))

    def _broadcast(self, kind: Kind, **fields: Any) -> None:
        # Itself last: what it does then may begin something new.
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
        """Has that method called; again in its wait, it is called later."""
        self._last_token += 1
        self._timers[name] = self._last_token
        self.host.set_timer(delay, self._last_token)

    def _schedule_proposal(self, delay: int, name: str) -> None:
        """One step of a proposal waits at a time."""
        self._timers.pop("_begin", None)
        self._timers.pop("_back_off", None)
        self._schedule(delay, name)

    # -- one who votes -----------------------------------------------------------------------------

    def _may_vote(self, slot: int) -> bool:
        return 0 <= self.floor < slot

    def _handle_prepare(self, vote: VoterMessage) -> None:
        if vote.slot - 1 > self.chosen_slot:
            self._learn_chosen(vote.slot - 1, vote.value)
        if vote.slot <= self.chosen_slot:
            self._send(vote.voter_id, Kind.CHOSEN, slot=self.chosen_slot, value=self.chosen_value)
        elif self._may_vote(vote.slot):
            if vote.ballot > self.promised:
                if vote.voter_id != self.voter_id and vote.proposal and not self.host.approves(vote.proposal):
                    return
                self.promised = vote.ballot
                self._persist()
                self._send(
                    vote.voter_id,
                    Kind.PROMISE,
                    slot=vote.slot,
                    ballot=vote.ballot,
                    accepted_ballot=self.accepted_ballot,
                    value=self.accepted_value,
                )
            elif vote.ballot < self.promised:
                self._send(vote.voter_id, Kind.NACK, slot=vote.slot, ballot=self.promised)

    def _handle_accept(self, vote: VoterMessage) -> None:
        if vote.slot <= self.chosen_slot:
            self._send(vote.voter_id, Kind.CHOSEN, slot=self.chosen_slot, value=self.chosen_value)
        elif vote.slot == self.chosen_slot + 1 and self._may_vote(vote.slot):
            if vote.ballot >= self.promised:
                self.promised = self.accepted_ballot = vote.ballot
                self.accepted_value = vote.value
                self._persist()
                self._send(vote.voter_id, Kind.ACCEPTED, slot=vote.slot, ballot=vote.ballot)
            else:
                self._send(vote.voter_id, Kind.NACK, slot=vote.slot, ballot=self.promised)

    def _handle_chosen(self, vote: VoterMessage) -> None:
        if vote.slot > self.chosen_slot:
            self._learn_chosen(vote.slot, vote.value)

    def _learn_chosen(self, slot: int, value: bytes) -> None:
        """This number is settled; the next is open, and nothing was promised for it."""
        self.chosen_slot, self.chosen_value = slot, value
        self.promised = self.accepted_ballot = NO_BALLOT
        self.accepted_value = b""
        if self.floor >= 0:
            self._persist()
        if value:
            self.host.chosen(slot, value)
        if self._requested is not None and self.floor >= 0:
            # One without memory goes on asking where the others are, and proposes after that.
            self._ballot = NO_BALLOT
            if value == self._requested:
                self._requested = None
                self._timers.pop("_begin", None)
                self._timers.pop("_back_off", None)
            else:
                self._back_off()

    # -- one who proposes --------------------------------------------------------------------------

    def _begin(self) -> None:
        if self._requested is None or self.floor < 0:
            # Without memory it waits for that first; see _settle.
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
        most = min(MAX_BACKOFF, BACKOFF_BASE << min(self._attempts, 8))
        self._schedule_proposal(self.rng.randrange(most) + 1, "_begin")

    def _matches_round(self, vote: VoterMessage) -> bool:
        return vote.ballot == self._ballot and vote.slot == self.chosen_slot + 1

    def _handle_promise(self, vote: VoterMessage) -> None:
        if not (self._matches_round(vote) and self._collecting_promises):
            return
        self._promises[vote.voter_id] = vote
        if len(self._promises) >= self.majority:
            # What may have been taken already must be taken again; only else is there a choice.
            latest = max(self._promises.values(), key=lambda promise: promise.accepted_ballot)
            self._round_value = (
                latest.value if latest.accepted_ballot > NO_BALLOT else (self._requested or b"")
            )
            self._collecting_promises = False
            self._broadcast(
                Kind.ACCEPT, slot=self.chosen_slot + 1, ballot=self._ballot, value=self._round_value
            )

    def _handle_accepted(self, vote: VoterMessage) -> None:
        if not self._matches_round(vote) or self._collecting_promises:
            return
        self._accepts.add(vote.voter_id)
        if len(self._accepts) >= self.majority:
            self._broadcast(Kind.CHOSEN, slot=vote.slot, value=self._round_value)

    def _handle_nack(self, vote: VoterMessage) -> None:
        self._round = max(self._round, vote.ballot[0])
        if vote.slot == self.chosen_slot + 1 and self._ballot != NO_BALLOT and vote.ballot > self._ballot:
            self._back_off()

    # -- one without memory ------------------------------------------------------------------------

    @property
    def highest_voted(self) -> int:
        """The highest number that it may have voted on; below 0: it can't know."""
        if self.floor < 0:
            return -1
        return max(self.floor, self.chosen_slot + (self.promised > NO_BALLOT))

    def _ask_status(self) -> None:
        """For as long as it may not vote on the open number."""
        if not self._may_vote(self.chosen_slot + 1):
            self._status_round += 1
            self._statuses = {}
            self._schedule(STATUS_RETRY_INTERVAL, "_ask_status")
            self._broadcast(Kind.STATUS_REQUEST, slot=self._status_round)

    def _handle_status_request(self, vote: VoterMessage) -> None:
        if vote.voter_id != self.voter_id:
            self._send(
                vote.voter_id,
                Kind.STATUS,
                slot=self.chosen_slot,
                value=self.chosen_value,
                ballot=(vote.slot, vote.voter_id),
                highest_voted=self.highest_voted,
                floor=self.floor,
                reset_slot=self.reset_slot,
                reset_instances=self.reset_instances,
            )

    def _handle_status(self, vote: VoterMessage) -> None:
        if self._may_vote(self.chosen_slot + 1) or vote.ballot[0] != self._status_round:
            return
        self._statuses[vote.voter_id] = vote
        know = [other for other in self._statuses.values() if other.highest_voted >= 0]
        if self.floor < 0 and len(know) >= self.majority:
            self._finish_recovery(max(other.highest_voted for other in know) + 1)
        elif (
            self.floor < 0
            and len(vote.reset_instances) == self.count
            and vote.reset_instances[self.voter_id] == self.instance_id
        ):
            # Too many had forgotten, and this very life was counted among them.
            self._reset(vote.reset_slot, vote.reset_instances)
        elif len(self._statuses) == self.count - 1:
            self._handle_all_statuses()

    def _handle_all_statuses(self) -> None:
        """All others have said where they are."""
        latest = max(self._statuses.values(), key=lambda other: other.slot)
        if latest.slot > self.chosen_slot:
            self._learn_chosen(latest.slot, latest.value)
        voting = sum(0 <= other.floor <= self.chosen_slot for other in self._statuses.values())
        if self._may_vote(self.chosen_slot + 1) or voting >= self.majority:
            return
        instances = {other.voter_id: other.instance_id for other in self._statuses.values()} | {
            self.voter_id: self.instance_id
        }
        all_instances = [instances[voter_id] for voter_id in range(self.count)]
        if self._previous_instances != all_instances:
            self._previous_instances = all_instances
            return
        # Twice in a row: so there was a moment between the rounds when too few could vote, and no life that
        # could not then ever will, on numbers up to here.
        highest = [max(other.slot, other.highest_voted) for other in self._statuses.values()]
        self._reset(
            max(self.known_slot, self.chosen_slot, self.highest_voted, *highest) + RESET_MARGIN, all_instances
        )

    def _reset(self, reset_slot: int, reset_instances: list[int]) -> None:
        self.reset_slot, self.reset_instances = reset_slot, reset_instances
        if reset_slot > self.chosen_slot:
            # There is no plan with this number; the first is past it.
            self._learn_chosen(reset_slot, b"")
        self._finish_recovery(reset_slot)

    def _finish_recovery(self, floor: int) -> None:
        self.floor = floor
        latest = max(self._statuses.values(), key=lambda other: other.slot)
        self._statuses = {}
        if latest.slot > self.chosen_slot:
            self._learn_chosen(latest.slot, latest.value)
        self._persist()
        self._begin()
