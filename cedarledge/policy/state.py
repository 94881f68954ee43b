"""The state of one relay's policy: its backends, its connections, and estimates of load and capacity."""

import math
import random
from collections import Counter, defaultdict, deque
from dataclasses import dataclass
from typing import NamedTuple

from cedarledge.policy.estimators import DecayingRatio, DecayingSum
from cedarledge.terms import MS, SECOND, BackendState, DeploymentSettings, ExternalView, PolicyHost

TICK = 250 * MS
SETTLING_TIME = 40 * SECOND  # after its start or return a relay has less than its share of connections
BUSY_TIME = 2 * SECOND
MAX_UNATTEMPTED = 14  # consecutive arrivals; no relay may reject fifteen without an attempt


class Backend:
    """What this relay knows about one backend, and its own connections there."""

    # Set for draining backends only: with fewer than 30 attributes, instances share their dictionary keys.
    drain_deadline = 0

    def __init__(self, backend_id: int, tie_break: float) -> None:
        """Starts with a backend that is not on the list; the random tie break orders equal backends."""
        self.backend_id, self.tie_break, self.state = backend_id, tie_break, BackendState.GONE
        self.cell = self.zone = self.host_type = self.hash_id = self.started_at = -1
        self.cold_until = self.probed_at = self.open = self.pending = 0
        self.weight, self.load, self.recent_load = 1.0, 0.0, DecayingSum(SECOND)
        self.connections, self.groups = dict[int, Connection](), Counter[str]()
        self.reset()

    def reset(self) -> None:
        """Discards what no longer holds once the backend has restarted."""
        self.reported, self.load_at_report = -1.0, 0.0  # offered load relative to capacity; below 0: unknown
        self.capacity, self.reports = DecayingRatio(15 * SECOND), DecayingSum(15 * SECOND)
        self.tokens, self.tokens_updated_at = 0.0, -1
        self.reported_at = self.rebalanced_at = self.busy_until = self.message_delay = self.delay_at = 0
        self.ejections = self.ejected_until = 0

    def is_cold(self, now: int) -> bool:
        """Returns whether the backend is in slow start."""
        return now < self.cold_until

    def is_ejected(self, now: int) -> bool:
        """Returns whether the backend is ejected; after the ejection time it gets one attempt at a time."""
        return self.ejections > 0 and (now < self.ejected_until or self.pending > 0)

    def mark_busy(self, now: int, duration: int = BUSY_TIME) -> None:
        """Treats the backend as busy for a time, whatever load it reports."""
        self.busy_until = max(self.busy_until, now + duration)


@dataclass(eq=False)
class Connection:
    """A client's connection, from its request to its end; over several attempts if need be."""

    connection_id: int
    request_class: int
    tenant: int | None
    key: str | None
    group: str | None
    load: float
    deadline: int = 0

    def __post_init__(self) -> None:
        """Starts without any attempt."""
        self.probe_count = self.probe_deadline = self.attempted_at = self.opened_at = self.executed_at = 0
        self.ended = self.moved = self.probed_before_rejection = self.is_trial = False
        # Its position among its class in the shed order, 0 to 1; None until computed.
        self.position_in_class: float | None = None
        self.backend: Backend | None = None  # of the current attempt or the open connection
        self.executed_by: Backend | None = None  # the first backend that may have executed it
        # The failed backends are those where an attempt ended in an error or a reset.
        self.attempted_backends, self.failed_backends = list[Backend](), list[Backend]()
        self.ranked_revision, self.hash_seed, self.cells = -1, 0, list[int]()


class UnattemptedArrival(NamedTuple):
    """A request that arrived after this relay's last attempt."""

    at: int
    shed_position: float  # 0 (the first to be shed) to 1


class State:
    """The state that the modules of the policy share."""

    def __init__(self, host: PolicyHost, settings: DeploymentSettings) -> None:
        """Starts with no backends and no connections, at the settings' start time."""
        self.host, self.settings, self.external = host, settings, ExternalView()
        self.random = random.Random(settings.seed).random
        # By the drain deadline all clients must have been moved away; 0 while the relay is in service.
        self.drain_deadline = self.list_retry_delay = 0
        # Until then an estimated load may exceed the reported one only by a limit.
        self.settling_until = settings.start_time + SETTLING_TIME
        # Until then known capacity estimates are not updated, and the fill rate may only rise.
        self.unrepresentative_until = 0.0
        # All known backends, and those with connections of this relay.
        self.backends, self.backends_in_use = dict[int, Backend](), dict[int, Backend]()
        self.probe_order: dict[int, Backend] = {}  # all backends, the least recently probed first
        self.report_order: dict[int, Backend] = {}  # backends with a report, the most recent last
        self.cells: dict[int, list[Backend]] = {}  # backends that accept new connections
        self.ready_count = self.cells_revision = 0  # backends in cells; number of changes of the cells
        # All connections, and the backend whose probe a connection waits for.
        self.connections, self.awaiting_probe = dict[int, Connection](), dict[int, Backend]()
        self.connections_by_tenant, self.groups = Counter[int | None](), Counter[str]()
        self.last_attempt_at, self.unattempted_arrivals = (
            settings.start_time,
            deque[UnattemptedArrival](maxlen=MAX_UNATTEMPTED),
        )
        self.arrivals, self.retries = DecayingSum(10 * SECOND), DecayingSum(10 * SECOND)
        self.arrivals_per_backend = self.fill_rate = 0.0  # per second
        # Arrivals of each request class, without clients that return.
        self.offered_arrivals = [DecayingSum(60 * SECOND) for _ in settings.request_classes]
        self.class_loads = [DecayingRatio(60 * SECOND) for _ in settings.request_classes]
        self.attempt_durations, self.attempt_deviations = DecayingRatio(20 * SECOND), DecayingSum(20 * SECOND)
        self.host_type_capacity: defaultdict[int, DecayingRatio] = defaultdict(
            lambda: DecayingRatio(40 * SECOND)
        )
        self.fleet_load, self.local_load, self.fleet_load_expires_at = -1.0, -1.0, 0  # below 0: unknown
        # How representative the reports behind these means are, 0 to 1.
        self.sample_confidence = 0.0
        self.failures, self.openings = DecayingSum(3 * SECOND), DecayingSum(3 * SECOND)
        # Attempts in progress, and how many there may be while attempts fail at all backends.
        self.in_flight, self.attempt_limit = 0, math.inf
        # The part of arrivals to shed, and the start and width of each request class in the shed order.
        self.shed_fraction, self.shed_order = 0.0, [(0.0, 1.0)] * len(settings.request_classes)
        self.next_probe_at = self.next_suspect_probe_at = settings.start_time

    def arrival_rate(self, now: int) -> float:
        """Returns the arrivals per second, averaged over at most the time since the relay's start."""
        lifetime = self.arrivals.lifetime
        observed_time = lifetime * (1 - math.exp((self.settings.start_time - now - MS) / lifetime))
        return self.arrivals.read(now) * SECOND / observed_time
