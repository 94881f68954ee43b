"""Types shared by the load-balancing policy and its hosts, and the interface that a host implements.

Times and durations are integers in nanoseconds. Backends, connections, request classes, tenants, zones and
host types are identified by small integers that the host assigns; these carry no other meaning.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Protocol

MS = 1_000_000
SECOND = 1_000_000_000


class Effect(IntEnum):
    """What may happen if two backends execute the same request."""

    IDEMPOTENT = 0
    DEDUPLICATED = 1
    NON_IDEMPOTENT = 2


class Dedup(IntEnum):
    """The backends that share deduplication state and so discard repeats of a `DEDUPLICATED` request."""

    CELL = 0
    ZONE = 1
    ALL = 2


class Outcome(IntEnum):
    """How an attempt, or the open connection that followed it, ended."""

    DONE = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class BackendState(IntEnum):
    """Whether a backend accepts new connections, only keeps its open ones, or has left the list."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ListForm(IntEnum):
    """What a list update contains: changed entries, all entries, the entries known at start, or nothing."""

    CHANGES = 0
    WHOLE = 1
    RESTORED = 2
    UNAVAILABLE = 3


class BackendEntry(NamedTuple):
    """A backend as described by the backend list."""

    backend_id: int
    cell: int
    zone: int
    host_type: int
    weight: float
    state: BackendState
    started_at: int  # 0: long ago
    hash_id: int  # below 2**63, and the same at every relay


class LoadReport(NamedTuple):
    """The load that a backend reports; a field is None if the deployment does not report it."""

    outstanding: float | None = None
    queued: float | None = None
    busy_share: float | None = None
    service_time: int | None = None
    errors_per_s: float | None = None
    offered_load: float | None = None  # work requested, divided by the backend's capacity
    queue_delay: int | None = None


class RequestClassSettings(NamedTuple):
    """The settings of one request class."""

    effect: Effect
    dedup: Dedup
    window: int  # how long backends remember a request in order to discard its repeats
    setup_latency_target: int
    message_latency_target: int  # 0: not configured
    value: float


class DeploymentSettings(NamedTuple):
    """The configuration that a relay's policy receives at its start."""

    start_time: int
    seed: int
    relay_index: int
    relays: int
    zone: int
    request_classes: tuple[RequestClassSettings, ...]
    weighted: bool  # whether the list's weights express different capacities
    requests_list: bool  # whether the policy has to request the backend list
    list_request_interval: int
    probes: bool  # whether backends may be probed
    message_delays_known: bool  # the host measures message delays of backends, not only missing answers
    max_retry_after: int  # 0: rejected clients are not told when to retry
    max_attempts: int
    cold_capacity_share: float  # capacity of a backend that has just started, relative to a warm one
    warmup_duration: int
    overload_multiple: float  # a cold backend fails under a load of this multiple of its capacity
    overload_duration: int  # how long such a load has to last until it fails
    grouped: bool  # whether connections of one group share work at a backend
    tenant_quotas: tuple[float, ...]  # open connections that each tenant is entitled to; 0: not configured
    over_quota_value_factor: float
    cross_zone_cost: float = 0.0  # the part of a connection's value that an attempt in another zone costs
    zone_count: int = 0  # in the deployment; 0: not configured

    @property
    def shortest_message_latency_target(self) -> int:
        """The shortest message latency target of all request classes; 0 if none is configured."""
        return min(
            (row.message_latency_target for row in self.request_classes if row.message_latency_target),
            default=0,
        )


class ExternalView(NamedTuple):
    """What other subsystems contribute to placement decisions; the defaults have no effect."""

    excluded: frozenset[int] = frozenset()  # backends that keep their open connections but get no new ones


class PolicyHost(Protocol):
    """Actions that the policy requests from its host; each takes effect at the time of the current event."""

    def attempt(self, connection_id: int, backend_id: int, timeout: int) -> None:
        """Attempts to open a connection at a backend within the timeout."""
        ...

    def reject(self, connection_id: int, retry_after: int) -> None:
        """Tells the client that it may retry, after the given delay if that is above 0."""
        ...

    def close_with_error(self, connection_id: int) -> None:
        """Tells the client that its request failed; a retry might execute the request twice."""
        ...

    def move(self, connection_id: int) -> None:
        """Asks the client of an open connection to reconnect, so that it can be placed at another backend."""
        ...

    def probe(self, backend_id: int) -> None:
        """Requests a load report; the result arrives in `Balancer.probe_ended`."""
        ...

    def set_timer(self, delay: int, token: int) -> None:
        """Calls `Balancer.timer_fired` with the token after the delay."""
        ...

    def request_list(self) -> None:
        """Requests the backend list and its changes, which arrive in `Balancer.list_changed`."""
        ...

    def log(self, text: str) -> None:
        """Writes a line to the relay's log."""
        ...
