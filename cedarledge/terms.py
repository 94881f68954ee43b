"""The plain types that the decision module and whoever hosts it share.

Times and durations are whole nanoseconds. A backend (ep), profile, tenant, zone, machine kind and
tunnel (tun) is a small index that the host hands out; it means nothing but identity.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Protocol

MS = 1_000_000
SECOND = 1_000_000_000


class Effect(IntEnum):
    REPEATABLE = 0
    REFERENCED = 1
    ONCE_ONLY = 2


class Dedup(IntEnum):
    """The backends that discard repeats of a referenced tunnel."""

    CELL = 0
    ZONE = 1
    ALL = 2


class Outcome(IntEnum):
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
    READY = 0
    DRAINING = 1
    GONE = 2


class ListForm(IntEnum):
    CHANGES = 0
    WHOLE = 1
    RESTORED = 2
    UNAVAILABLE = 3


class BackendEntry(NamedTuple):
    """One backend as the list tells of it."""

    backend_id: int
    cell: int
    zone: int
    host_type: int
    weight: float
    state: BackendState
    started_at: int  # 0: long ago
    hash_id: int  # a number below 2**63 that every relay has for this backend


class LoadReport(NamedTuple):
    """What a backend says of itself; None where the site does not report it."""

    outstanding: float | None = None
    queued: float | None = None
    busy_share: float | None = None
    service_time: int | None = None
    errors_per_s: float | None = None
    offered_load: float | None = None  # load asked over what the backend can do
    queue_delay: int | None = None


class RequestClassSettings(NamedTuple):
    """What differs by profile."""

    effect: Effect
    dedup: Dedup
    window: int
    setup_goal: int
    message_goal: int  # 0: not told
    credit: float


class DeploymentSettings(NamedTuple):
    """What a relay is told at its start."""

    start_time: int
    seed: int
    relay_index: int
    relays: int
    zone: int
    profiles: tuple[RequestClassSettings, ...]
    weighted: bool  # the list's weights differ from each other by capability
    requests_list: bool
    list_request_interval: int
    probes: bool
    message_delays_known: (
        bool  # the host hears how long messages take at a backend, not only that none come back
    )
    max_retry_after: int  # 0: clients are not told when to return
    max_attempts: int
    cold_capacity_share: float
    warmup_duration: int
    overload_multiple: float
    overload_duration: int
    grouped: bool
    tenant_quotas: tuple[float, ...]  # open connections within each tenant's share; 0: not told
    over_quota_credit_factor: float
    cross_zone_cost: float = 0.0  # part of a tunnel's credit that a setup in another location costs
    zone_count: int = 0  # in the deployment; 0: not told

    @property
    def shortest_message_goal(self) -> int:
        """The shortest message goal; 0: none is told."""
        return min((row.message_goal for row in self.profiles if row.message_goal), default=0)


class ExternalView(NamedTuple):
    """What other subsystems know that bears on the choice, as plain values; the defaults say nothing."""

    excluded: frozenset[int] = frozenset()  # backends that get nothing new; who is there stays


class PolicyHost(Protocol):
    """What the decision module may have done; every call takes effect at the time of the running event."""

    def attempt(self, connection_id: int, backend_id: int, timeout: int) -> None: ...
    def reject(self, connection_id: int, retry_after: int) -> None: ...
    def close_with_error(self, connection_id: int) -> None: ...
    def move(self, connection_id: int) -> None: ...
    def probe(self, backend_id: int) -> None: ...
    def set_timer(self, delay: int, token: int) -> None: ...
    def request_list(self) -> None: ...
    def log(self, text: str) -> None: ...
