"""Weighted rendezvous hashing: the cells of a connection's key, and a group's order of a cell's backends."""

import math
from hashlib import blake2b

from cedarledge.policy.state import Backend, Connection, State
from cedarledge.policy.utilization import FULL_WITH_GROUPS

MOST_CELLS = 6  # tried for a connection: work for one must not grow with the fleet
MOST_GROUP_ZONES = 2  # that a group may lie in to spare crossings: each further one pays for it once more
COSTLY_CROSSING = 0.05  # from this part of a connection's value on it costs more than an uneven load does
UINT64 = 2**64 - 1


def hash64(text: str) -> int:
    """A 64-bit hash that every relay gets for the same text."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def unit_hash(digest: int, salt: int) -> float:
    """A number in (0, 1) that every relay gets for the same digest and salt: splitmix64's last steps."""
    mixed = (digest ^ (salt + 1) * 0x9E3779B97F4A7C15) & UINT64
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & UINT64
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & UINT64
    return ((mixed ^ mixed >> 31) + 1) / (2**64 + 2**12)


def rank(state: State, connection: Connection) -> None:
    """Ranks the cells for a connection, where they have changed since."""
    settings, cells = state.settings, state.cells
    if connection.ranked_revision == state.revision:
        return
    seed = hash64(connection.group or connection.key or str(state.random()))
    # A group that lies in two zones is paid for in both: not while this one is nearly full, nor in more.
    local_first = settings.cross_zone_cost >= COSTLY_CROSSING and 0 <= state.local_load < FULL_WITH_GROUPS
    if connection.group is not None and settings.zone_count > MOST_GROUP_ZONES:
        local_first = False
    order = {cell: len(backends) / math.log(unit_hash(seed, cell)) for cell, backends in cells.items()}
    ranked = sorted(
        cells, key=lambda cell: (local_first and cells[cell][0].zone != settings.zone, order[cell])
    )
    connection.cells, connection.hash_seed = ranked[:MOST_CELLS], seed
    connection.ranked_revision = state.revision


def ranked_backends(state: State, connection: Connection, cell: int) -> list[Backend]:
    """A cell's backends in the order that a connection tries them in."""
    if connection.group is None:
        return state.cells[cell]
    return sorted(state.cells[cell], key=lambda backend: group_rank(connection, backend))


def group_rank(connection: Connection, backend: Backend) -> float:
    """A backend's place in the order of the connection's group, the same at every relay."""
    return backend.weight / math.log(unit_hash(connection.hash_seed, backend.hash_id))
