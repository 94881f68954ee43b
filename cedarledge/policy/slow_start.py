"""Slow start: how fast backends that have just started may be given connections."""

from cedarledge.policy.state import Backend, State
from cedarledge.terms import SECOND

SAFETY_FACTOR = 0.5  # relays act apart, so what they send scatters, and each guesses the capacity
HEAVIEST = 1.5  # a connection of more usual ones would be most of what a cold backend may be sent
ENOUGH_REPORTS = 8  # give a fair mean, however large the fleet
CREDIBLE_LOAD = 1.2  # past this a report tells of queued work more than of what the connections ask


def learn_rate(state: State, now: int) -> None:
    """Follows the rate that fills a cold backend: what a warm one holds, over its load, in that time."""
    warm = [backend for cell in state.cells.values() for backend in cell if not backend.is_cold(now)]
    seen = [backend for backend in warm if 0 < backend.reported < CREDIBLE_LOAD]
    load = sum(backend.reported for backend in seen)
    if 2 * len(seen) <= min(len(warm), 2 * ENOUGH_REPORTS):
        load += len(warm) - len(seen)  # with too few reports the others count as full: the careful side
        seen = warm
    if load:
        held = sum(backend.open - backend.pending for backend in seen)  # pending ones bring no load yet
        rate = held / load / (state.settings.warmup_duration / SECOND)
        state.fill_rate = max(rate, state.fill_rate) if now < state.unrepresentative_until else rate


def allows(state: State, now: int, backend: Backend, size: float) -> bool:
    """Whether a connection is within this relay's share of a backend's slow-start budget."""
    settings = state.settings
    if not backend.is_cold(now):
        return True
    part = (
        settings.cold_capacity_share
        + (1 - settings.cold_capacity_share) * (now - backend.started_at) / settings.warmup_duration
    )
    gap = state.ready / len(state.cells[backend.cell]) / max(state.arrival_rate(now), 0.01)
    pace = SAFETY_FACTOR * settings.overload_multiple * part * state.fill_rate
    # Tokens start by chance below one, so that all relays together keep the pace of one; a connection brings
    # what grew since the cell's last one usually came: by time alone most would lie unused.
    backend.tokens = min(backend.tokens + pace * min((now - backend.tokens_at) / SECOND, gap), 1.0 + size)
    backend.tokens_at = now
    return backend.tokens >= 1.0 and size <= HEAVIEST
