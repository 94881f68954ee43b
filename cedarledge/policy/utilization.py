"""How loaded each backend and the whole fleet are, as far as this relay can tell."""

import math
from dataclasses import dataclass, field

from cedarledge.policy import estimators, slow_start
from cedarledge.policy.state import TICK, Backend, State
from cedarledge.terms import MS, SECOND, LoadReport

OVERLOADED = 0.95  # above this a backend answers late whatever it holds: its clients are better off elsewhere
FULL = 0.85  # above this mean load a fleet has no room for its own swings
FULL_WITH_GROUPS = 0.7  # nor, above this, for a group to lie on more backends: each pays for what it shares
KIND_WEIGHT = 0.5  # of a backend's kind against its own reports, in reports at full load
KIND_CONNECTIONS = 4.0  # the connections here that say as much of a backend's capacity as its kind does
SLOW = 0.5  # of its kind's capacity: a backend that shows less than this counts as what it shows
ECHO_HALF = 0.1  # own connections in a backend's share at which an own change counts half for other relays
GUESS_CAP = 0.35  # how far a settling relay's guess may go past a report: it guesses capacities far too low
REPORT_LIFETIME = 4 * SECOND  # how fast a report loses its say in the fleet's mean
MOST_LOAD = 3.0  # that one report brings into the fleet's mean
SAMPLE = 4  # so many fresh reports are a sample of the fleet
MEAN_AGE = 4 * MS  # how long a mean is gone by, for each backend that it is made of


def capacity(state: State, now: int, backend: Backend) -> float:
    """Work a second that a backend can do now, guessed from the load here times the relays; 0: unknown."""
    kind, own = state.host_type_capacity[backend.host_type], backend.capacity
    if kind.weight.read(now) < 0.5:
        return 0.0
    usual = kind.amount.read(now) / kind.weight.read(now)
    # The evidence is the connections here, however often a report is made of the same few: of one or two,
    # as one relay among hundreds has, the guess says more of where they are than of what the backend can do.
    held_by_full_one = usual / state.settings.relays / (estimators.mean(state.class_loads, now) or usual)
    kind_weight = max(KIND_WEIGHT, KIND_CONNECTIONS * backend.reports.read(now) / max(held_by_full_one, 0.01))
    # What it showed lately outweighs its kind: one that turns slow is idle once its clients are moved away.
    return (own.amount.read(now) + kind_weight * usual) / (own.weight.read(now) + kind_weight)


def current(state: State, now: int, backend: Backend) -> float:
    """The load asked of a backend over its capacity, with the changes since its report; below 0: unknown."""
    if backend.reported < 0:
        return -1.0
    change = backend.load - backend.load_at_report
    work = capacity(state, now, backend) if change else 0.0
    if not work:
        return backend.reported
    # Other relays do as this one does: its change counts for them, as far as its few placements are evidence.
    own = state.arrivals_per_backend * (now - backend.reported_at) / SECOND
    echo = 1 + (state.settings.relays - 1) * own / (own + ECHO_HALF)
    return max(0.0, backend.reported + echo * change / work)


def cautious(state: State, now: int, backend: Backend) -> float:
    """The same, as far as a rejection may go by it."""
    load = current(state, now, backend)
    return min(load, backend.reported + GUESS_CAP) if now < state.settling_until else load


def learn(state: State, now: int, backend: Backend, report: LoadReport) -> None:
    """Takes in a backend's load report."""
    backend.reported_at = now
    state.report_order.pop(backend.backend_id, None)
    state.report_order[backend.backend_id] = backend
    load = report.busy_share if report.offered_load is None else report.offered_load
    if load is None:
        return
    backend.reported = load = max(load, 1.0 + report.queue_delay / SECOND) if report.queue_delay else load
    backend.load_at_report = backend.load - max(0.0, backend.recent_load.read(now))
    kind, relays = state.host_type_capacity[backend.host_type], state.settings.relays
    if now < state.unrepresentative_until and kind.weight.read(now) >= 0.5:
        return  # it holds little of what the report tells of, and would take that for weakness
    backend.reports.add(now, 1)
    backend.capacity.add(now, backend.load_at_report * relays, load)
    if backend.load > 0 and not backend.is_cold(now) and 0.05 < load < slow_start.CREDIBLE_LOAD:
        kind.add(now, backend.load * relays, load)


def _weight(state: State, now: int, backend: Backend) -> float:
    """What a backend counts for in the fleet's mean: its kind's capacity, unless it shows to be a slow one.

    Its own guess would give most say to the backends where this relay's connections are, so that each relay
    goes by a mean of its own.
    """
    known = estimators.mean([state.host_type_capacity[backend.host_type]], now)
    known = known or estimators.mean(list(state.host_type_capacity.values()), now) or 1.0
    shown = capacity(state, now, backend)
    return shown if 0 < shown < SLOW * known else known


@dataclass
class FleetSample:
    """What the reports of some warm backends tell of all of them; loads are weighed by capacity."""

    load: list[float] = field(default_factory=lambda: [0.0, 0.0])  # elsewhere, and in this relay's zone
    size: list[float] = field(default_factory=lambda: [0.0, 0.0])
    unmet: list[float] = field(default_factory=lambda: [0.0, 0.0])  # size of backends without a report
    warm: int = 0  # backends
    reported: int = 0  # of these, so many have ever sent a report
    fresh: float = 0.0  # the same, each by the age of its report

    def mean(self) -> float:
        """The mean load of the warm backends; below 0: unknown."""
        return sum(self.load) / sum(self.size) if sum(self.size) else -1.0

    def local_mean(self) -> float:
        """The mean load of the warm backends in this relay's zone; below 0: unknown."""
        return self.load[1] / self.size[1] if self.size[1] else -1.0

    def evidence(self) -> float:
        """How far the reports are a sample of the fleet, up to 1."""
        return min(max(2 * self.fresh / min(self.warm, SAMPLE) - 1, 0.0), 1.0) if self.warm else 0.0


def fleet(state: State, now: int) -> float:
    """The mean load of the backends in the cells, gone by for a while; below 0: unknown."""
    if now < state.fleet_load_until:
        return state.fleet_load
    state.fleet_load_until = now + max(TICK, state.ready * MEAN_AGE)
    sample = _sample(state, now)
    if not state.settings.probes:
        _count_unmet(state, sample)
    state.fleet_load, state.local_load = sample.mean(), sample.local_mean()
    state.evidence = sample.evidence()
    slow_start.learn_rate(state, now)
    return state.fleet_load


def _sample(state: State, now: int) -> FleetSample:
    sample = FleetSample()
    for backend in (backend for cell in state.cells.values() for backend in cell):
        if backend.is_ejected(now) or backend.is_cold(now):
            continue  # a cold one's idle cores can't be had at will: no reason to call others busy
        sample.warm += 1
        is_local = backend.zone == state.settings.zone
        if backend.reported < 0:
            sample.unmet[is_local] += 0.0 if backend.open else _weight(state, now, backend)
            continue
        # By age: a relay that probes seldom would shed for half a minute by what a storm left in reports.
        recency = math.exp((backend.reported_at - now) / REPORT_LIFETIME)
        sample.reported += 1
        sample.fresh += recency
        share = recency * _weight(state, now, backend)
        sample.load[is_local] += min(cautious(state, now, backend), MOST_LOAD) * share
        sample.size[is_local] += share
    return sample


def _count_unmet(state: State, sample: FleetSample) -> None:
    """Counts backends that have neither a report nor a connection here as idle, as far as that shows.

    Without probes reports come with what ends at a backend, so only from where this relay's clients are. The
    more connections it has at the mean backend, the likelier one without any is idle.
    """
    if not sample.reported:
        return
    held = sum(backend.open for backend in state.holding.values()) / sample.warm
    recency = sample.fresh / sample.reported  # as the others' reports count
    for place, unmet in enumerate(sample.unmet):
        sample.size[place] += recency * unmet * held / (1 + held)
