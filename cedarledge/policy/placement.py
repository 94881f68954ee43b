"""Placement: of the key's cell, by rank, the first backend that is neither busy nor over the skip factor."""

from typing import NamedTuple

from cedarledge.policy import cells, estimators, retries, shedding, slow_start, trials, utilization
from cedarledge.policy.state import Backend, Connection, State

SKIP_FACTOR = 1.5
LEAST_BUSY_LIMIT, MOST_BUSY_LIMIT = 0.55, 0.85  # the fleet's mean between them: a full one must not wait
LARGEST_GROUP = 0.5  # a group that asks more than this part of a backend can't stay with one


class Choice(NamedTuple):
    """A backend, and the name of the rule that chose it."""

    backend: Backend
    rule: str


def choose(state: State, now: int, connection: Connection) -> Choice | None:
    """The backend for a connection's next attempt; none where it is to be rejected."""
    choice = _choose_with_room(state, now, connection)
    if choice is None and trials.is_due(state, now, connection):
        return _choose_for_trial(state, now, connection)
    return choice


def _choose_with_room(state: State, now: int, connection: Connection) -> Choice | None:
    limit = _busy_limit(state, now, connection)
    cells.rank(state, connection)
    size = estimators.relative_load(state.class_loads, now, connection.load)
    is_shed = not connection.tried and shedding.sheds(state, connection)
    fallback, allowed = None, list[Backend]()
    for place, cell in enumerate(connection.cells):
        ranked = cells.ranked_backends(state, connection, cell)
        mean = sum(backend.open for backend in ranked) / len(ranked)
        found = _allowed(state, now, connection, ranked, size)
        # A full fleet's cold backends still have a budget that nobody else's connections need.
        found = [one for one in found if one.is_cold(now)] if is_shed else found
        calm = [one for one in found if _is_calm(one, now)]
        free = [one for one in calm if utilization.current(state, now, one) <= limit]
        if free:
            return _choose_free(now, connection, free, mean, place)
        # A cell may be full while others have room, as keys spread unevenly: the key's next cell.
        calm = [one for one in calm if utilization.cautious(state, now, one) <= utilization.OVERLOADED]
        fallback = fallback or min(calm, key=lambda one: _open_count(now, one, mean), default=None)
        allowed += found
    if fallback:
        return Choice(fallback, "fewest")
    if not allowed or not all(one.is_ejected(now) for one in allowed):
        return None  # clients that are dropped come again at once, and keep the backlog where it is
    return Choice(min(allowed, key=lambda one: (one.ejected_until, one.tie_break)), "last")


def _choose_for_trial(state: State, now: int, connection: Connection) -> Choice | None:
    """The backend for a connection that would be rejected: where it costs the fleet least.

    A group is paid for once more at each backend that holds any of it. So its connection goes to a backend
    that holds it here, else to the first in the group's order, where the other relays have it.
    """
    size = estimators.relative_load(state.class_loads, now, connection.load)

    def load(backend: Backend) -> float:
        return utilization.cautious(state, now, backend)

    holders = [one for one in state.holding.values() if connection.group in one.groups]
    holders = [one for one in holders if one in state.cells.get(one.cell, ()) and not one.is_cold(now)]
    holders = [one for one in holders if retries.may_attempt(state, now, connection, one)]
    holders = [one for one in holders if _is_calm(one, now)]
    if holders:
        return Choice(min(holders, key=load), "trial")
    found = list[Backend]()
    for cell in connection.cells:
        found += _allowed(state, now, connection, cells.ranked_backends(state, connection, cell), size)
    calm = [one for one in found if _is_calm(one, now)]
    if calm and connection.group is not None:
        return Choice(calm[0], "trial")
    chosen = min(calm, key=load, default=None)
    chosen = chosen or min(found, key=lambda one: (one.is_ejected(now), load(one)), default=None)
    return Choice(chosen, "trial") if chosen else None


def _allowed(
    state: State, now: int, connection: Connection, ranked: list[Backend], size: float
) -> list[Backend]:
    found = [one for one in ranked if retries.may_attempt(state, now, connection, one)]
    return [one for one in found if slow_start.allows(state, now, one, size)]


def _is_calm(backend: Backend, now: int) -> bool:
    return not backend.is_ejected(now) and now >= backend.busy_until


def _busy_limit(state: State, now: int, connection: Connection) -> float:
    fleet, group = utilization.fleet(state, now), connection.group
    if group is not None and fleet > utilization.FULL_WITH_GROUPS:
        load = (state.groups[group] - 1) * state.ready * max(fleet, 0.0)  # by its connections here
        if load <= LARGEST_GROUP * len(state.connections):
            return utilization.OVERLOADED
    return min(max(fleet, LEAST_BUSY_LIMIT), MOST_BUSY_LIMIT)


def _choose_free(now: int, connection: Connection, free: list[Backend], mean: float, place: int) -> Choice:
    free.sort(key=lambda one: not one.is_cold(now))  # what a cold one may be sent is little and soon lapses
    for backend in free:
        others = _open_count(now, backend, mean) - backend.groups[connection.group]
        if others <= max(1.0, SKIP_FACTOR * mean):
            return Choice(backend, "spill" if place else "rank" if backend is free[0] else "skip")
    return Choice(min(free, key=lambda one: _open_count(now, one, mean)), "skip")


def _open_count(now: int, backend: Backend, mean: float) -> float:
    """Its open connections here; one that is unknown or cold counts as no emptier than the others."""
    return max(mean, backend.open) if backend.reported < 0 or backend.is_cold(now) else backend.open
