"""Probing: periodic probes, extra probes of suspect backends, and probes before a placement."""

from cedarledge.policy.state import Backend, Connection, State
from cedarledge.policy.utilization import OVERLOAD_THRESHOLD, REPORT_LIFETIME, estimated_load
from cedarledge.terms import MS, SECOND, BackendState

MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL = SECOND, 4 * SECOND
PROBES_PER_ARRIVAL = 2  # with many relays more would cost more than the reports are worth
# Backends with clients of this relay are probed once in the round time, and earlier by the priority factor.
IN_USE_ROUND_TIME, IN_USE_PRIORITY = 5 * SECOND, 3
MAX_REPORT_AGE = 2 * SECOND  # an older report does not reflect recent placements
MIN_REPORTED_SHARE = 0.25  # of the ready backends; with fewer recent reports a rejection needs a probe
# The probes before a placement, and the part of its latency target in which they must be answered.
MAX_PROBES_PER_PLACEMENT, PROBE_TIME_SHARE = 5, 0.25


def is_needed(state: State, now: int, connection: Connection, backend: Backend) -> bool:
    """Returns whether the chosen backend must be probed first; with many relays most reports are too old."""
    if (
        not state.settings.probes
        or connection.probe_count >= MAX_PROBES_PER_PLACEMENT
        or now > connection.probe_deadline - MS
    ):
        return False
    return now - backend.reported_at > MAX_REPORT_AGE and not backend.is_cold(now)


def before_rejection(state: State, now: int, connection: Connection) -> Backend | None:
    """Returns the backend to probe before a connection is rejected; None if there are enough reports."""
    if not state.settings.probes or connection.attempted_backends or connection.probed_before_rejection:
        return None
    if now > connection.probe_deadline - MS or _has_enough_reports(state, now):
        return None
    unreported = (one for one in state.probe_order.values() if now - one.reported_at >= REPORT_LIFETIME)
    return next((one for one in unreported if _is_warm(one, now)), None)


def _has_enough_reports(state: State, now: int) -> bool:
    missing = MIN_REPORTED_SHARE * state.ready_count
    for backend in reversed(state.report_order.values()):
        if missing <= 0 or now - backend.reported_at >= REPORT_LIFETIME:
            break
        missing -= _is_warm(backend, now)
    return missing <= 0


def _is_warm(backend: Backend, now: int) -> bool:
    return backend.state is BackendState.READY and not backend.is_cold(now)


def time_out(state: State, now: int) -> list[int]:
    """Returns the connections whose probe is overdue; backends that answer late are marked as busy."""
    # A host with a coarser clock may fire slightly early; a connection skipped then would never be placed.
    late = [
        waiting for waiting in state.awaiting_probe if now > state.connections[waiting].probe_deadline - MS
    ]
    for connection_id in late:
        state.awaiting_probe[connection_id].mark_busy(now)
    return late


def tick(state: State, now: int) -> None:
    """Sends the periodic and extra probes that are due."""
    if not state.ready_count or not state.settings.probes:
        return
    interval = _interval(state, now)
    in_use = [backend for backend in state.backends_in_use.values() if backend.state is BackendState.READY]
    if now >= state.next_probe_at:
        state.next_probe_at = now + interval
        # The least recently probed backend, so that new ones are probed soon; those in use come earlier.
        first = least_recently_probed(state)
        first_in_use = min(in_use, key=_probe_priority, default=first)
        probe(
            state,
            now,
            first_in_use
            if IN_USE_PRIORITY * (now - first_in_use.probed_at) > now - first.probed_at
            else first,
        )
    # Suspect backends are probed out of turn, but only one per interval: during an overload that all relays
    # observe, more probes would cost more than the reports are worth.
    in_use = [backend for backend in in_use if now - backend.probed_at >= interval]
    suspects = [backend for backend in in_use if _is_suspect(state, now, backend)]
    if suspects and now >= state.next_suspect_probe_at:
        state.next_suspect_probe_at = now + interval
        probe(state, now, min(suspects, key=_probe_priority))


def least_recently_probed(state: State) -> Backend | None:
    """Returns the ready backend that was not probed for the longest time; None if there is none."""
    return next((one for one in state.probe_order.values() if one.state is BackendState.READY), None)


def _probe_priority(backend: Backend) -> tuple[int, float]:
    return backend.probed_at, backend.tie_break


def _is_suspect(state: State, now: int, backend: Backend) -> bool:
    is_overloaded = (
        backend.ejections or max(backend.reported, estimated_load(state, now, backend)) > OVERLOAD_THRESHOLD
    )
    return is_overloaded or now < backend.busy_until


def _interval(state: State, now: int) -> int:
    """Returns the time between periodic probes; relays with few arrivals need few, and are usually many."""
    interval = SECOND / max(PROBES_PER_ARRIVAL * state.arrival_rate(now), 0.1)
    if not state.settings.message_delays_known:  # then only probes reveal slow backends of open connections
        interval = IN_USE_ROUND_TIME / max(1, len(state.backends_in_use))
    return int(min(max(MIN_PROBE_INTERVAL, interval), MAX_PROBE_INTERVAL))


def probe(state: State, now: int, backend: Backend) -> None:
    """Probes a backend, which is then last in the order of periodic probes."""
    backend.probed_at = now
    state.probe_order[backend.backend_id] = state.probe_order.pop(backend.backend_id)
    state.host.probe(backend.backend_id)
