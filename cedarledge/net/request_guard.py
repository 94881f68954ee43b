"""Decides whether a request may be attempted, rejected or answered; nothing else does.

The checks use the relay's own record of the request and the list of backends, not the policy's state, so a
fault in the policy is detected here.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from cedarledge.net.invariants import Invariant, Invariants
from cedarledge.terms import MS, NEVER_RAN, Dedup, Effect, Outcome, RequestClassSettings

# The final answer that tells a client that repeating its request is harmless.
REJECTED = "BUSY"
# The platform tolerates this much past each time limit on sockets.
TIME_LIMIT_GRACE = 50 * MS
# The field of a list entry whose value is the same throughout a deduplication group.
GROUP_FIELDS = {Dedup.ZONE: "locality", Dedup.CELL: "cell"}


class Attempt:
    """One attempt of a request at one backend."""

    __slots__ = ("backend_id", "began", "entry", "outcome")

    def __init__(self, backend_id: int, began: int, entry: Mapping[str, Any] | None) -> None:
        """Records an attempt that begins at `began` (ns); `entry` is the backend's entry in the list."""
        self.backend_id = backend_id
        self.began = began
        self.entry = entry  # as of the beginning of the attempt
        self.outcome: Outcome | None = None  # None: in progress

    @property
    def may_have_run(self) -> bool:
        """Whether the backend may have executed the request; true while the attempt is in progress."""
        return self.outcome not in NEVER_RAN


class RequestRecord:
    """Attempts and answer of one request, from its arrival to its final answer."""

    __slots__ = ("answer", "attempts", "deadline", "request_class", "request_id")

    def __init__(self, request_id: str, request_class: int, deadline: int) -> None:
        """Starts a record without attempts; `deadline` is in ns on the relay's clock, 0 for none."""
        self.request_id = request_id
        self.request_class = request_class
        self.deadline = deadline  # 0: none; the connection was open before this relay started
        self.attempts: list[Attempt] = []
        self.answer = ""  # first word of the final answer sent to the client; "": none yet

    def attempt_ended(self, outcome: Outcome) -> None:
        """Records how the attempt in progress ended; does nothing if there is none."""
        if self.attempts and self.attempts[-1].outcome is None:
            self.attempts[-1].outcome = outcome

    def first_possible_run(self) -> Attempt | None:
        """Returns the first attempt that may have run; None if there is none."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)

    def earlier_possible_run(self) -> Attempt | None:
        """Returns the first attempt before the last one that may have run; None if there is none."""
        return next((attempt for attempt in self.attempts[:-1] if attempt.may_have_run), None)

    def describe(self, names: Sequence[str], now: int) -> str:
        """Returns the request id, the time left and the outcome and age of each attempt, for the log."""
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
    """Refuses actions that would violate an invariant, and counts them.

    Each refusal is a fault of the caller, which must not ask for such an action.
    """

    def __init__(
        self,
        invariants: Invariants,
        clock: Callable[[], int],
        classes: Sequence[RequestClassSettings],
        listed: Mapping[int, Mapping[str, Any]],
        names: Sequence[str],
    ) -> None:
        """Checks requests of the given classes.

        `listed` maps backend ids to entries of the list; `names` holds the backends' names by id. Both are
        shared with the list and change with it.
        """
        self.invariants = invariants
        self._clock = clock
        self._classes = classes
        self._listed = listed
        self._names = names

    def describe(self, request: RequestRecord) -> str:
        """Returns the description of a request for log lines."""
        return request.describe(self._names, self._clock())

    def record_attempt(self, request: RequestRecord, backend_id: int) -> None:
        """Records that an attempt begins; may_attempt must have allowed it."""
        request.attempts.append(Attempt(backend_id, self._clock(), self._listed.get(backend_id)))

    def may_attempt(self, request: RequestRecord, backend_id: int, is_ready: bool) -> bool:
        """Returns whether an attempt may begin now, and counts a violation if not.

        `is_ready` tells whether the backend accepts new connections.
        """
        violation = self._attempt_violation(request, backend_id, is_ready)
        if violation is not None:
            self._violated(violation, request, f" at {self._names[backend_id]}")
        return violation is None

    def _attempt_violation(self, request: RequestRecord, backend_id: int, is_ready: bool) -> Invariant | None:
        now = self._clock()
        if request.answer:
            return Invariant.ATTEMPT_AFTER_ANSWER
        if any(attempt.outcome is None for attempt in request.attempts):
            return Invariant.TWO_ATTEMPTS
        if request.deadline and now >= request.deadline + TIME_LIMIT_GRACE:
            return Invariant.ATTEMPT_PAST_DEADLINE
        if not is_ready:
            return Invariant.ATTEMPT_AT_DRAINING
        if not self._may_repeat(request, request.first_possible_run(), backend_id, now - TIME_LIMIT_GRACE):
            return Invariant.REPEATED_EFFECT
        return None

    def may_send(self, request: RequestRecord, backend_id: int) -> bool:
        """Returns whether the attempt in progress may be written to its backend now.

        Its connection may have taken long to come up: meanwhile the backends may have forgotten an earlier
        attempt, or the list may have moved this one to another deduplication group.
        """
        return self._may_repeat(request, request.earlier_possible_run(), backend_id, self._clock())

    def send_deadline(self, request: RequestRecord) -> int | None:
        """Returns until when the attempt in progress may be written, in ns; None if no window limits it."""
        first = request.earlier_possible_run()
        if first is None or not self._classes:
            return None
        row = self._classes[request.request_class]
        return first.began + row.window if row.effect is Effect.DEDUPLICATED else None

    def _may_repeat(self, request: RequestRecord, first: Attempt | None, backend_id: int, now: int) -> bool:
        if first is None or not self._classes:
            return True
        row = self._classes[request.request_class]
        if row.effect is not Effect.DEDUPLICATED:
            return row.effect is Effect.IDEMPOTENT
        if now >= first.began + row.window:
            return False
        field = GROUP_FIELDS.get(row.dedup)
        return field is None or _value(first.entry, field) == _value(self._listed.get(backend_id), field)

    def may_reject(self, request: RequestRecord) -> bool:
        """Returns whether the request may be rejected, which tells the client that repeating it is harmless.

        Counts a violation if not.
        """
        if not self._classes or request.first_possible_run() is None:
            return True
        row = self._classes[request.request_class]
        is_harmless = row.effect is Effect.IDEMPOTENT or (
            row.effect is Effect.DEDUPLICATED and row.dedup is Dedup.ALL
        )
        if not is_harmless:
            self._violated(Invariant.REJECTED_EFFECT, request)
        return is_harmless

    def must_not_run_again(self, request: RequestRecord) -> bool:
        """Returns whether another request of the same id could have an effect twice.

        Deduplicated requests count too: another one would not be placed within the group and the window.
        """
        if not self._classes or request.answer == REJECTED or request.first_possible_run() is None:
            return False
        return self._classes[request.request_class].effect is not Effect.IDEMPOTENT

    def record_answer(self, request: RequestRecord, word: str) -> None:
        """Records the final answer, and counts a violation if it is late or not the first."""
        now = self._clock()
        if request.answer:
            self._violated(Invariant.SECOND_ANSWER, request, f": {word} after {request.answer}")
        elif request.deadline and now > request.deadline + TIME_LIMIT_GRACE:
            self._violated(Invariant.LATE_ANSWER, request, f": {word}")
        request.answer = word

    def _violated(self, invariant: Invariant, request: RequestRecord, details: str = "") -> None:
        self.invariants.record_violation(invariant, self.describe(request) + details)
