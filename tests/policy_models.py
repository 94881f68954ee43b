"""Models for property tests of the policy: the parameters of a deployment, backends and client connections.

A backend has a capacity, a warm-up, and load reports that are refreshed periodically and arrive late. Load is
counted in connections of mean load. Backends do not fail under overload: the attempts at a cold backend are
recorded, and the tests compare them with the allowance.
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
    """A class of client requests; the load is relative to that of the other classes."""

    value: float = 1.0
    deadline: int = SECOND
    load: float = 1.0


@dataclass(frozen=True)
class Deployment:
    """The parameters of a simulated deployment; `pushed`: relays get list changes without requesting them."""

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
        """The mean load of a class, relative to the mean over all classes."""
        return self.classes[class_index].load / self.mean_load

    @property
    def list_update_delay(self) -> int:
        """The maximum delay until all relays know a change of the backend list."""
        return 400 * MS if self.pushed else 1500 * MS

    @property
    def connections(self) -> float:
        """The connections that cause the configured load, if each group is on one backend."""
        group_share = self.group_cost / self.group_size if self.group_size else 0.0
        return self.load * self.backends * self.connections_per_backend / (1 + group_share)

    @property
    def arrival_rate(self) -> float:
        """New connections per second, over all relays, that sustain the configured load."""
        return self.connections * SECOND / self.lifetime

    def cold_share(self, age: int) -> float:
        """The part of its capacity that a backend has at an age."""
        return min(1.0, self.cold_from + (1 - self.cold_from) * age / self.warmup_duration)

    def allowance(self, age: int) -> float:
        """N of the slow-start rule: the connections that a backend of an age may get within fall_span."""
        fill_rate = self.connections_per_backend / self.warmup_duration
        return self.fall_multiple * self.cold_share(age) * fill_rate * self.fall_span

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
    """A client's connection, from its first request to its end, including retries and moves."""

    class_index: int
    load: float
    group: str | None
    tenant: int | None
    key: str
    retries_left: int
    backend: Backend | None = None


class Backend:
    """A backend: its connections, its capacity and its load reports."""

    def __init__(self, backend_id: int, deployment: Deployment, started: int) -> None:
        self.backend_id = backend_id
        self.deployment = deployment
        self.started = started  # 0: long ago
        self.state = BackendState.READY
        self.background = 0.0  # load from relays that are not simulated
        self.connections = 0
        self.groups: Counter[str] = Counter()
        self.load = 0.0
        self.reports: deque[tuple[int, float]] = deque(maxlen=8)

    def entry(self) -> BackendEntry:
        cell = self.backend_id // self.deployment.cell_size
        return BackendEntry(
            self.backend_id, cell, cell % 2, 0, 1.0, self.state, self.started, self.backend_id
        )

    def is_cold(self, now: int) -> bool:
        return self.started > 0 and now < self.started + self.deployment.warmup_duration

    def utilization(self, now: int) -> float:
        """The offered load, relative to the current capacity."""
        share = self.deployment.cold_share(now - self.started) if self.started else 1.0
        shared_work = self.deployment.group_cost * len(self.groups)
        offered_load = self.background + self.load + shared_work
        return offered_load / (share * self.deployment.connections_per_backend)

    def add(self, connection: Connection) -> None:
        connection.backend = self
        self.connections += 1
        self.load += connection.load
        if connection.group is not None:
            self.groups[connection.group] += 1

    def release(self, connection: Connection) -> None:
        connection.backend = None
        self.connections -= 1
        self.load -= connection.load
        if connection.group is not None:
            self.groups[connection.group] -= 1
            if not self.groups[connection.group]:
                del self.groups[connection.group]

    def refresh(self, now: int) -> None:
        self.reports.append((now, self.utilization(now)))

    def report(self, now: int) -> LoadReport:
        arrived = [load for at, load in self.reports if at <= now - self.deployment.report_delay]
        return LoadReport(offered_load=arrived[-1]) if arrived else LoadReport()


@dataclass(frozen=True)
class Attempt:
    at: int
    relay_id: int
    backend_id: int
    load: float  # the relative load of its request class


@dataclass(frozen=True)
class Rejection:
    at: int
    relay_id: int
    load: float  # as in Attempt
    attempted: bool  # at a backend before the rejection
    fresh_reports: int  # of warm backends, at this relay
    warm: int  # ready and warm backends
    fleet_load: float  # their actual mean load
    probed_unseen: bool  # whether a warm backend without a fresh report was probed since the request


@dataclass(frozen=True)
class SlowStartUse:
    """The attempts at cold backends and their allowance."""

    sent: float
    allowed: float

    @property
    def share(self) -> float:
        return self.sent / self.allowed if self.allowed else 0.0


def max_excess_over_allowance(attempts: Iterable[Attempt], backend: Backend) -> float:
    """The maximum excess of the load sent to a cold backend within fall_span over N + 2 sqrt(N) + 2."""
    deployment = backend.deployment
    sent = [
        attempt
        for attempt in attempts
        if attempt.backend_id == backend.backend_id and backend.is_cold(attempt.at)
    ]
    maximum = -math.inf
    for last in sent:
        recent = sum(attempt.load for attempt in sent if 0 <= last.at - attempt.at < deployment.fall_span)
        allowance = deployment.allowance(last.at - backend.started)
        maximum = max(maximum, recent - (allowance + 2 * math.sqrt(allowance) + 2))
    return maximum


def slow_start_use(
    attempts: Iterable[Attempt], backends: list[Backend], since: int, until: int
) -> SlowStartUse:
    """The load sent to cold backends in a time range, and their allowance over that time."""
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
