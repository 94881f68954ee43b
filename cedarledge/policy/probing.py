"""Probing: steady probes, probes of backends in trouble, and probes before placement."""

from cedarledge.policy.state import Backend, Connection, State
from cedarledge.policy.utilization import OVERLOADED, REPORT_LIFETIME, current
from cedarledge.terms import MS, SECOND, BackendState

SHORTEST_INTERVAL, LONGEST_INTERVAL = SECOND, 4 * SECOND
PROBES_PER_ARRIVAL = 2  # more cost a large fleet of relays more than their news is worth
HELD_ROUND, HEAD_START = 5 * SECOND, 3  # those with clients here come in a round, and so many times sooner
FRESH = 2 * SECOND  # an older report does not tell whether a backend is busy: more was placed since
ENOUGH_SEEN = 0.25  # of the ready backends: by fewer fresh reports nobody is rejected at once
MOST_PROBES, PROBE_SHARE = 5, 0.25  # before a placement, within this part of its latency target


def is_needed(state: State, now: int, connection: Connection, backend: Backend) -> bool:
    """Whether the chosen backend's report is too old to go by, as most are at a relay among hundreds."""
    if not state.settings.probes or connection.probes >= MOST_PROBES or now > connection.probe_by - MS:
        return False
    return now - backend.reported_at > FRESH and not backend.is_cold(now)


def before_rejection(state: State, now: int, connection: Connection) -> Backend | None:
    """The backend to probe before a connection is rejected by few reports; none where they are enough."""
    if not state.settings.probes or connection.tried or connection.probed_to_reject:
        return None
    if now > connection.probe_by - MS or _has_seen_enough(state, now):
        return None
    unseen = (one for one in state.probe_order.values() if now - one.reported_at >= REPORT_LIFETIME)
    return next((one for one in unseen if _is_warm(one, now)), None)


def _has_seen_enough(state: State, now: int) -> bool:
    missing = ENOUGH_SEEN * state.ready
    for backend in reversed(state.report_order.values()):
        if missing <= 0 or now - backend.reported_at >= REPORT_LIFETIME:
            break
        missing -= _is_warm(backend, now)
    return missing <= 0


def _is_warm(backend: Backend, now: int) -> bool:
    return backend.state is BackendState.READY and not backend.is_cold(now)


def time_out(state: State, now: int) -> list[int]:
    """The connections that have waited too long for a probe: what is late is no better at taking them."""
    # A host may count in coarser units and wake a little early; one passed over then would be lost.
    late = [waiting for waiting in state.awaiting_probe if now > state.connections[waiting].probe_by - MS]
    for connection_id in late:
        state.awaiting_probe[connection_id].mark_busy(now)
    return late


def tick(state: State, now: int) -> None:
    """Sends the probes that are due."""
    if not state.ready or not state.settings.probes:
        return
    interval = _interval(state, now)
    held = [backend for backend in state.holding.values() if backend.state is BackendState.READY]
    if now >= state.next_probe:
        state.next_probe = now + interval
        # The longest unprobed, which meets new backends soon, with a head start for those with clients here.
        first = longest_unprobed(state)
        sooner = min(held, key=_turn, default=first)
        probe(state, now, sooner if HEAD_START * (now - sooner.probed_at) > now - first.probed_at else first)
    # Before their turn, but once an interval: in a storm that all relays feel more cost more than they tell.
    held = [backend for backend in held if now - backend.probed_at >= interval]
    doubtful = [backend for backend in held if _is_doubtful(state, now, backend)]
    if doubtful and now >= state.next_doubtful_probe:
        state.next_doubtful_probe = now + interval
        probe(state, now, min(doubtful, key=_turn))


def longest_unprobed(state: State) -> Backend | None:
    """The ready backend whose turn to be probed is next."""
    return next((one for one in state.probe_order.values() if one.state is BackendState.READY), None)


def _turn(backend: Backend) -> tuple[int, float]:
    return backend.probed_at, backend.tie_break


def _is_doubtful(state: State, now: int, backend: Backend) -> bool:
    is_overloaded = backend.ejections or max(backend.reported, current(state, now, backend)) > OVERLOADED
    return is_overloaded or now < backend.busy_until


def _interval(state: State, now: int) -> int:
    """The time between steady probes: a relay with few arrivals needs few, and has many beside it."""
    wanted = SECOND / max(PROBES_PER_ARRIVAL * state.arrival_rate(now), 0.1)
    if (
        not state.settings.message_delays_known
    ):  # only a probe tells of a slow backend, to its open connections
        wanted = HELD_ROUND / max(1, len(state.holding))
    return int(min(max(SHORTEST_INTERVAL, wanted), LONGEST_INTERVAL))


def probe(state: State, now: int, backend: Backend) -> None:
    """Probes a backend."""
    backend.probed_at = now
    state.probe_order[backend.backend_id] = state.probe_order.pop(backend.backend_id)
    state.host.probe(backend.backend_id)
