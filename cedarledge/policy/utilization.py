"""Estimates of the capacity and load of each backend, and of the mean load of the fleet."""

import math
from dataclasses import dataclass, field

from cedarledge.policy import estimators, slow_start
from cedarledge.policy.state import TICK, Backend, State
from cedarledge.terms import MS, SECOND, LoadReport

# Above this load a backend answers late, so that its clients are better served by other backends.
OVERLOAD_THRESHOLD = 0.95
FULL_THRESHOLD = 0.85  # above this mean load a fleet has no capacity left for fluctuations
# With groups: above this mean load no group is spread further, as each backend repeats its shared work.
GROUPED_FULL_THRESHOLD = 0.7
# The weight of the host type's capacity relative to a backend's own reports: in reports at full load, and as
# the number of connections here that are as much evidence of the capacity as the host type is.
HOST_TYPE_WEIGHT = 0.5
HOST_TYPE_CONNECTIONS = 4.0
# A backend of less than this part of its host type's capacity is weighted by its own capacity.
SLOW_CAPACITY_SHARE = 0.5
# This relay's arrivals per backend at which the change at each other relay is assumed to be half of its own.
HALF_ECHO_ARRIVALS = 0.1
# How far an estimate may exceed the report while a settling relay estimates capacities far too low.
MAX_EXCESS_OVER_REPORT = 0.35
REPORT_LIFETIME = 4 * SECOND  # the time constant with which a report loses weight in the mean load
MAX_SAMPLE_LOAD = 3.0  # the limit of a single load in the mean load
MIN_SAMPLE_REPORTS = 4  # recent reports that are sufficient as a sample of the fleet
# The mean load is cached for this time per backend, to bound the cost of computing it.
FLEET_LOAD_LIFETIME_PER_BACKEND = 4 * MS


def capacity(state: State, now: int, backend: Backend) -> float:
    """Returns a backend's capacity, estimated by this relay's load there times the relays; 0: unknown."""
    of_type, own = state.host_type_capacity[backend.host_type], backend.capacity
    if of_type.weight.read(now) < 0.5:
        return 0.0
    type_capacity = of_type.amount.read(now) / of_type.weight.read(now)
    # The evidence is the number of connections here, however many reports there are about the same few. With
    # one or two of them, as one relay of hundreds has, the own estimate depends more on where these
    # connections are than on the backend's capacity.
    connections_when_full = (
        type_capacity / state.settings.relays / (estimators.mean(state.class_loads, now) or type_capacity)
    )
    type_weight = max(
        HOST_TYPE_WEIGHT, HOST_TYPE_CONNECTIONS * backend.reports.read(now) / max(connections_when_full, 0.01)
    )
    # Recent own reports outweigh the host type: a slow backend looks idle once its clients have been moved.
    return (own.amount.read(now) + type_weight * type_capacity) / (own.weight.read(now) + type_weight)


def estimated_load(state: State, now: int, backend: Backend) -> float:
    """Returns the reported load, updated by changes since the report; below 0: unknown."""
    if backend.reported < 0:
        return -1.0
    change = backend.load - backend.load_at_report
    backend_capacity = capacity(state, now, backend) if change else 0.0
    if not backend_capacity:
        return backend.reported
    # The other relays are assumed to place connections as this one does, as far as its arrivals are evidence.
    own = state.arrivals_per_backend * (now - backend.reported_at) / SECOND
    echo = 1 + (state.settings.relays - 1) * own / (own + HALF_ECHO_ARRIVALS)
    return max(0.0, backend.reported + echo * change / backend_capacity)


def capped_load(state: State, now: int, backend: Backend) -> float:
    """Returns the estimated load, limited for use in rejections while the relay settles."""
    load = estimated_load(state, now, backend)
    return min(load, backend.reported + MAX_EXCESS_OVER_REPORT) if now < state.settling_until else load


def record_report(state: State, now: int, backend: Backend, report: LoadReport) -> None:
    """Records a backend's load report and updates the capacity estimates."""
    backend.reported_at = now
    state.report_order.pop(backend.backend_id, None)
    state.report_order[backend.backend_id] = backend
    load = report.busy_share if report.offered_load is None else report.offered_load
    if load is None:
        return
    backend.reported = load = max(load, 1.0 + report.queue_delay / SECOND) if report.queue_delay else load
    backend.load_at_report = backend.load - max(0.0, backend.recent_load.read(now))
    of_type, relays = state.host_type_capacity[backend.host_type], state.settings.relays
    if now < state.unrepresentative_until and of_type.weight.read(now) >= 0.5:
        return  # with few connections here, the load of other relays would look like a low capacity
    backend.reports.add(now, 1)
    backend.capacity.add(now, backend.load_at_report * relays, load)
    if backend.load > 0 and not backend.is_cold(now) and 0.05 < load < slow_start.MAX_CREDIBLE_LOAD:
        of_type.add(now, backend.load * relays, load)


def _weight(state: State, now: int, backend: Backend) -> float:
    """Returns a backend's weight in the mean load: its host type's capacity, unless it is much slower.

    The backend's own estimate would give most weight to backends that hold this relay's connections, so that
    each relay would see a different mean.
    """
    type_capacity = estimators.mean([state.host_type_capacity[backend.host_type]], now)
    type_capacity = type_capacity or estimators.mean(list(state.host_type_capacity.values()), now) or 1.0
    own_capacity = capacity(state, now, backend)
    return own_capacity if 0 < own_capacity < SLOW_CAPACITY_SHARE * type_capacity else type_capacity


@dataclass
class FleetSample:
    """Sums over the reports of warm backends, each weighted by the backend's capacity and its report's age.

    The lists have two elements: other zones, and this relay's zone.
    """

    load: list[float] = field(default_factory=lambda: [0.0, 0.0])
    weight: list[float] = field(default_factory=lambda: [0.0, 0.0])
    # The weight of backends without a report and without a connection of this relay.
    unreported: list[float] = field(default_factory=lambda: [0.0, 0.0])
    warm: int = 0  # backends
    reported: int = 0  # warm backends with a report
    fresh: float = 0.0  # the same, each weighted by the age of its report

    def mean(self) -> float:
        """Returns the mean load of the warm backends; below 0: unknown."""
        return sum(self.load) / sum(self.weight) if sum(self.weight) else -1.0

    def local_mean(self) -> float:
        """Returns the mean load of the warm backends in this relay's zone; below 0: unknown."""
        return self.load[1] / self.weight[1] if self.weight[1] else -1.0

    def confidence(self) -> float:
        """Returns how representative the reports are of the fleet, from 0 to 1."""
        return (
            min(max(2 * self.fresh / min(self.warm, MIN_SAMPLE_REPORTS) - 1, 0.0), 1.0) if self.warm else 0.0
        )


def fleet_load(state: State, now: int) -> float:
    """Returns the mean load of the backends in the cells, cached for a time; below 0: unknown."""
    if now < state.fleet_load_expires_at:
        return state.fleet_load
    state.fleet_load_expires_at = now + max(TICK, state.ready_count * FLEET_LOAD_LIFETIME_PER_BACKEND)
    sample = _sample(state, now)
    if not state.settings.probes:
        _add_unreported(state, sample)
    state.fleet_load, state.local_load = sample.mean(), sample.local_mean()
    state.sample_confidence = sample.confidence()
    slow_start.update_fill_rate(state, now)
    return state.fleet_load


def _sample(state: State, now: int) -> FleetSample:
    sample = FleetSample()
    for backend in (backend for cell in state.cells.values() for backend in cell):
        if backend.is_ejected(now) or backend.is_cold(now):
            continue  # its idle capacity can only be used slowly, and must not make others count as busy
        sample.warm += 1
        is_local = backend.zone == state.settings.zone
        if backend.reported < 0:
            sample.unreported[is_local] += 0.0 if backend.open else _weight(state, now, backend)
            continue
        # By age: a relay that probes rarely would shed for half a minute because of reports from an overload.
        recency = math.exp((backend.reported_at - now) / REPORT_LIFETIME)
        sample.reported += 1
        sample.fresh += recency
        weight = recency * _weight(state, now, backend)
        sample.load[is_local] += min(capped_load(state, now, backend), MAX_SAMPLE_LOAD) * weight
        sample.weight[is_local] += weight
    return sample


def _add_unreported(state: State, sample: FleetSample) -> None:
    """Counts backends with neither a report nor a connection here as idle, weighted by the evidence for it.

    Without probes, reports arrive only when connections end, so only from backends with clients of this
    relay. The more connections it has at the average backend, the more likely is a backend without any idle.
    """
    if not sample.reported:
        return
    mean_open = sum(backend.open for backend in state.backends_in_use.values()) / sample.warm
    recency = sample.fresh / sample.reported  # the mean of the other backends'
    for index, unreported in enumerate(sample.unreported):
        sample.weight[index] += recency * unreported * mean_open / (1 + mean_open)
