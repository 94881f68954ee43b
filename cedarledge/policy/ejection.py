"""Outlier ejection: removes backends with failed attempts for a time, unless all backends fail alike."""

from cedarledge.policy.state import Backend, State
from cedarledge.terms import MS, SECOND

MIN_EJECTION_TIME, MAX_EJECTION_TIME = 1500 * MS, 12 * SECOND


def record_failure(state: State, now: int, backend: Backend) -> None:
    """Counts a failed attempt; ejects the backend, or limits the attempts in progress if they all fail."""
    state.failures.add(now, 1)
    if is_shared(state, now):  # to eject one backend after another would only crowd the remaining ones
        state.attempt_limit = max(1.0, 0.7 * min(state.attempt_limit, state.in_flight + 1))
    else:
        eject(state, now, backend)


def eject(state: State, now: int, backend: Backend) -> None:
    """Ejects a backend for a random time around a value that doubles with each ejection."""
    backend.ejections += 1
    duration = min(MIN_EJECTION_TIME << min(backend.ejections - 1, 6), MAX_EJECTION_TIME)
    backend.ejected_until = now + int(duration * (0.8 + 0.4 * state.random()))


def is_shared(state: State, now: int) -> bool:
    """Returns whether attempts fail everywhere, so that the cause is a shared store or network."""
    return state.failures.read(now) > 3 and state.failures.read(now) > 2 * state.openings.read(now)
