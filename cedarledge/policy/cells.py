"""Weighted rendezvous hashing: orders the cells for a key, and the backends of a cell for a group."""

import math
from hashlib import blake2b

from cedarledge.policy.state import Backend, Connection, State
from cedarledge.policy.utilization import GROUPED_FULL_THRESHOLD

MAX_CELLS = 6  # considered for a connection, so that the cost of a placement does not grow with the fleet
MAX_GROUP_ZONES = 2  # that a group may spread over for locality; each one repeats its shared work
# From this part of a connection's value on, an attempt in another zone costs more than an uneven load does.
HIGH_CROSS_ZONE_COST = 0.05
UINT64 = 2**64 - 1


def hash64(text: str) -> int:
    """Returns a 64-bit hash, the same at every relay for the same text."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def unit_hash(digest: int, salt: int) -> float:
    """Returns a pseudorandom number in (0, 1), the same at every relay; the last steps of splitmix64."""
    mixed = (digest ^ (salt + 1) * 0x9E3779B97F4A7C15) & UINT64
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & UINT64
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & UINT64
    return ((mixed ^ mixed >> 31) + 1) / (2**64 + 2**12)


def rank(state: State, connection: Connection) -> None:
    """Ranks the cells for a connection, unless it has a ranking of the current cells."""
    settings, cells = state.settings, state.cells
    if connection.ranked_revision == state.cells_revision:
        return
    seed = hash64(connection.group or connection.key or str(state.random()))
    # A group that is spread over zones repeats its shared work in each. So the local zone comes first only
    # while it is not nearly full, and for groups only in deployments of few zones.
    local_first = (
        settings.cross_zone_cost >= HIGH_CROSS_ZONE_COST and 0 <= state.local_load < GROUPED_FULL_THRESHOLD
    )
    if connection.group is not None and settings.zone_count > MAX_GROUP_ZONES:
        local_first = False
    order = {cell: len(backends) / math.log(unit_hash(seed, cell)) for cell, backends in cells.items()}
    ranked = sorted(
        cells, key=lambda cell: (local_first and cells[cell][0].zone != settings.zone, order[cell])
    )
    connection.cells, connection.hash_seed = ranked[:MAX_CELLS], seed
    connection.ranked_revision = state.cells_revision


def ranked_backends(state: State, connection: Connection, cell: int) -> list[Backend]:
    """Returns a cell's backends in the order of preference of a connection."""
    if connection.group is None:
        return state.cells[cell]
    return sorted(state.cells[cell], key=lambda backend: group_rank(connection, backend))


def group_rank(connection: Connection, backend: Backend) -> float:
    """Returns the sort key of a backend for a connection's group, the same at every relay."""
    return backend.weight / math.log(unit_hash(connection.hash_seed, backend.hash_id))
