"""What tests of the policy's laws are drawn from: a deployment's figures, a backend, a client's connection.

A backend has a capacity, a cold ramp and load reports that are refreshed now and then and arrive late. Load
is counted in connections of mean load. Nothing falls over: what a cold backend was sent is recorded, and the
test holds it against the allowance.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass

from cedarledge.terms import (
    MS,
    SECOND,
    BackendEntry,
    BackendState,
    Dedup,
    DeploymentSettings,
    Effect,
    LoadReport,
    RequestClassSettings,
)


@dataclass(frozen=True)
class RequestClass:
    """What clients of one class ask for; load is relative to the other classes'."""

    value: float = 1.0
    deadline: int = SECOND
    load: float = 1.0


@dataclass(frozen=True)
class Deployment:
    """Everything that a run is drawn from."""

    seed: int = 0
    relays: int = 1
    backends: int = 4
    cell_size: int = 4
    classes: tuple[RequestClass, ...] = (RequestClass(),)
    load: float = 0.5
    connections_per_backend: int = 20
    lifetime: int = 30 * SECOND
    warmup_duration: int = 10 * SECOND
    cold_from: float = 0.2
    fall_multiple: float = 3.0
    fall_span: int = 2 * SECOND
    probes: bool = True
    pushed: bool = True
    group_size: int = 0  # 0: connections belong to no group
    group_cost: float = 0.0
    tenants: int = 0
    crossing: float = 0.0
    attempts: int = 4
    retries: int = 0
    report_period: int = 500 * MS
    report_delay: int = 200 * MS

    @property
    def mean_load(self) -> float:
        return sum(request_class.load for request_class in self.classes) / len(self.classes)

    def relative_load(self, class_index: int) -> float:
        """The mean load of a class over that of all classes."""
        return self.classes[class_index].load / self.mean_load

    @property
    def notice(self) -> int:
        """By when all relays have been told of a change of the list."""
        return 400 * MS if self.pushed else 1500 * MS

    @property
    def connections(self) -> float:
        """The connections that bring the fleet to its load, with each group on one backend."""
        group_share = self.group_cost / self.group_size if self.group_size else 0.0
        return self.load * self.backends * self.connections_per_backend / (1 + group_share)

    @property
    def arrival_rate(self) -> float:
        """New connections a second, over all relays, that keep the fleet at its load."""
        return self.connections * SECOND / self.lifetime

    def cold_share(self, age: int) -> float:
        """The part of its capacity that a backend has so long after its start."""
        return min(1.0, self.cold_from + (1 - self.cold_from) * age / self.warmup_duration)

    def allowance(self, age: int) -> float:
        """N of the rule: the connections that a backend of this age may be sent within fall_span."""
        filling_rate = self.connections_per_backend / self.warmup_duration
        return self.fall_multiple * self.cold_share(age) * filling_rate * self.fall_span

    def settings(self, relay_id: int, now: int, seed: int) -> DeploymentSettings:
        quota = self.backends * self.connections_per_backend / self.tenants if self.tenants else 0.0
        return DeploymentSettings(
            start_time=now,
            seed=seed,
            relay_index=relay_id,
            relays=self.relays,
            zone=relay_id % 2,
            request_classes=tuple(
                RequestClassSettings(
                    Effect.IDEMPOTENT, Dedup.ALL, 0, request_class.deadline // 4, 50 * MS, request_class.value
                )
                for request_class in self.classes
            ),
            weighted=False,
            requests_list=not self.pushed,
            list_request_interval=10 * SECOND,
            probes=self.probes,
            message_delays_known=True,
            max_retry_after=800 * MS,
            max_attempts=self.attempts,
            cold_capacity_share=self.cold_from,
            warmup_duration=self.warmup_duration,
            overload_multiple=self.fall_multiple,
            overload_duration=self.fall_span,
            grouped=self.group_size > 0,
            tenant_quotas=(quota,) * self.tenants,
            over_quota_value_factor=0.1,
            cross_zone_cost=self.crossing,
        )


@dataclass(eq=False)
class Connection:
    """A client's connection, from its first request to its end, over all that it is tried at."""

    class_index: int
    load: float
    group: str | None
    tenant: int | None
    key: str
    retries_left: int
    backend: Backend | None = None


class Backend:
    """One backend: what it holds, what it can do now, what it reports."""

    def __init__(self, backend_id: int, deployment: Deployment, started: int) -> None:
        self.backend_id = backend_id
        self.deployment = deployment
        self.started = started  # 0: long ago
        self.state = BackendState.READY
        self.background = 0.0  # load that relays outside of the model have placed here
        self.connections = 0
        self.groups: Counter[str] = Counter()
        self.held = 0.0
        self.reports: deque[tuple[int, float]] = deque(maxlen=8)

    def listed(self) -> BackendEntry:
        cell = self.backend_id // self.deployment.cell_size
        return BackendEntry(
            self.backend_id, cell, cell % 2, 0, 1.0, self.state, self.started, self.backend_id
        )

    def is_cold(self, now: int) -> bool:
        return self.started > 0 and now < self.started + self.deployment.warmup_duration

    def utilization(self, now: int) -> float:
        """The load asked over what the backend can do now."""
        share = self.deployment.cold_share(now - self.started) if self.started else 1.0
        shared_work = self.deployment.group_cost * len(self.groups)
        demand = self.background + self.held + shared_work
        return demand / (share * self.deployment.connections_per_backend)

    def take(self, connection: Connection) -> None:
        connection.backend = self
        self.connections += 1
        self.held += connection.load
        if connection.group is not None:
            self.groups[connection.group] += 1

    def release(self, connection: Connection) -> None:
        connection.backend = None
        self.connections -= 1
        self.held -= connection.load
        if connection.group is not None:
            self.groups[connection.group] -= 1
            if not self.groups[connection.group]:
                del self.groups[connection.group]

    def refresh(self, now: int) -> None:
        self.reports.append((now, self.utilization(now)))

    def report(self, now: int) -> LoadReport:
        shown = [asked for at, asked in self.reports if at <= now - self.deployment.report_delay]
        return LoadReport(offered_load=shown[-1]) if shown else LoadReport()


@dataclass(frozen=True)
class Attempt:
    at: int
    relay_id: int
    backend_id: int
    load: float  # relative_load of the request's class


@dataclass(frozen=True)
class Rejection:
    at: int
    relay_id: int
    load: float  # as of an attempt
    attempted: bool  # at some backend before
    fresh_reports: int  # of warm backends
    warm: int  # backends that are ready and warm
    fleet_load: float  # the mean of these, as it truly is
    probed_unseen: bool  # since the request, a warm backend without a fresh report


@dataclass(frozen=True)
class SlowStartUse:
    """How much of what cold backends may be sent they were sent."""

    sent: float
    allowed: float

    @property
    def share(self) -> float:
        return self.sent / self.allowed if self.allowed else 0.0


def most_over_allowance(attempts: Iterable[Attempt], backend: Backend) -> float:
    """The most load sent to a cold backend in any fall_span, less what N + 2 sqrt(N) + 2 allows there."""
    deployment = backend.deployment
    sent = [
        attempt
        for attempt in attempts
        if attempt.backend_id == backend.backend_id and backend.is_cold(attempt.at)
    ]
    worst = -math.inf
    for last in sent:
        within = sum(attempt.load for attempt in sent if 0 <= last.at - attempt.at < deployment.fall_span)
        allowance = deployment.allowance(last.at - backend.started)
        worst = max(worst, within - (allowance + 2 * math.sqrt(allowance) + 2))
    return worst


def slow_start_use(
    attempts: Iterable[Attempt], backends: list[Backend], since: int, until: int
) -> SlowStartUse:
    """What cold backends were sent in a stretch of time, and N of the rule summed over it."""
    cold = {backend.backend_id: backend for backend in backends}
    sent = sum(
        attempt.load
        for attempt in attempts
        if since <= attempt.at < until
        and attempt.backend_id in cold
        and cold[attempt.backend_id].is_cold(attempt.at)
    )
    step = 100 * MS
    allowed = sum(
        backend.deployment.allowance(at - backend.started) * step / backend.deployment.fall_span
        for backend in backends
        for at in range(since, until, step)
        if backend.is_cold(at)
    )
    return SlowStartUse(sent, allowed)
