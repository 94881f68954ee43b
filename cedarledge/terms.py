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


class Listed(NamedTuple):
    """One backend as the list tells of it."""

    ep: int
    cell: int
    zone: int
    kind: int
    weight: float
    standing: BackendState
    started: int  # 0: long ago
    mark: int  # a number below 2**63 that every relay has for this backend


class LoadReport(NamedTuple):
    """What a backend says of itself; None where the site does not report it."""

    held: float | None = None
    queued: float | None = None
    busy_share: float | None = None
    service_time: int | None = None
    errors_per_s: float | None = None
    asked: float | None = None  # load asked over what the backend can do
    piled_up: int | None = None


class ProfileRow(NamedTuple):
    """What differs by profile."""

    effect: Effect
    dedup: Dedup
    window: int
    setup_goal: int
    message_goal: int  # 0: not told
    credit: float


class DeploymentSettings(NamedTuple):
    """What a relay is told at its start."""

    now: int
    seed: int
    me: int
    relays: int
    zone: int
    profiles: tuple[ProfileRow, ...]
    ranked: bool  # the list's weights differ from each other by capability
    must_ask: bool
    ask_every: int
    probes: bool
    delays_told: bool  # the host hears how long messages take at a backend, not only that none come back
    come_back_max: int  # 0: clients are not told when to return
    most_setups: int
    cold_from: float
    warm_within: int
    fall_multiple: float
    fall_span: int
    grouped: bool
    quotas: tuple[float, ...]  # open connections within each tenant's share; 0: not told
    over_share_credit: float
    crossing: float = 0.0  # part of a tunnel's credit that a setup in another location costs
    zones: int = 0  # in the deployment; 0: not told

    @property
    def tightest(self) -> int:
        """The shortest message goal; 0: none is told."""
        return min((row.message_goal for row in self.profiles if row.message_goal), default=0)


class ExternalView(NamedTuple):
    """What other subsystems know that bears on the choice, as plain values; the defaults say nothing."""

    aside: frozenset[int] = frozenset()  # backends that get nothing new; who is there stays


class PolicyHost(Protocol):
    """What the decision module may have done; every call takes effect at the time of the running event."""

    def send(self, tun: int, ep: int, timeout: int) -> None: ...
    def decline(self, tun: int, come_back: int) -> None: ...
    def close_with_error(self, tun: int) -> None: ...
    def move(self, tun: int) -> None: ...
    def probe(self, ep: int) -> None: ...
    def wake(self, delay: int, token: int) -> None: ...
    def watch(self) -> None: ...
    def log(self, text: str) -> None: ...
