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
LARGEST_VALUE = 520  # two of them go into one datagram
Ballot = tuple[int, int]  # a round, and the place of the voter who began it; the higher goes first
NONE: Ballot = (0, -1)
# A proposer that hears nothing begins again after this, and waits up to twice as long each time. Two that
# outbid each other draw their waits, so that one of them is left alone for long enough.
ANSWERS_WITHIN, BACK_OFF, LONGEST = 400 * MS, 100 * MS, 3 * SECOND
ASK_AGAIN = 500 * MS
# How far past what was heard all voters begin that have all forgotten.
BEGIN_PAST = 1000

Number = Annotated[int, Meta(ge=0, lt=1 << 62)]
Value = Annotated[bytes, Meta(max_length=LARGEST_VALUE)]


class Kind(IntEnum):
    PREPARE = 0  # value: of the number before
    PROMISE = 1  # held: the ballot that its value was taken under, NONE if none was
    ACCEPT = 2
    ACCEPTED = 3
    REFUSE = 4  # ballot: the one that goes first
    HELD = 5  # value: of that number, for good
    WHERE = 6
    AT = 7  # number and value held; top: voted on up to there; base, lives: where all began anew, and who


class Vote(msgspec.Struct, array_like=True, frozen=True):
    """One message between voters."""

    format: Annotated[int, Meta(ge=0)]
    kind: Kind
    place: Annotated[int, Meta(ge=0, le=6)]
    life: Number
    number: Number = 0
    ballot: Ballot = NONE
    held: Ballot = NONE
    value: Value = b""
    wants: Value = b""  # with PREPARE: what is to have the number, if nothing was taken yet
    top: Annotated[int, Meta(ge=-1, lt=1 << 62)] = -1  # below 0: without memory
    floor: Annotated[int, Meta(ge=-1, lt=1 << 62)] = -1  # votes on what is past it; below 0: on nothing
    base: Number = 0
    lives: Annotated[list[Number], Meta(max_length=7)] = []


class Memory(msgspec.Struct, array_like=True, frozen=True):
    """What must outlast a voter."""

    number: Number
    plan: Value
    promised: Ballot
    accepted: Ballot
    value: Value
    floor: Number


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Vote).decode
decode_memory = msgspec.msgpack.Decoder(Memory).decode


class VotesHost(Protocol):
    """What the machine may have done."""

    def send(self, place: int, data: bytes) -> None: ...
    def wake(self, delay: int, token: int) -> None: ...
    def keep(self, memory: bytes) -> None:
        """Before it returns it lasts; or nothing does, and the next life starts without memory."""

    def agrees(self, value: bytes) -> bool:
        """Whether this voter would have such a value. Asked before a promise alone: what may have been taken
        already must be taken again, whoever likes it."""

    def held(self, number: int, value: bytes) -> None:
        """This value has this number, for good. Numbers only grow; some may be passed over."""


class Voter:
    """One of `count` voters, at its place. Public: `number` and `plan`, the last held, and `counts`."""

    def __init__(
        self, host: VotesHost, place: int, count: int, seed: int, memory: bytes | None = None, heard: int = 0
    ) -> None:
        """`heard`: the highest number that is known of elsewhere. A memory that can't be read is none."""
        if count not in (3, 5, 7) or not 0 <= place < count:
            raise ValueError(f"3, 5 or 7 voters are needed, got place {place} of {count}")
        self.host = host
        self.place = place
        self.count = count
        self.majority = count // 2 + 1
        self.chance = random.Random(seed)
        self.life = self.chance.getrandbits(60)
        self.heard = heard
        self.number, self.plan = 0, b""
        self.promised = self.accepted = NONE
        self.value = b""
        self.floor = -1  # votes on what is past it; below 0: on nothing yet
        self.base = 0  # where all began anew, if they did in this life
        self.lives: list[int] = []
        self.counts = {"malformed": 0}
        self._remembers(memory)
        self._asked = 0  # rounds of asking where the others are
        self._forgot: list[int] = []  # all lives, where a whole round had too few with a memory
        self._at: dict[int, Vote] = {}  # what the others say of themselves, while this one has no memory
        self._wanted: bytes | None = None
        self._round = 0
        self._ballot = NONE  # of the proposal that is under way
        self._promises: dict[int, Vote] = {}
        self._accepts: set[int] = set()
        self._proposed = b""
        self._asks = False  # for promises; else for votes
        self._tries = 0
        self._token = 0
        self._due: dict[str, int] = {}  # by the method that is to be called

    def _remembers(self, memory: bytes | None) -> None:
        if memory is None:
            return
        try:
            told = decode_memory(memory)
        except msgspec.MsgspecError:
            return
        self.number, self.plan, self.promised = told.number, told.plan, told.promised
        self.accepted, self.value, self.floor = told.accepted, told.value, told.floor

    # -- what the host calls -----------------------------------------------------------------------

    def start(self) -> None:
        self._ask_where()

    def propose(self, value: bytes) -> None:
        """This value is to have the next number. One at a time; a later one goes before it."""
        if len(value) > LARGEST_VALUE:
            raise ValueError(f"a value has {LARGEST_VALUE} bytes at most")
        idle = self._wanted is None
        self._wanted = value
        if idle:
            self._tries = 0
            self._begin()

    def withdraw(self) -> None:
        """Nothing is wanted any more. What is under way may still be taken; nothing new is begun."""
        self._wanted = None
        if self._ballot == NONE or self._asks:
            self._ballot = NONE
            self._due.pop("_begin", None)
            self._due.pop("_back_off", None)

    def woke(self, token: int) -> None:
        for name, due in list(self._due.items()):
            if due == token:
                del self._due[name]
                getattr(self, name)()

    def received(self, data: bytes) -> None:
        try:
            vote = decode(data)
        except (msgspec.MsgspecError, RecursionError):
            self.counts["malformed"] += 1
            return
        if vote.place < self.count and vote.place != self.place:
            self._take(vote)

    # -- messages ----------------------------------------------------------------------------------

    def _take(self, vote: Vote) -> None:
        (
            self._prepare,
            self._promise,
            self._accept,
            self._accepted,
            self._refuse,
            self._told,
            self._where,
            self._heard_at,
        )[vote.kind](vote)

    def _say(self, place: int, kind: Kind, **told: Any) -> None:
        vote = Vote(FORMAT, kind, self.place, self.life, **told)
        if place == self.place:
            # Its own vote counts as the others' do, and goes the same way.
            self._take(vote)
        else:
            self.host.send(place, encode(vote))

    def _say_all(self, kind: Kind, **told: Any) -> None:
        # Itself last: what it does then may begin something new.
        for place in sorted(range(self.count), key=lambda place: place == self.place):
            self._say(place, kind, **told)

    def _keep(self) -> None:
        self.host.keep(
            encode(Memory(self.number, self.plan, self.promised, self.accepted, self.value, self.floor))
        )

    def _wait(self, delay: int, name: str) -> None:
        """Has that method called; again in its wait, it is called later."""
        self._token += 1
        self._due[name] = self._token
        self.host.wake(delay, self._token)

    def _propose_in(self, delay: int, name: str) -> None:
        """One step of a proposal waits at a time."""
        self._due.pop("_begin", None)
        self._due.pop("_back_off", None)
        self._wait(delay, name)

    # -- one who votes -----------------------------------------------------------------------------

    def _may_vote(self, number: int) -> bool:
        return 0 <= self.floor < number

    def _prepare(self, vote: Vote) -> None:
        if vote.number - 1 > self.number:
            self._hold(vote.number - 1, vote.value)
        if vote.number <= self.number:
            self._say(vote.place, Kind.HELD, number=self.number, value=self.plan)
        elif self._may_vote(vote.number):
            if vote.ballot > self.promised:
                if vote.place != self.place and vote.wants and not self.host.agrees(vote.wants):
                    return
                self.promised = vote.ballot
                self._keep()
                self._say(
                    vote.place,
                    Kind.PROMISE,
                    number=vote.number,
                    ballot=vote.ballot,
                    held=self.accepted,
                    value=self.value,
                )
            elif vote.ballot < self.promised:
                self._say(vote.place, Kind.REFUSE, number=vote.number, ballot=self.promised)

    def _accept(self, vote: Vote) -> None:
        if vote.number <= self.number:
            self._say(vote.place, Kind.HELD, number=self.number, value=self.plan)
        elif vote.number == self.number + 1 and self._may_vote(vote.number):
            if vote.ballot >= self.promised:
                self.promised = self.accepted = vote.ballot
                self.value = vote.value
                self._keep()
                self._say(vote.place, Kind.ACCEPTED, number=vote.number, ballot=vote.ballot)
            else:
                self._say(vote.place, Kind.REFUSE, number=vote.number, ballot=self.promised)

    def _told(self, vote: Vote) -> None:
        if vote.number > self.number:
            self._hold(vote.number, vote.value)

    def _hold(self, number: int, value: bytes) -> None:
        """This number is settled; the next is open, and nothing was promised for it."""
        self.number, self.plan = number, value
        self.promised = self.accepted = NONE
        self.value = b""
        if self.floor >= 0:
            self._keep()
        if value:
            self.host.held(number, value)
        if self._wanted is not None and self.floor >= 0:
            # One without memory goes on asking where the others are, and proposes after that.
            self._ballot = NONE
            if value == self._wanted:
                self._wanted = None
                self._due.pop("_begin", None)
                self._due.pop("_back_off", None)
            else:
                self._back_off()

    # -- one who proposes --------------------------------------------------------------------------

    def _begin(self) -> None:
        if self._wanted is None or self.floor < 0:
            # Without memory it waits for that first; see _settle.
            return
        self._round += 1
        self._ballot = self._round, self.place
        self._promises, self._accepts, self._asks = {}, set(), True
        self._tries += 1
        self._propose_in(ANSWERS_WITHIN, "_back_off")
        self._say_all(
            Kind.PREPARE,
            number=self.number + 1,
            ballot=self._ballot,
            value=self.plan,
            wants=self._wanted,
        )

    def _back_off(self) -> None:
        self._ballot = NONE
        most = min(LONGEST, BACK_OFF << min(self._tries, 8))
        self._propose_in(self.chance.randrange(most) + 1, "_begin")

    def _answers(self, vote: Vote) -> bool:
        return vote.ballot == self._ballot and vote.number == self.number + 1

    def _promise(self, vote: Vote) -> None:
        if not (self._answers(vote) and self._asks):
            return
        self._promises[vote.place] = vote
        if len(self._promises) >= self.majority:
            # What may have been taken already must be taken again; only else is there a choice.
            latest = max(self._promises.values(), key=lambda promise: promise.held)
            self._proposed = latest.value if latest.held > NONE else (self._wanted or b"")
            self._asks = False
            self._say_all(Kind.ACCEPT, number=self.number + 1, ballot=self._ballot, value=self._proposed)

    def _accepted(self, vote: Vote) -> None:
        if not self._answers(vote) or self._asks:
            return
        self._accepts.add(vote.place)
        if len(self._accepts) >= self.majority:
            self._say_all(Kind.HELD, number=vote.number, value=self._proposed)

    def _refuse(self, vote: Vote) -> None:
        self._round = max(self._round, vote.ballot[0])
        if vote.number == self.number + 1 and self._ballot != NONE and vote.ballot > self._ballot:
            self._back_off()

    # -- one without memory ------------------------------------------------------------------------

    @property
    def top(self) -> int:
        """The highest number that it may have voted on; below 0: it can't know."""
        if self.floor < 0:
            return -1
        return max(self.floor, self.number + (self.promised > NONE))

    def _ask_where(self) -> None:
        """For as long as it may not vote on the open number."""
        if not self._may_vote(self.number + 1):
            self._asked += 1
            self._at = {}
            self._wait(ASK_AGAIN, "_ask_where")
            self._say_all(Kind.WHERE, number=self._asked)

    def _where(self, vote: Vote) -> None:
        if vote.place != self.place:
            self._say(
                vote.place,
                Kind.AT,
                number=self.number,
                value=self.plan,
                ballot=(vote.number, vote.place),
                top=self.top,
                floor=self.floor,
                base=self.base,
                lives=self.lives,
            )

    def _heard_at(self, vote: Vote) -> None:
        if self._may_vote(self.number + 1) or vote.ballot[0] != self._asked:
            return
        self._at[vote.place] = vote
        know = [other for other in self._at.values() if other.top >= 0]
        if self.floor < 0 and len(know) >= self.majority:
            self._settle(max(other.top for other in know) + 1)
        elif self.floor < 0 and len(vote.lives) == self.count and vote.lives[self.place] == self.life:
            # Too many had forgotten, and this very life was counted among them.
            self._begin_anew(vote.base, vote.lives)
        elif len(self._at) == self.count - 1:
            self._all_at()

    def _all_at(self) -> None:
        """All others have said where they are."""
        latest = max(self._at.values(), key=lambda other: other.number)
        if latest.number > self.number:
            self._hold(latest.number, latest.value)
        voting = sum(0 <= other.floor <= self.number for other in self._at.values())
        if self._may_vote(self.number + 1) or voting >= self.majority:
            return
        lives = {other.place: other.life for other in self._at.values()} | {self.place: self.life}
        all_lives = [lives[place] for place in range(self.count)]
        if self._forgot != all_lives:
            self._forgot = all_lives
            return
        # Twice in a row: so there was a moment between the rounds when too few could vote, and no life that
        # could not then ever will, on numbers up to here.
        tops = [max(other.number, other.top) for other in self._at.values()]
        self._begin_anew(max(self.heard, self.number, self.top, *tops) + BEGIN_PAST, all_lives)

    def _begin_anew(self, base: int, lives: list[int]) -> None:
        self.base, self.lives = base, lives
        if base > self.number:
            # There is no plan with this number; the first is past it.
            self._hold(base, b"")
        self._settle(base)

    def _settle(self, floor: int) -> None:
        self.floor = floor
        latest = max(self._at.values(), key=lambda other: other.number)
        self._at = {}
        if latest.number > self.number:
            self._hold(latest.number, latest.value)
        self._keep()
        self._begin()
