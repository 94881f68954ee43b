"""Retry rules for connections: where, how often and with which time-out; and for list requests."""

from cedarledge.policy import ejection, estimators
from cedarledge.policy.state import Backend, Connection, State
from cedarledge.terms import MS, SECOND, Dedup, Effect

# The discovery service handles requests one after another, also those whose caller has given up.
LIST_REQUEST_SPACING, LIST_RETRY_DELAY = 100 * MS, 4 * SECOND


def may_attempt(state: State, now: int, connection: Connection, backend: Backend) -> bool:
    """Returns whether a connection may be attempted at a backend.

    Once it may have been executed, only backends of the same deduplication scope may get it.
    """
    if backend in connection.attempted_backends and len(connection.attempted_backends) < len(state.backends):
        return False
    row, first = state.settings.request_classes[connection.request_class], connection.executed_by
    if first is None or row.effect is Effect.IDEMPOTENT:
        return True
    if row.effect is Effect.NON_IDEMPOTENT or now >= connection.executed_at + row.window:
        return False
    is_in_scope = {
        Dedup.ALL: True,
        Dedup.ZONE: first.zone == backend.zone,
        Dedup.CELL: first.cell == backend.cell,
    }
    return is_in_scope[row.dedup]


def may_reject(state: State, connection: Connection) -> bool:
    """Returns whether the client may be told to retry, as a second execution is impossible or harmless."""
    row = state.settings.request_classes[connection.request_class]
    is_safe = row.effect is Effect.IDEMPOTENT or (
        row.effect is Effect.DEDUPLICATED and row.dedup is Dedup.ALL
    )
    return connection.executed_by is None or is_safe


def may_retry(state: State, now: int, connection: Connection) -> bool:
    """Returns whether a failed connection may be attempted again, and if so counts a retry."""
    if state.retries.read(now) > 3 + 0.5 * state.arrivals.read(now) or ejection.is_shared(state, now):
        return False
    effect = state.settings.request_classes[connection.request_class].effect
    is_final = connection.executed_by and effect is Effect.NON_IDEMPOTENT
    if (
        is_final
        or len(connection.attempted_backends) >= state.settings.max_attempts
        or now >= connection.deadline
    ):
        return False
    state.retries.add(now, 1)
    return True


def timeout(state: State, now: int, connection: Connection) -> int:
    """Returns the time-out of the next attempt, which leaves time for another one if the backend hangs."""
    row = state.settings.request_classes[connection.request_class]
    remaining = max(0, connection.deadline - now)
    is_last = (
        row.effect is Effect.NON_IDEMPOTENT
        or len(connection.attempted_backends) + 1 >= state.settings.max_attempts
    )
    if is_last or ejection.is_shared(state, now):
        return remaining
    count, total = state.attempt_durations.weight.read(now), state.attempt_durations.amount.read(now)
    target, deviation = row.setup_latency_target, state.attempt_deviations.read(now)
    wait = max(0.35 * target, total / count + 6 * deviation / count) if count > 0.5 else 0.5 * target
    return remaining if wait > 0.7 * remaining else int(wait)


def record_duration(state: State, now: int, took: int) -> None:
    """Records the duration of an attempt, on which time-outs are based."""
    mean = estimators.mean([state.attempt_durations], now)
    state.attempt_durations.add(now, took)
    state.attempt_deviations.add(now, abs(took - (took if mean is None else mean)))


def list_delay(state: State) -> int:
    """Returns the delay until the next list request after a failure: doubled each time, and random.

    Random, because all relays lose the list at the same time.
    """
    # Changes that are missed for longer than this, after the list stream was reset, count as a fault.
    longest = state.settings.list_request_interval or 2 * LIST_RETRY_DELAY
    first = max(LIST_REQUEST_SPACING, min(LIST_RETRY_DELAY, longest // 2))
    state.list_retry_delay = min(2 * state.list_retry_delay or first, max(SECOND, longest))
    return int(state.list_retry_delay * (0.5 + state.random()))
