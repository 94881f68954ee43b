"""The registry of backends: list updates, the cells that backends form, and the connections they hold."""

import math

from cedarledge.policy.state import Backend, Connection, State
from cedarledge.terms import SECOND, BackendEntry, BackendState, ListForm

DRAIN_TIME = 4 * SECOND  # a draining backend stops soon and then closes its remaining connections itself
# Ranks per doubling of the weight. With exact weights all relays would fill the slightly heavier backend.
WEIGHT_STEPS = 2


def update(state: State, now: int, form: ListForm, entries: list[BackendEntry]) -> None:
    """Applies a list update; unless it has changes only, backends without an entry count as gone."""
    listed = {entry.backend_id for entry in entries}
    for backend_id in state.backends.keys() - listed if form is not ListForm.CHANGES else ():
        state.backends[backend_id].state = BackendState.GONE
    add(state, [entry.backend_id for entry in entries])
    for entry in entries:
        _apply_entry(state, now, state.backends[entry.backend_id], entry)
    form_cells(state)


def add(state: State, backend_ids: list[int]) -> None:
    """Adds unknown backends, in random order, so that relays do not all probe the same backend at once."""
    added = [Backend(one, state.random()) for one in backend_ids if one not in state.backends]
    state.backends |= {backend.backend_id: backend for backend in added}
    added.sort(key=lambda backend: backend.tie_break)
    state.probe_order |= {backend.backend_id: backend for backend in added}


def _apply_entry(state: State, now: int, backend: Backend, entry: BackendEntry) -> None:
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
        backend.drain_deadline = now + DRAIN_TIME
    backend.started_at, backend.state = entry.started_at, entry.state
    backend.cold_until = entry.started_at + state.settings.warmup_duration if entry.started_at > 0 else 0
    if backend.tokens_updated_at < 0:
        backend.tokens, backend.tokens_updated_at = state.random(), 0


def form_cells(state: State) -> None:
    """Groups the backends that accept new connections by cell, those of the highest weight first."""
    ready = [backend for backend in state.backends.values() if backend.state is BackendState.READY]
    # An exclusion of all backends is ignored: it is a mistake that would reject all requests.
    accepting = [backend for backend in ready if backend.backend_id not in state.external.excluded] or ready
    state.cells = {}
    for backend in accepting:
        state.cells.setdefault(backend.cell, []).append(backend)
    for cell in state.cells.values():
        cell.sort(key=lambda one: (-round(WEIGHT_STEPS * math.log2(max(one.weight, 1e-9))), one.tie_break))
    state.ready_count, state.cells_revision, state.fleet_load_expires_at = (
        len(accepting),
        state.cells_revision + 1,
        0,
    )


def hold(state: State, now: int, connection: Connection, backend: Backend) -> None:
    """Assigns a connection to a backend, for an attempt there."""
    connection.backend = backend
    connection.attempted_backends.append(backend)
    backend.connections[connection.connection_id] = connection
    state.backends_in_use[backend.backend_id] = backend
    _count(state, now, connection, 1)


def count_as_reported(now: int, connection: Connection) -> None:
    """Counts a connection's load as part of its backend's last report, not as a change since then."""
    backend = connection.backend
    backend.recent_load.add(now, -connection.load)
    backend.load_at_report += connection.load


def release(state: State, now: int, connection: Connection) -> None:
    """Removes a connection from its backend."""
    _count(state, now, connection, -1)
    backend, connection.backend = connection.backend, None
    del backend.connections[connection.connection_id]
    if not backend.connections:
        del state.backends_in_use[backend.backend_id]


def _count(state: State, now: int, connection: Connection, sign: int) -> None:
    backend, group = connection.backend, connection.group
    backend.open += sign
    backend.load += sign * connection.load
    backend.recent_load.add(now, sign * connection.load)
    state.connections_by_tenant[connection.tenant] += sign
    for groups in (backend.groups, state.groups) if group is not None else ():
        groups[group] += sign
        if not groups[group]:
            del groups[group]  # otherwise the counters would grow for as long as the relay runs
