"""Load shedding: which part of the load is rejected while the fleet is full, so that the rest is served."""

from cedarledge.policy.cells import hash64, unit_hash
from cedarledge.policy.estimators import mean_load
from cedarledge.policy.state import TICK, Connection, State
from cedarledge.policy.utilization import FULL, FULL_WITH_GROUPS
from cedarledge.terms import SECOND

TARGET_LOAD = 0.8  # what backends are relieved to
ORDER_SALT = 1 << 40  # sets the shed order apart from that of the cells


def sheds(state: State, connection: Connection) -> bool:
    """Whether a connection is in the part that is shed: what earns least for its load, then by its key."""
    # What few or old reports say is no reason to reject what the rest of the fleet may have room for.
    return state.shed_fraction > 0 and shed_place(state, connection) < state.shed_fraction * state.evidence


def shed_place(state: State, connection: Connection) -> float:
    """A connection's place in the shed order, from 0 (the first to be shed) to 1."""
    if connection.shed_draw is None:
        # So the same clients are told no each time, and groups whole: they are paid for until the last goes.
        key = connection.group or connection.key
        connection.shed_draw = unit_hash(hash64(key), ORDER_SALT) if key else state.random()
    start, width = state.shed_order[connection.request_class]
    place = start + width * connection.shed_draw
    tenant, quotas = connection.tenant, state.settings.tenant_quotas
    quota = quotas[tenant] if tenant is not None and tenant < len(quotas) else 0
    if quota and state.by_tenant[tenant] >= quota / state.settings.relays:
        place *= state.settings.over_quota_credit_factor
    return place


def update(state: State, now: int, fleet: float) -> None:
    """Follows how much must be shed for the rest to be served, at a mean load of the fleet."""
    grouped = state.settings.grouped
    if fleet <= (FULL_WITH_GROUPS if grouped else FULL) and not state.shed_fraction:
        return
    classes = state.settings.profiles
    usual = [mean_load(state.class_loads, now, index) or 1.0 for index in range(len(classes))]
    asked = [load * (offered.read(now) + 0.1) for load, offered in zip(usual, state.offered, strict=True)]
    total, start = sum(asked), 0.0
    for index in sorted(range(len(classes)), key=lambda index: classes[index].credit / usual[index]):
        state.shed_order[index] = start, asked[index] / total
        start += asked[index] / total
    if grouped:  # arrivals alone are shed: a part that adds up against the rest would end at all of them
        wanted = min(max(0.0, (fleet - FULL_WITH_GROUPS) / (TARGET_LOAD - FULL_WITH_GROUPS)), 1.0)
    else:
        wanted = max(0.0, 1 - (1 - state.shed_fraction) * FULL / max(fleet, 0.1))
    state.shed_fraction += (wanted - state.shed_fraction) * TICK / SECOND
    if state.shed_fraction < 0.005:
        state.shed_fraction = 0.0
