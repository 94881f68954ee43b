"""The state of one relay's policy: its backends, its connections and what it has learned."""

import math
import random
from collections import Counter, defaultdict, deque
from dataclasses import dataclass
from typing import NamedTuple

from cedarledge.policy.estimators import DecayingRatio, DecayingSum
from cedarledge.terms import MS, SECOND, BackendState, DeploymentSettings, ExternalView, PolicyHost

TICK = 250 * MS
SETTLING_TIME = 40 * SECOND  # how long a relay that starts or returns holds less than its share
BUSY_TIME = 2 * SECOND
MOST_UNATTEMPTED = 14  # arrivals in a row at a relay; with a fifteenth it would reject all that it gets


class Backend:
    """What this relay knows of one backend."""

    drain_by = 0  # set for those that drain; with fewer than 30 attributes instances share their keys

    def __init__(self, backend_id: int, tie_break: float) -> None:
        self.backend_id, self.tie_break, self.state = backend_id, tie_break, BackendState.GONE
        self.cell = self.zone = self.host_type = self.hash_id = self.started_at = -1
        self.cold_until = self.probed_at = self.open = self.pending = 0
        self.weight, self.load, self.recent_load = 1.0, 0.0, DecayingSum(SECOND)
        self.connections, self.groups = dict[int, Connection](), Counter[str]()
        self.reset()

    def reset(self) -> None:
        """Forgets what a fresh start of the backend makes untrue."""
        self.reported, self.load_at_report = -1.0, 0.0  # load asked over capacity; below 0: unknown
        self.capacity, self.reports = DecayingRatio(15 * SECOND), DecayingSum(15 * SECOND)
        self.tokens, self.tokens_at = 0.0, -1
        self.reported_at = self.rebalanced_at = self.busy_until = self.delay = self.delay_at = 0
        self.ejections = self.ejected_until = 0

    def is_cold(self, now: int) -> bool:
        """Whether it is in slow start."""
        return now < self.cold_until

    def is_ejected(self, now: int) -> bool:
        """Whether failures keep it out; it returns by one attempt at a time."""
        return self.ejections > 0 and (now < self.ejected_until or self.pending > 0)

    def mark_busy(self, now: int, span: int = BUSY_TIME) -> None:
        """Has it count as busy for a span, whatever it reports."""
        self.busy_until = max(self.busy_until, now + span)


@dataclass(eq=False)
class Connection:
    """A client's connection from its arrival to its end."""

    connection_id: int
    request_class: int
    tenant: int | None
    key: str | None
    group: str | None
    load: float
    deadline: int = 0

    def __post_init__(self) -> None:
        self.probes = self.probe_by = self.attempted_at = self.opened_at = self.executed_at = 0
        self.ended = self.moved = self.probed_to_reject = self.is_trial = False
        self.shed_draw: float | None = None  # its part of the shed order within its class, once it is drawn
        self.backend: Backend | None = None  # from the attempt there to its end
        self.executed_by: Backend | None = None  # the first where it may have run
        self.tried, self.suspects = list[Backend](), list[Backend]()  # it ended in an error at suspects
        self.ranked_revision, self.hash_seed, self.cells = -1, 0, list[int]()


class UnattemptedArrival(NamedTuple):
    """A request since this relay's last attempt."""

    at: int
    place: float  # in the shed order, from 0 (the first to be shed) to 1


class State:
    """All that the parts of one relay's policy share."""

    def __init__(self, host: PolicyHost, settings: DeploymentSettings) -> None:
        self.host, self.settings, self.external = host, settings, ExternalView()
        self.random = random.Random(settings.seed).random
        self.stop_by = self.list_delay = 0  # when all clients are to be gone, 0: in service
        self.settling_until = (
            settings.start_time + SETTLING_TIME
        )  # until then guesses beyond reports are capped
        self.unrepresentative_until = 0.0  # until then it unlearns no capacity and lowers no rate
        self.backends, self.holding = (
            dict[int, Backend](),
            dict[int, Backend](),
        )  # all, those with connections
        self.probe_order: dict[int, Backend] = {}  # all of them, the longest unprobed first
        self.report_order: dict[int, Backend] = {}  # those that have reported, the latest last
        self.cells: dict[int, list[Backend]] = {}  # those that may take new connections
        self.ready = self.revision = 0  # backends in cells; changes of the cells
        self.connections, self.awaiting_probe = (
            dict[int, Connection](),
            dict[int, Backend](),
        )  # for a probe of that
        self.by_tenant, self.groups = Counter[int | None](), Counter[str]()
        self.attempted_at, self.unattempted = (
            settings.start_time,
            deque[UnattemptedArrival](maxlen=MOST_UNATTEMPTED),
        )
        self.arrivals, self.retries = DecayingSum(10 * SECOND), DecayingSum(10 * SECOND)
        self.arrivals_per_backend = self.fill_rate = 0.0  # a second
        self.offered = [DecayingSum(60 * SECOND) for _ in settings.profiles]  # arrivals, no returning clients
        self.class_loads = [DecayingRatio(60 * SECOND) for _ in settings.profiles]
        self.attempt_times, self.attempt_spread = DecayingRatio(20 * SECOND), DecayingSum(20 * SECOND)
        self.host_type_capacity: defaultdict[int, DecayingRatio] = defaultdict(
            lambda: DecayingRatio(40 * SECOND)
        )
        self.fleet_load, self.local_load, self.fleet_load_until = -1.0, -1.0, 0  # below 0: unknown
        self.evidence = 0.0  # how far the reports behind these are a sample of the fleet, up to 1
        self.failures, self.openings = DecayingSum(3 * SECOND), DecayingSum(3 * SECOND)
        self.in_flight, self.window = 0, math.inf  # attempts, and how many a shared failure bears
        self.shed_fraction, self.shed_order = 0.0, [(0.0, 1.0)] * len(settings.profiles)  # start, width
        self.next_probe = self.next_doubtful_probe = settings.start_time

    def arrival_rate(self, now: int) -> float:
        """Arrivals a second, seen over no more than the time since the relay's start."""
        lifetime = self.arrivals.lifetime
        seen = lifetime * (1 - math.exp((self.settings.start_time - now - MS) / lifetime))
        return self.arrivals.read(now) * SECOND / seen
