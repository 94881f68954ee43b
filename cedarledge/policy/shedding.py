"""Load shedding: selects the part of the load to reject while the fleet is full, to serve the rest."""

from cedarledge.policy.cells import hash64, unit_hash
from cedarledge.policy.estimators import mean_load
from cedarledge.policy.state import TICK, Connection, State
from cedarledge.policy.utilization import FULL_THRESHOLD, GROUPED_FULL_THRESHOLD
from cedarledge.terms import SECOND

TARGET_LOAD = 0.8  # to which overloaded backends are relieved
ORDER_SALT = 1 << 40  # makes the shed order independent of the ranking of cells


def is_shed(state: State, connection: Connection) -> bool:
    """Returns whether a connection is in the part to shed: that of the least value per load, then by key."""
    # Few or old reports justify less shedding, as the rest of the fleet may have capacity.
    return (
        state.shed_fraction > 0
        and shed_position(state, connection) < state.shed_fraction * state.sample_confidence
    )


def shed_position(state: State, connection: Connection) -> float:
    """Returns a connection's position in the shed order, from 0 (the first to be shed) to 1."""
    if connection.position_in_class is None:
        # A hash, so that the same clients are rejected each time, and groups as a whole: their shared work is
        # needed until the last connection ends.
        key = connection.group or connection.key
        connection.position_in_class = unit_hash(hash64(key), ORDER_SALT) if key else state.random()
    start, width = state.shed_order[connection.request_class]
    position = start + width * connection.position_in_class
    tenant, quotas = connection.tenant, state.settings.tenant_quotas
    quota = quotas[tenant] if tenant is not None and tenant < len(quotas) else 0
    if quota and state.connections_by_tenant[tenant] >= quota / state.settings.relays:
        position *= state.settings.over_quota_value_factor
    return position


def update(state: State, now: int, fleet: float) -> None:
    """Adjusts the shed fraction and the shed order to the fleet's mean load; called once per tick."""
    grouped = state.settings.grouped
    if fleet <= (GROUPED_FULL_THRESHOLD if grouped else FULL_THRESHOLD) and not state.shed_fraction:
        return
    classes = state.settings.request_classes
    mean_loads = [mean_load(state.class_loads, now, index) or 1.0 for index in range(len(classes))]
    demand = [
        load * (offered.read(now) + 0.1)
        for load, offered in zip(mean_loads, state.offered_arrivals, strict=True)
    ]
    total, start = sum(demand), 0.0
    for index in sorted(range(len(classes)), key=lambda index: classes[index].value / mean_loads[index]):
        state.shed_order[index] = start, demand[index] / total
        start += demand[index] / total
    if grouped:
        # Only arrivals are shed, no open connections: a fraction that integrates would grow until it is 1.
        target = min(max(0.0, (fleet - GROUPED_FULL_THRESHOLD) / (TARGET_LOAD - GROUPED_FULL_THRESHOLD)), 1.0)
    else:
        target = max(0.0, 1 - (1 - state.shed_fraction) * FULL_THRESHOLD / max(fleet, 0.1))
    state.shed_fraction += (target - state.shed_fraction) * TICK / SECOND
    if state.shed_fraction < 0.005:
        state.shed_fraction = 0.0
