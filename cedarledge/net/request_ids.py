"""Which request ids are taken, here and at the other process of this relay during a hot restart.

Backends could not distinguish two requests of one id, so an id that is in use is refused. While two processes
run, the newer one decides: it knows every id that the older one has in use. The older one asks it for each
further one, by a claim, and takes the request only once that is granted.

Clients have a new id for each connection. Where a request may have run and must not run twice, its id stays
taken after the request has ended, so that one that comes again is refused.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum
from itertools import count
from typing import NamedTuple, Protocol

from cedarledge.net.timers import Timer, Timers
from cedarledge.settings import stable_hash
from cedarledge.terms import MS

# How long a claim may take at most; far longer than a pause of a healthy process.
CLAIM_TIMEOUT = 300 * MS


# So many ids of ended requests are remembered; they take 4 MB at most.
MAX_FINISHED_IDS = 1 << 14


class ClaimResult(Enum):
    """What became of a claim."""

    GRANTED = "granted"
    IN_USE = "in use"
    UNANSWERED = "unanswered"  # it is unknown whether the other process has the id in use


ClaimCallback = Callable[[ClaimResult], None]


class IdArbiter(Protocol):
    """The next process, as the process that it replaces sees it."""

    def send_claim(self, number: int, request_id: str) -> None:
        """Asks for an id; the answer goes to `RequestIds.claim_answered` with the same number."""
        ...

    def send_release(self, request_id: str, must_not_run_again: bool) -> None:
        """Tells that an id is no longer in use, and whether it must not be taken again."""
        ...


class _Claim(NamedTuple):
    timer: Timer
    then: ClaimCallback


class FinishedIds:
    """Hashes of the ids of ended requests that must not run again; the oldest is forgotten first."""

    def __init__(self) -> None:
        """Starts without any."""
        self._hashes: set[int] = set()
        self._order: deque[int] = deque()  # the oldest first

    def __contains__(self, request_id: str) -> bool:
        """Returns whether an id was added and is not forgotten yet."""
        return stable_hash(request_id) in self._hashes

    def add(self, request_id: str) -> None:
        """Adds an id."""
        self.merge([stable_hash(request_id)])

    def hashes(self) -> list[int]:
        """Returns the ids' hashes, the oldest first."""
        return list(self._order)

    def merge(self, hashes: Iterable[int]) -> None:
        """Adds the ids of another process, given by `hashes`."""
        for one in hashes:
            if one in self._hashes:
                continue
            if len(self._order) == MAX_FINISHED_IDS:
                self._hashes.remove(self._order.popleft())
            self._hashes.add(one)
            self._order.append(one)


class RequestIds:
    """The ids of this process's requests, of the previous process's, and the claims at the next process.

    `finished` holds those of ended requests that must not run again.
    """

    def __init__(self, timers: Timers) -> None:
        """Starts with no id, and no other process."""
        self._timers = timers
        self._own: set[str] = set()
        self._predecessor: set[str] = set()
        self.finished = FinishedIds()
        self._arbiter: IdArbiter | None = None
        self._numbers = count(1)
        self._claims: dict[int, _Claim] = {}

    def __len__(self) -> int:
        """Returns the number of ids in use at this process."""
        return len(self._own)

    def is_taken(self, request_id: str) -> bool:
        """Returns whether an id is in use, or must not run again, as far as this process knows."""
        return request_id in self._own or request_id in self._predecessor or request_id in self.finished

    def take(self, request_id: str, claim_timeout: int, then: ClaimCallback) -> None:
        """Marks an id as used here, which must be free; `then` gets whether the other process agrees.

        It is called at once unless there is a next process; otherwise within `claim_timeout` ns or
        CLAIM_TIMEOUT. Whatever the result, `release` has to follow.
        """
        self._own.add(request_id)
        self._claim(request_id, claim_timeout, then)

    def release(self, request_id: str, must_not_run_again: bool) -> None:
        """Ends the use of an id that `take` has marked; it stays taken if its request must not run again."""
        self._own.remove(request_id)
        self._ended(request_id, must_not_run_again)

    def _ended(self, request_id: str, must_not_run_again: bool) -> None:
        if must_not_run_again:
            self.finished.add(request_id)
        if self._arbiter is not None:
            self._arbiter.send_release(request_id, must_not_run_again)

    def all_in_use(self) -> list[str]:
        """Returns all ids in use, for the next process."""
        return sorted(self._own | self._predecessor)

    def _claim(self, request_id: str, timeout: int, then: ClaimCallback) -> None:
        if self._arbiter is None:
            then(ClaimResult.GRANTED)
            return
        number = next(self._numbers)
        # After a pause of this process the answer may be there unread.
        timer = self._timers.after_pending_reads(
            min(timeout, CLAIM_TIMEOUT), self._settle, number, ClaimResult.UNANSWERED
        )
        self._claims[number] = _Claim(timer, then)
        self._arbiter.send_claim(number, request_id)

    def _settle(self, number: int, result: ClaimResult) -> None:
        claim = self._claims.pop(number, None)
        if claim is not None:
            self._timers.cancel(claim.timer)
            claim.then(result)

    # -- the next process ----------------------------------------------------------------------------

    def share_with(self, arbiter: IdArbiter) -> None:
        """Asks the next process for each id from now on; `all_in_use` has told it those in use."""
        self._arbiter = arbiter

    def stop_sharing(self) -> None:
        """Goes on without the next process: what was claimed there is free."""
        self._arbiter = None
        for number in list(self._claims):
            self._settle(number, ClaimResult.GRANTED)

    def claim_answered(self, number: int, is_granted: bool) -> None:
        """Handles the next process's answer; does nothing if the claim was settled before."""
        self._settle(number, ClaimResult.GRANTED if is_granted else ClaimResult.IN_USE)

    # -- the previous process ------------------------------------------------------------------------

    def import_from_predecessor(self, ids: Iterable[str], finished: Iterable[int]) -> None:
        """Marks the ids that the previous process has in use, and by hashes its `finished` ones."""
        self._predecessor = set(ids)
        self.finished.merge(finished)

    def claimed_by_predecessor(self, request_id: str, then: Callable[[bool], None]) -> None:
        """Passes to `then` whether the previous process may take an id, and marks it as used there."""
        if self.is_taken(request_id):
            then(False)
            return
        self._predecessor.add(request_id)

        def settled(result: ClaimResult) -> None:
            if result is not ClaimResult.GRANTED:
                self.released_by_predecessor(request_id, False)  # an unanswered claim may be granted late
            then(result is ClaimResult.GRANTED)

        self._claim(request_id, CLAIM_TIMEOUT, settled)

    def released_by_predecessor(self, request_id: str, must_not_run_again: bool) -> None:
        """Ends the use of an id at the previous process."""
        if request_id in self._predecessor:
            self._predecessor.remove(request_id)
            self._ended(request_id, must_not_run_again)

    def forget_predecessor(self) -> None:
        """Ends the use of all ids of the previous process, as that has ended.

        What it had not released may have run.
        """
        for request_id in list(self._predecessor):
            self.released_by_predecessor(request_id, must_not_run_again=True)
