"""Which request ids are in use, here and at the other process of this relay during a hot restart.

Backends could not distinguish two requests of one id, so an id that is in use is refused. While two processes
run, the newer one decides: it knows every id that the older one has in use. The older one asks it for each
further one, by a claim, and takes the request only once that is granted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from itertools import count
from typing import NamedTuple, Protocol

from cedarledge.net.timers import Timer, Timers
from cedarledge.terms import MS

# How long a claim may take at most; far longer than a pause of a healthy process.
CLAIM_TIMEOUT = 300 * MS


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

    def send_release(self, request_id: str) -> None:
        """Tells that an id is no longer in use."""
        ...


class _Claim(NamedTuple):
    timer: Timer
    then: ClaimCallback


class RequestIds:
    """The ids of this process's requests, of the previous process's, and the claims at the next process."""

    def __init__(self, timers: Timers) -> None:
        """Starts with no id, and no other process."""
        self._timers = timers
        self._own: set[str] = set()
        self._predecessor: set[str] = set()
        self._arbiter: IdArbiter | None = None
        self._numbers = count(1)
        self._claims: dict[int, _Claim] = {}

    def __len__(self) -> int:
        """Returns the number of ids in use at this process."""
        return len(self._own)

    def is_in_use(self, request_id: str) -> bool:
        """Returns whether an id is in use at this process, or as far as it knows at another one."""
        return request_id in self._own or request_id in self._predecessor

    def take(self, request_id: str, claim_timeout: int, then: ClaimCallback) -> None:
        """Marks an id as used here, which must be free; `then` gets whether the other process agrees.

        It is called at once unless there is a next process; otherwise within `claim_timeout` ns or
        CLAIM_TIMEOUT. Whatever the result, `release` has to follow.
        """
        self._own.add(request_id)
        self._claim(request_id, claim_timeout, then)

    def release(self, request_id: str) -> None:
        """Frees an id that `take` has marked."""
        self._own.remove(request_id)
        if self._arbiter is not None:
            self._arbiter.send_release(request_id)

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

    def import_from_predecessor(self, ids: Iterable[str]) -> None:
        """Marks the ids that the previous process has in use."""
        self._predecessor = set(ids)

    def claimed_by_predecessor(self, request_id: str, then: Callable[[bool], None]) -> None:
        """Passes to `then` whether the previous process may take an id, and marks it as used there."""
        if self.is_in_use(request_id):
            then(False)
            return
        self._predecessor.add(request_id)

        def settled(result: ClaimResult) -> None:
            if result is not ClaimResult.GRANTED:
                self.released_by_predecessor(request_id)  # an unanswered claim may be granted late
            then(result is ClaimResult.GRANTED)

        self._claim(request_id, CLAIM_TIMEOUT, settled)

    def released_by_predecessor(self, request_id: str) -> None:
        """Frees an id of the previous process."""
        if request_id in self._predecessor:
            self._predecessor.remove(request_id)
            if self._arbiter is not None:
                self._arbiter.send_release(request_id)

    def forget_predecessor(self) -> None:
        """Frees all ids of the previous process, which has ended or never handed over."""
        for request_id in list(self._predecessor):
            self.released_by_predecessor(request_id)
