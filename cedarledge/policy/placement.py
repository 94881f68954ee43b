"""Placement: by default at the first backend in rank order that is neither busy nor over the skip factor."""

from typing import NamedTuple

from cedarledge.policy import cells, estimators, retries, shedding, slow_start, trials, utilization
from cedarledge.policy.state import Backend, Connection, State

SKIP_FACTOR = 1.5  # of the cell's mean of open connections
# The busy limit is the fleet's mean load within these bounds, so that a full fleet has backends below it.
MIN_BUSY_LIMIT, MAX_BUSY_LIMIT = 0.55, 0.85
MAX_GROUP_SHARE = 0.5  # a group that needs more than this part of a backend is not kept on one


class Choice(NamedTuple):
    """The chosen backend and the name of the rule that chose it."""

    backend: Backend
    rule: str


def choose(state: State, now: int, connection: Connection) -> Choice | None:
    """Returns the backend for a connection's next attempt; None if the connection is to be rejected."""
    choice = _choose_with_capacity(state, now, connection)
    if choice is None and trials.is_due(state, now, connection):
        return _choose_for_trial(state, now, connection)
    return choice


def _choose_with_capacity(state: State, now: int, connection: Connection) -> Choice | None:
    limit = _busy_limit(state, now, connection)
    cells.rank(state, connection)
    relative_load = estimators.relative_load(state.class_loads, now, connection.load)
    is_shed = not connection.attempted_backends and shedding.is_shed(state, connection)
    fallback, allowed = None, list[Backend]()
    for index, cell in enumerate(connection.cells):
        ranked = cells.ranked_backends(state, connection, cell)
        mean = sum(backend.open for backend in ranked) / len(ranked)
        candidates = _allowed(state, now, connection, ranked, relative_load)
        # A connection to be shed may use the slow-start budget of cold backends, which nothing else needs.
        candidates = [one for one in candidates if one.is_cold(now)] if is_shed else candidates
        available = [one for one in candidates if _is_available(one, now)]
        free = [one for one in available if utilization.estimated_load(state, now, one) <= limit]
        if free:
            return _choose_free(now, connection, free, mean, index)
        # Keys spread unevenly, so this cell may be full while the key's next cells have capacity.
        available = [
            one
            for one in available
            if utilization.capped_load(state, now, one) <= utilization.OVERLOAD_THRESHOLD
        ]
        fallback = fallback or min(available, key=lambda one: _open_count(now, one, mean), default=None)
        allowed += candidates
    if fallback:
        return Choice(fallback, "fewest")
    if not allowed or not all(one.is_ejected(now) for one in allowed):
        return None  # overloaded backends drop clients, which retry at once and keep the backlog up
    return Choice(min(allowed, key=lambda one: (one.ejected_until, one.tie_break)), "last")


def _choose_for_trial(state: State, now: int, connection: Connection) -> Choice | None:
    """Returns the backend where an otherwise rejected connection costs the fleet least.

    Each backend that holds any connection of a group repeats the group's shared work. So the connection goes
    to a backend where this relay holds the group, else to the group's first one, as at the other relays.
    """
    relative_load = estimators.relative_load(state.class_loads, now, connection.load)

    def load(backend: Backend) -> float:
        return utilization.capped_load(state, now, backend)

    holders = [one for one in state.backends_in_use.values() if connection.group in one.groups]
    holders = [one for one in holders if one in state.cells.get(one.cell, ()) and not one.is_cold(now)]
    holders = [one for one in holders if retries.may_attempt(state, now, connection, one)]
    holders = [one for one in holders if _is_available(one, now)]
    if holders:
        return Choice(min(holders, key=load), "trial")
    candidates = list[Backend]()
    for cell in connection.cells:
        candidates += _allowed(
            state, now, connection, cells.ranked_backends(state, connection, cell), relative_load
        )
    available = [one for one in candidates if _is_available(one, now)]
    if available and connection.group is not None:
        return Choice(available[0], "trial")
    chosen = min(available, key=load, default=None)
    chosen = chosen or min(candidates, key=lambda one: (one.is_ejected(now), load(one)), default=None)
    return Choice(chosen, "trial") if chosen else None


def _allowed(
    state: State, now: int, connection: Connection, ranked: list[Backend], relative_load: float
) -> list[Backend]:
    candidates = [one for one in ranked if retries.may_attempt(state, now, connection, one)]
    return [one for one in candidates if slow_start.allows(state, now, one, relative_load)]


def _is_available(backend: Backend, now: int) -> bool:
    return not backend.is_ejected(now) and now >= backend.busy_until


def _busy_limit(state: State, now: int, connection: Connection) -> float:
    fleet, group = utilization.fleet_load(state, now), connection.group
    if group is not None and fleet > utilization.GROUPED_FULL_THRESHOLD:
        # The group's load, in loads of one backend, is estimated by its share of the connections here.
        load = (state.groups[group] - 1) * state.ready_count * max(fleet, 0.0)
        if load <= MAX_GROUP_SHARE * len(state.connections):
            return utilization.OVERLOAD_THRESHOLD
    return min(max(fleet, MIN_BUSY_LIMIT), MAX_BUSY_LIMIT)


def _choose_free(now: int, connection: Connection, free: list[Backend], mean: float, index: int) -> Choice:
    free.sort(key=lambda one: not one.is_cold(now))  # cold ones first: their budget is small and soon lapses
    for backend in free:
        others = _open_count(now, backend, mean) - backend.groups[connection.group]
        if others <= max(1.0, SKIP_FACTOR * mean):
            return Choice(backend, "spill" if index else "rank" if backend is free[0] else "skip")
    return Choice(min(free, key=lambda one: _open_count(now, one, mean)), "skip")


def _open_count(now: int, backend: Backend, mean: float) -> float:
    """Returns its connections from this relay; at least the mean if its load is unknown or it is cold."""
    return max(mean, backend.open) if backend.reported < 0 or backend.is_cold(now) else backend.open
