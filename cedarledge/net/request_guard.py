"""The one place that says whether a request may be attempted, rejected or answered.

It goes by what this relay did for the request and by the list, not by what the policy remembers, so that a
fault in either is seen by the other.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from cedarledge.net.invariants import Invariant, Invariants
from cedarledge.terms import MS, NEVER_RAN, Dedup, Effect, Outcome, RequestClassSettings

# What the platform allows past each time limit on sockets.
GRACE = 50 * MS
# Where an entry of the list says what a deduplication group shares.
GROUP_FIELDS = {Dedup.ZONE: "locality", Dedup.CELL: "cell"}


class Attempt:
    """One try at one backend."""

    __slots__ = ("backend_id", "began", "entry", "outcome")

    def __init__(self, backend_id: int, began: int, entry: Mapping[str, Any] | None) -> None:
        self.backend_id = backend_id
        self.began = began
        self.entry = entry  # the list's, as it was then
        self.outcome: Outcome | None = None  # None: it is out

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in NEVER_RAN


class RequestLog:
    """What was done for one request, from its arrival to its final answer."""

    __slots__ = ("answer", "attempts", "deadline", "request_class", "request_id")

    def __init__(self, request_id: str, request_class: int, deadline: int) -> None:
        self.request_id = request_id
        self.request_class = request_class
        self.deadline = deadline  # 0: none, the connection was open before this relay's start
        self.attempts: list[Attempt] = []
        self.answer = ""  # the word that the client had

    def attempt_ended(self, outcome: Outcome) -> None:
        """The attempt that is out has ended."""
        if self.attempts and self.attempts[-1].outcome is None:
            self.attempts[-1].outcome = outcome

    def executed(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)

    def story(self, names: Sequence[str], now: int) -> str:
        """For the log: the request and how its attempts ended."""
        attempts = ", ".join(
            f"{names[attempt.backend_id]} {attempt.outcome.name if attempt.outcome is not None else 'out'}"
            f" {(now - attempt.began) // MS} ms ago"
            for attempt in self.attempts
        )
        left = f", {(self.deadline - now) // MS} ms left" if self.deadline else ""
        return f"{self.request_id}{left}, attempts: {attempts or 'none'}"


def _value(entry: Mapping[str, Any] | None, field: str) -> Any:
    return None if entry is None else entry.get(field)


class RequestGuard:
    """Refuses what would break a rule, and counts it: a refusal here is a fault of the code that asked."""

    def __init__(
        self,
        invariants: Invariants,
        clock: Callable[[], int],
        classes: Sequence[RequestClassSettings],
        listed: Mapping[int, Mapping[str, Any]],
        names: Sequence[str],
    ) -> None:
        """`listed` has the list's entries and `names` the backends' names, each by backend."""
        self.invariants = invariants
        self._clock = clock
        self._classes = classes
        self._listed = listed
        self._names = names

    def story(self, request: RequestLog) -> str:
        """What the log says of a request."""
        return request.story(self._names, self._clock())

    def attempt(self, request: RequestLog, backend_id: int) -> None:
        """One begins, as may_attempt has allowed."""
        request.attempts.append(Attempt(backend_id, self._clock(), self._listed.get(backend_id)))

    def may_attempt(self, request: RequestLog, backend_id: int, is_ready: bool) -> bool:
        """Whether an attempt may begin now; is_ready: the backend takes new connections."""
        violation = self._attempt_violation(request, backend_id, is_ready)
        if violation is not None:
            self._broken(violation, request, f" at {self._names[backend_id]}")
        return violation is None

    def _attempt_violation(self, request: RequestLog, backend_id: int, is_ready: bool) -> Invariant | None:
        now = self._clock()
        if request.answer:
            return Invariant.ATTEMPT_AFTER_ANSWER
        if any(attempt.outcome is None for attempt in request.attempts):
            return Invariant.TWO_ATTEMPTS
        if request.deadline and now >= request.deadline + GRACE:
            return Invariant.ATTEMPT_PAST_DEADLINE
        if not is_ready:
            return Invariant.ATTEMPT_AT_DRAINING
        if not self._may_repeat(request, backend_id, now):
            return Invariant.REPEATED_EFFECT
        return None

    def _may_repeat(self, request: RequestLog, backend_id: int, now: int) -> bool:
        executed = request.executed()
        if executed is None or not self._classes:
            return True
        row = self._classes[request.request_class]
        if row.effect is not Effect.REFERENCED:
            return row.effect is Effect.REPEATABLE
        if now >= executed.began + row.window + GRACE:
            return False
        field = GROUP_FIELDS.get(row.dedup)
        return field is None or _value(executed.entry, field) == _value(self._listed.get(backend_id), field)

    def may_reject(self, request: RequestLog) -> bool:
        """Whether its client may be told that another request is harmless."""
        if not self._classes or request.executed() is None:
            return True
        row = self._classes[request.request_class]
        is_harmless = row.effect is Effect.REPEATABLE or (
            row.effect is Effect.REFERENCED and row.dedup is Dedup.ALL
        )
        if not is_harmless:
            self._broken(Invariant.REJECTED_EFFECT, request)
        return is_harmless

    def answered(self, request: RequestLog, word: str) -> None:
        """Its final answer is out."""
        now = self._clock()
        if request.answer:
            self._broken(Invariant.SECOND_ANSWER, request, f": {word} after {request.answer}")
        elif request.deadline and now > request.deadline + GRACE:
            self._broken(Invariant.LATE_ANSWER, request, f": {word}")
        request.answer = word

    def _broken(self, invariant: Invariant, request: RequestLog, more: str = "") -> None:
        self.invariants.broken(invariant, self.story(request) + more)
