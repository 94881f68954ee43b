"""Where, for how long and how often a connection may be attempted, and when the list is asked for again."""

from cedarledge.policy import ejection, estimators
from cedarledge.policy.state import Backend, Connection, State
from cedarledge.terms import MS, SECOND, Dedup, Effect

LIST_SPREAD, LIST_RETRY = 100 * MS, 4 * SECOND  # its service takes calls in turn, those given up as well


def may_attempt(state: State, now: int, connection: Connection, backend: Backend) -> bool:
    """Whether a backend may see a connection: after a possible effect only its deduplication group may."""
    if backend in connection.tried and len(connection.tried) < len(state.backends):
        return False
    row, first = state.settings.profiles[connection.request_class], connection.executed_by
    if first is None or row.effect is Effect.REPEATABLE:
        return True
    if row.effect is Effect.ONCE_ONLY or now >= connection.executed_at + row.window:
        return False
    same = {Dedup.ALL: True, Dedup.ZONE: first.zone == backend.zone, Dedup.CELL: first.cell == backend.cell}
    return same[row.dedup]


def may_reject(state: State, connection: Connection) -> bool:
    """Whether the client may be told that it can come again."""
    row = state.settings.profiles[connection.request_class]
    is_safe = row.effect is Effect.REPEATABLE or (row.effect is Effect.REFERENCED and row.dedup is Dedup.ALL)
    return connection.executed_by is None or is_safe


def may_retry(state: State, now: int, connection: Connection) -> bool:
    """Whether a connection is attempted again, which then counts as a retry."""
    if state.retries.read(now) > 3 + 0.5 * state.arrivals.read(now) or ejection.is_shared(state, now):
        return False
    effect = state.settings.profiles[connection.request_class].effect
    is_spent = connection.executed_by and effect is Effect.ONCE_ONLY
    if is_spent or len(connection.tried) >= state.settings.max_attempts or now >= connection.deadline:
        return False
    state.retries.add(now, 1)
    return True


def timeout(state: State, now: int, connection: Connection) -> int:
    """The next attempt's time-out: a hung backend must leave time for another one."""
    row = state.settings.profiles[connection.request_class]
    left = max(0, connection.deadline - now)
    is_last = row.effect is Effect.ONCE_ONLY or len(connection.tried) + 1 >= state.settings.max_attempts
    if is_last or ejection.is_shared(state, now):
        return left
    count, total = state.attempt_times.weight.read(now), state.attempt_times.amount.read(now)
    goal, spread = row.setup_goal, state.attempt_spread.read(now)
    wait = max(0.35 * goal, total / count + 6 * spread / count) if count > 0.5 else 0.5 * goal
    return left if wait > 0.7 * left else int(wait)


def learn_time(state: State, now: int, took: int) -> None:
    """Takes in the time of an attempt."""
    usual = estimators.mean([state.attempt_times], now)
    state.attempt_times.add(now, took)
    state.attempt_spread.add(now, abs(took - (took if usual is None else usual)))


def list_delay(state: State) -> int:
    """How long to wait for the next call for the list: twice as long each time, by chance, as all lose it."""
    longest = (
        state.settings.list_request_interval or 2 * LIST_RETRY
    )  # after which what a reset watch misses counts
    first = max(LIST_SPREAD, min(LIST_RETRY, longest // 2))
    state.list_delay = min(2 * state.list_delay or first, max(SECOND, longest))
    return int(state.list_delay * (0.5 + state.random()))
