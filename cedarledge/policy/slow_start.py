"""Slow start: limits the rate of connections to backends that have just started."""

from cedarledge.policy.state import Backend, State
from cedarledge.terms import SECOND

SAFETY_FACTOR = 0.5  # relays act independently, so their total varies, and each estimates the capacity
MAX_RELATIVE_LOAD = 1.5  # a heavier connection would use most of a cold backend's budget
SUFFICIENT_REPORTS = 8  # for a representative mean, regardless of the fleet's size
MAX_CREDIBLE_LOAD = 1.2  # a higher report reflects queued work more than the load of the connections


def update_fill_rate(state: State, now: int) -> None:
    """Updates the fill rate: the connections that a warm backend holds at full load, per warm-up duration.

    It counts this relay's connections only, and is in connections per second.
    """
    warm = [backend for cell in state.cells.values() for backend in cell if not backend.is_cold(now)]
    reported = [backend for backend in warm if 0 < backend.reported < MAX_CREDIBLE_LOAD]
    load = sum(backend.reported for backend in reported)
    if 2 * len(reported) <= min(len(warm), 2 * SUFFICIENT_REPORTS):
        load += len(warm) - len(reported)  # with too few reports the others count as full, to be safe
        reported = warm
    if load:
        held = sum(backend.open - backend.pending for backend in reported)  # pending ones cause no load yet
        rate = held / load / (state.settings.warmup_duration / SECOND)
        state.fill_rate = max(rate, state.fill_rate) if now < state.unrepresentative_until else rate


def allows(state: State, now: int, backend: Backend, relative_load: float) -> bool:
    """Returns whether a connection fits into this relay's share of a backend's slow-start budget."""
    settings = state.settings
    if not backend.is_cold(now):
        return True
    capacity_share = (
        settings.cold_capacity_share
        + (1 - settings.cold_capacity_share) * (now - backend.started_at) / settings.warmup_duration
    )
    arrival_interval = state.ready_count / len(state.cells[backend.cell]) / max(state.arrival_rate(now), 0.01)
    rate = SAFETY_FACTOR * settings.overload_multiple * capacity_share * state.fill_rate
    # A token bucket. It starts at a random level below 1, so that all relays together keep to the rate.
    # An arrival adds the growth over at most the mean time between arrivals at the cell; if buckets grew with
    # time alone, most of the budget would remain unused.
    backend.tokens = min(
        backend.tokens + rate * min((now - backend.tokens_updated_at) / SECOND, arrival_interval),
        1.0 + relative_load,
    )
    backend.tokens_updated_at = now
    return backend.tokens >= 1.0 and relative_load <= MAX_RELATIVE_LOAD
