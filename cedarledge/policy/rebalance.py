"""Rebalancing: moves open connections away from draining and overloaded backends."""

from cedarledge.policy import cells, ejection, shedding, utilization
from cedarledge.policy.state import TICK, Backend, Connection, State
from cedarledge.terms import MS, SECOND, BackendState

MOVES_PER_TICK = 2  # many clients that return at once can overload a service that all attempts depend on
QUEUE_DRAIN_TIME = 2 * SECOND  # the time in which a backend should work off its queue
MAX_LOAD_FOR_MOVES = 0.9  # above this mean load other backends have no capacity for moved connections
# After this time reports reflect a move, and a new connection has reached its load.
MOVE_EFFECT_TIME = SETTLED_AGE = 2 * SECOND
FEW_CONNECTIONS = 3  # with more at a backend, some are no larger than any surplus worth a move
MAX_SHED_SHARE_PER_TICK = 0.04  # of its connections that a relay sheds per tick
# How old a message delay and a load report may be to justify a move.
MAX_DELAY_AGE, MAX_MOVE_REPORT_AGE = 1500 * MS, 3 * SECOND


def move(state: State, connection: Connection) -> None:
    """Asks a client to reconnect, so that it is placed elsewhere."""
    connection.moved = True
    state.host.move(connection.connection_id)


def _is_settled(connection: Connection, now: int) -> bool:
    return connection.opened_at > 0 and now - connection.opened_at > SETTLED_AGE and not connection.moved


def drain(state: State, now: int, connections: dict[int, Connection], deadline: int) -> None:
    """Moves a tick's part of the connections, so that they return evenly spread until the deadline."""
    remaining = [one for one in connections.values() if one.opened_at and not one.moved]
    # Rounded at random: each of dozens of relays has one or two connections there, and if all of them rounded
    # up, they would move them all in the same tick.
    for connection in remaining[: int(len(remaining) * TICK / max(TICK, deadline - now) + state.random())]:
        move(state, connection)


def tick(state: State, now: int) -> None:
    """Sheds load if the fleet is full, and moves a few connections off overloaded backends if it is not."""
    fleet, grouped = utilization.fleet_load(state, now), state.settings.grouped
    shedding.update(state, now, fleet)
    if fleet < 0 or ejection.is_shared(state, now):
        return
    if state.shed_fraction > 0.02 and fleet > utilization.FULL_THRESHOLD and not grouped:
        _shed(state, now)
    if fleet > (shedding.TARGET_LOAD if grouped else MAX_LOAD_FOR_MOVES):
        return
    ready = (backend for backend in state.backends_in_use.values() if backend.state is BackendState.READY)
    surplus, left = {backend: _surplus(state, now, backend) for backend in ready}, MOVES_PER_TICK
    for backend in sorted(surplus, key=surplus.__getitem__, reverse=True):
        if surplus[backend] > 0:
            left -= _move_surplus(state, now, backend, surplus[backend] * backend.load, left)


def _surplus(state: State, now: int, backend: Backend) -> float:
    """Returns the part of its load to move away; each relay moves this part of its own connections."""
    # A move disturbs its client, so an estimate that exceeds the report leads to a probe, never to a move.
    load, target = (
        min(backend.reported, utilization.estimated_load(state, now, backend)),
        shedding.TARGET_LOAD,
    )
    is_late = (
        now - backend.delay_at < MAX_DELAY_AGE
        and backend.message_delay > state.settings.shortest_message_latency_target > 0
    )
    if is_late:  # a backlog delays all clients there until it is worked off, even if the offered load is low
        load, target = max(load, 1.0), max(0.0, target - backend.message_delay / QUEUE_DRAIN_TIME)
    is_current = is_late or now - backend.reported_at < MAX_MOVE_REPORT_AGE
    return 1 - target / load if load >= utilization.OVERLOAD_THRESHOLD and is_current else 0.0


def _shed(state: State, now: int) -> None:
    """Moves away open connections that would be rejected now: an overloaded backend serves none well."""
    candidates = []
    for backend in state.backends_in_use.values():
        settled = [one for one in backend.connections.values() if _is_settled(one, now)]
        for connection in (one for one in settled if shedding.is_shed(state, one)):
            load = utilization.estimated_load(state, now, backend) + (now < backend.busy_until)
            candidates.append((load, connection.load, connection.connection_id))
    limit = min(MOVES_PER_TICK, int(MAX_SHED_SHARE_PER_TICK * len(state.connections) + state.random()))
    for *_, connection_id in sorted(candidates, reverse=True)[:limit]:
        move(state, state.connections[connection_id])


def _move_surplus(state: State, now: int, backend: Backend, surplus: float, limit: int) -> int:
    settled = [one for one in backend.connections.values() if _is_settled(one, now)]
    moved = 0
    # A connection larger than the surplus is moved with a probability of surplus over load, and only once per
    # report that reflects the last move.
    is_reflected = backend.reported_at - backend.rebalanced_at > MOVE_EFFECT_TIME
    may_draw = is_reflected and len(settled) <= FEW_CONNECTIONS
    for connection in sorted(settled, key=lambda one: _move_rank(state, one), reverse=True):
        load = connection.load
        if moved >= limit or load <= 0:
            break
        if load <= surplus or (may_draw and state.random() * load < surplus):
            may_draw = may_draw and load <= surplus
            surplus = max(0.0, surplus - load)
            moved += 1
            move(state, connection)
    if is_reflected:
        backend.rebalanced_at = now
    return moved


def _move_rank(state: State, connection: Connection) -> tuple[int, float, float, int]:
    """Returns the sort key, highest first: groups that rank the backend lowest, the same at all relays."""
    cell_rank, group_rank, cell = 0, 0.0, connection.backend.cell
    if connection.group is not None:
        cells.rank(state, connection)
        cell_rank = connection.cells.index(cell) if cell in connection.cells else cells.MAX_CELLS
        group_rank = cells.group_rank(connection, connection.backend)
    return cell_rank, group_rank, connection.load, connection.connection_id
