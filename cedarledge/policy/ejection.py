"""Outlier ejection: backends where attempts fail are left out for a while, unless all fail for one cause."""

from cedarledge.policy.state import Backend, State
from cedarledge.terms import MS, SECOND

FIRST_EJECTION, LONGEST_EJECTION = 1500 * MS, 12 * SECOND


def record_failure(state: State, now: int, backend: Backend) -> None:
    """Counts a failed attempt against its backend, or against the cause that all share."""
    state.failures.add(now, 1)
    if is_shared(state, now):  # ejecting backends one after the other would only herd the rest
        state.window = max(1.0, 0.7 * min(state.window, state.in_flight + 1))
    else:
        eject(state, now, backend)


def eject(state: State, now: int, backend: Backend) -> None:
    """Leaves a backend out, for twice as long each time."""
    backend.ejections += 1
    span = min(FIRST_EJECTION << min(backend.ejections - 1, 6), LONGEST_EJECTION)
    backend.ejected_until = now + int(span * (0.8 + 0.4 * state.random()))


def is_shared(state: State, now: int) -> bool:
    """Whether attempts fail everywhere: the cause is a store or a network, not a backend."""
    return state.failures.read(now) > 3 and state.failures.read(now) > 2 * state.openings.read(now)
