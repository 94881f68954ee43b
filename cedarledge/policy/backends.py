"""The registry of backends: what the list tells of them, the cells they form, and what they hold."""

import math

from cedarledge.policy.state import Backend, Connection, State
from cedarledge.terms import SECOND, BackendEntry, BackendState, ListForm

DRAIN_TIME = 4 * SECOND  # a draining backend ends soon, and cuts off many by itself
WEIGHT_STEPS = 2  # ranks in a doubling of weights: all relays would fill the one that is a hair ahead


def update(state: State, now: int, form: ListForm, entries: list[BackendEntry]) -> None:
    """Follows the list."""
    named = {entry.backend_id for entry in entries}
    for backend_id in state.backends.keys() - named if form is not ListForm.CHANGES else ():
        state.backends[backend_id].state = BackendState.GONE
    add(state, [entry.backend_id for entry in entries])
    for entry in entries:
        _follow(state, now, state.backends[entry.backend_id], entry)
    form_cells(state)


def add(state: State, backend_ids: list[int]) -> None:
    """Adds those not known yet, in an order of its own: or all relays would probe the same one at once."""
    fresh = [Backend(new, state.random()) for new in backend_ids if new not in state.backends]
    state.backends |= {backend.backend_id: backend for backend in fresh}
    fresh.sort(key=lambda backend: backend.tie_break)
    state.probe_order |= {backend.backend_id: backend for backend in fresh}


def _follow(state: State, now: int, backend: Backend, entry: BackendEntry) -> None:
    if backend.started_at not in (-1, entry.started_at):
        backend.reset()
    backend.cell, backend.zone, backend.host_type, backend.hash_id = (
        entry.cell,
        entry.zone,
        entry.host_type,
        entry.hash_id,
    )
    backend.weight = entry.weight if state.settings.weighted else 1.0
    if entry.state is BackendState.DRAINING and backend.state is not BackendState.DRAINING:
        backend.drain_by = now + DRAIN_TIME
    backend.started_at, backend.state = entry.started_at, entry.state
    backend.cold_until = entry.started_at + state.settings.warmup_duration if entry.started_at > 0 else 0
    if backend.tokens_at < 0:
        backend.tokens, backend.tokens_at = state.random(), 0


def form_cells(state: State) -> None:
    """Sorts the backends that may take new connections into cells, the heaviest first."""
    ready = [backend for backend in state.backends.values() if backend.state is BackendState.READY]
    # All aside is a slip that would close the site, so it is not followed.
    offered = [backend for backend in ready if backend.backend_id not in state.external.excluded] or ready
    state.cells = {}
    for backend in offered:
        state.cells.setdefault(backend.cell, []).append(backend)
    for cell in state.cells.values():
        cell.sort(key=lambda one: (-round(WEIGHT_STEPS * math.log2(max(one.weight, 1e-9))), one.tie_break))
    state.ready, state.revision, state.fleet_load_until = len(offered), state.revision + 1, 0


def hold(state: State, now: int, connection: Connection, backend: Backend) -> None:
    """Counts a connection at a backend."""
    connection.backend = backend
    connection.tried.append(backend)
    backend.connections[connection.connection_id] = connection
    state.holding[backend.backend_id] = backend
    _count(state, now, connection, 1)


def count_as_reported(now: int, connection: Connection) -> None:
    """Has a connection's load count as part of what its backend reports, and not as a change since then."""
    backend = connection.backend
    backend.recent_load.add(now, -connection.load)
    backend.load_at_report += connection.load


def release(state: State, now: int, connection: Connection) -> None:
    """Takes a connection off its backend."""
    _count(state, now, connection, -1)
    backend, connection.backend = connection.backend, None
    del backend.connections[connection.connection_id]
    if not backend.connections:
        del state.holding[backend.backend_id]


def _count(state: State, now: int, connection: Connection, sign: int) -> None:
    backend, group = connection.backend, connection.group
    backend.open += sign
    backend.load += sign * connection.load
    backend.recent_load.add(now, sign * connection.load)
    state.by_tenant[connection.tenant] += sign
    for groups in (backend.groups, state.groups) if group is not None else ():
        groups[group] += sign
        if not groups[group]:
            del groups[group]  # groups come and go for as long as a relay runs
