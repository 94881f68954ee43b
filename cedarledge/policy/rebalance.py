"""Rebalancing: moving open connections off backends that drain, are overloaded or must be relieved."""

from cedarledge.policy import cells, ejection, shedding, utilization
from cedarledge.policy.state import TICK, Backend, Connection, State
from cedarledge.terms import MS, SECOND, BackendState

MOVES_PER_TICK = 2  # a wave of clients coming back at once can drown what all attempts need
QUEUE_DRAIN_TIME = 2 * SECOND  # in which a backend is to work off what is queued
ROOM = 0.9  # above this mean load others can't take what is moved
EFFECT_TIME = SETTLED_AFTER = 2 * SECOND  # until moves show in reports, and a connection shows its load
FEW_HELD = 3  # with more connections at a backend some fit any surplus worth a move
SHED_PER_TICK = 0.04  # the most of its connections that a relay ends in a tick
DELAY_AGE, REPORT_AGE = 1500 * MS, 3 * SECOND  # how long what is told may be gone by


def move(state: State, connection: Connection) -> None:
    """Has a client come again elsewhere."""
    connection.moved = True
    state.host.move(connection.connection_id)


def _is_settled(connection: Connection, now: int) -> bool:
    return connection.opened_at > 0 and now - connection.opened_at > SETTLED_AFTER and not connection.moved


def drain(state: State, now: int, held: dict[int, Connection], by: int) -> None:
    """Moves a tick's part of the connections: all are to be gone by then, and not come back as one wave."""
    staying = [one for one in held.values() if one.opened_at and not one.moved]
    # One among dozens of relays holds one or two there. Rounded up, all would send them away in one tick.
    for connection in staying[: int(len(staying) * TICK / max(TICK, by - now) + state.random())]:
        move(state, connection)


def tick(state: State, now: int) -> None:
    """Moves a few connections off backends that are past serving them, while others have room."""
    fleet, grouped = utilization.fleet(state, now), state.settings.grouped
    shedding.update(state, now, fleet)
    if fleet < 0 or ejection.is_shared(state, now):
        return
    if state.shed_fraction > 0.02 and fleet > utilization.FULL and not grouped:
        _shed(state, now)
    if fleet > (shedding.TARGET_LOAD if grouped else ROOM):
        return
    ready = (backend for backend in state.holding.values() if backend.state is BackendState.READY)
    surplus, left = {backend: _surplus(state, now, backend) for backend in ready}, MOVES_PER_TICK
    for backend in sorted(surplus, key=surplus.__getitem__, reverse=True):
        if surplus[backend] > 0:
            left -= _relieve(state, now, backend, surplus[backend] * backend.load, left)


def _surplus(state: State, now: int, backend: Backend) -> float:
    """The part of its load that is to go: each relay takes it of its own, so together they take it once."""
    # A move costs its client: a guess at what changed since the report brings a probe, never a move.
    load, target = min(backend.reported, utilization.current(state, now, backend)), shedding.TARGET_LOAD
    is_late = now - backend.delay_at < DELAY_AGE and backend.delay > state.settings.shortest_message_goal > 0
    if is_late:  # until the queued work is done nobody there is served, however little is asked
        load, target = max(load, 1.0), max(0.0, target - backend.delay / QUEUE_DRAIN_TIME)
    is_known = is_late or now - backend.reported_at < REPORT_AGE
    return 1 - target / load if load >= utilization.OVERLOADED and is_known else 0.0


def _shed(state: State, now: int) -> None:
    """Ends open connections that would be rejected now: past its capacity a backend serves none."""
    found = []
    for backend in state.holding.values():
        settled = [one for one in backend.connections.values() if _is_settled(one, now)]
        for connection in (one for one in settled if shedding.sheds(state, one)):
            load = utilization.current(state, now, backend) + (now < backend.busy_until)
            found.append((load, connection.load, connection.connection_id))
    most = min(MOVES_PER_TICK, int(SHED_PER_TICK * len(state.connections) + state.random()))
    for *_, connection_id in sorted(found, reverse=True)[:most]:
        move(state, state.connections[connection_id])


def _relieve(state: State, now: int, backend: Backend, surplus: float, most: int) -> int:
    settled = [one for one in backend.connections.values() if _is_settled(one, now)]
    moved = 0
    # Where one connection is more than its part, a draw settles it, once for each report that shows the last.
    is_shown = backend.reported_at - backend.rebalanced_at > EFFECT_TIME
    draws = is_shown and len(settled) <= FEW_HELD
    for connection in sorted(settled, key=lambda one: _move_rank(state, one), reverse=True):
        load = connection.load
        if moved >= most or load <= 0:
            break
        if load <= surplus or (draws and state.random() * load < surplus):
            draws = draws and load <= surplus
            surplus = max(0.0, surplus - load)
            moved += 1
            move(state, connection)
    if is_shown:
        backend.rebalanced_at = now
    return moved


def _move_rank(state: State, connection: Connection) -> tuple[int, float, float, int]:
    """First those whose group ranks the backend lowest: all relays move the same groups."""
    place, group_rank, cell = 0, 0.0, connection.backend.cell
    if connection.group is not None:
        cells.rank(state, connection)
        place = connection.cells.index(cell) if cell in connection.cells else cells.MOST_CELLS
        group_rank = cells.group_rank(connection, connection.backend)
    return place, group_rank, connection.load, connection.connection_id
