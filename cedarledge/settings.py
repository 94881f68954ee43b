"""Checks the deployment settings and converts them to the policy's types, for all hosts of the policy."""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from hashlib import blake2b
from typing import Any

from cedarledge.terms import MS, SECOND, Dedup, DeploymentSettings, Effect, LoadReport, RequestClassSettings

US = 1_000

EFFECTS = {"pure": Effect.IDEMPOTENT, "token": Effect.DEDUPLICATED, "side_effect": Effect.NON_IDEMPOTENT}
DEDUPS = {"all": Dedup.ALL, "zone": Dedup.ZONE, "cell": Dedup.CELL}

# Load report columns: the field of LoadReport, and the factor that converts a value to its unit. The protocol
# description uses shorter column names than the settings do, so both are accepted.
REPORT_COLUMNS = {
    "outstanding": ("outstanding", 1),
    "backlog": ("queued", 1),
    "utilization": ("busy_share", 1),
    "recent_ms": ("service_time", MS),
    "errors_per_s": ("errors_per_s", 1),
    "inflight": ("outstanding", 1),
    "queue": ("queued", 1),
    "util": ("busy_share", 1),
    "latency_ms": ("service_time", MS),
    "eps": ("errors_per_s", 1),
}
# The meaning of x0 and x1 depends on the service type; they are ignored for any other one.
CONNECTION_SERVICE_COLUMNS = {"x0": ("offered_load", 1), "x1": ("queue_delay", SECOND)}


@lru_cache(maxsize=4096)
def stable_hash(name: str) -> int:
    """Returns a hash below 2**63 that is the same in every process, so that all relays agree on it."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big") >> 1


class Indices(dict):
    """Maps names to consecutive integers; a name gets the next one when it is first looked up."""

    def __init__(self, names: list[str] | None = None) -> None:
        """Assigns the first integers to the given names, in their order."""
        super().__init__((name, index) for index, name in enumerate(names or ()))
        self.names: list[Any] = list(names or ())

    def __missing__(self, name: Any) -> int:
        """Assigns and returns the next integer."""
        self[name] = index = len(self.names)
        self.names.append(name)
        return index


class ReportReader:
    """Converts a load report from its columns, ignoring unknown ones."""

    def __init__(self, settings: Mapping[str, Any]) -> None:
        """Selects the columns that the configured service type has."""
        self.columns = dict(REPORT_COLUMNS)
        if settings.get("service_type") == "conn":
            self.columns.update(CONNECTION_SERVICE_COLUMNS)

    def __call__(self, stats: Mapping[str, float]) -> LoadReport:
        """Returns the report of a backend's column values; a column without a value is left out."""
        fields = {}
        for name, value in stats.items():
            column = self.columns.get(name)
            if column is not None and value is not None:
                fields[column[0]] = value * column[1]
        return LoadReport(**fields)


# Paths of the settings that must be numbers, and of those that may also be absent or null.
REQUIRED_SETTINGS = (
    "allowed.connect_timeout",
    "safety.cold_from",
    "safety.warm_within",
    "safety.fall_multiple",
    "safety.overload_for",
)
REQUIRED_CLASS_SETTINGS = ("setup_goal", "client_timeout", "credit")
OPTIONAL_SETTINGS = (
    "allowed.conn_idle",
    "allowed.max_retry_after",
    "allowed.most_setups",
    "safety.ask_every",
    "overage_credit",
)
OBJECT_SETTINGS = ("allowed", "safety", "domain", "prices", "load_report")
# The upper limit of every number. Larger integers would not be exact as floats, and no valid setting comes
# near it: a day in microseconds is 9e10.
MAX_NUMBER = 1e15
LIST_SETTINGS = (
    "profiles",
    "tenants",
    "dcs",
    "host_types",
    "domain.message_aim",
    "domain.tenant_quota_connections",
)


def _value_at(settings: Mapping[str, Any], path: str) -> Any:
    value: Any = settings
    for name in path.split("."):
        value = value.get(name) if isinstance(value, Mapping) else None
    return value


def _check_number(value: Any, path: str, maximum: float = MAX_NUMBER) -> None:
    # In Python bool is a subclass of int. NaN fails the comparison.
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= maximum:
        raise ValueError(f"settings.{path}: expected a number from 0 to {maximum:g}, got {repr(value)[:40]}")


def _check_if_present(value: Any, path: str, maximum: float = MAX_NUMBER) -> None:
    if value is not None:
        _check_number(value, path, maximum)


def check_settings(settings: Mapping[str, Any]) -> None:
    """Raises ValueError, which names the path of the first invalid setting."""
    if not isinstance(settings, Mapping):
        raise ValueError(f"settings: expected an object, got {settings!r}")
    for path in OBJECT_SETTINGS:
        if not isinstance(_value_at(settings, path), Mapping | None):
            raise ValueError(f"settings.{path}: expected an object, got {_value_at(settings, path)!r}")
    for path in LIST_SETTINGS:
        if not isinstance(_value_at(settings, path), list | None):
            raise ValueError(f"settings.{path}: expected a list, got {_value_at(settings, path)!r}")
    relays = settings.get("group_size")
    if relays is not None and (not isinstance(relays, int) or isinstance(relays, bool) or relays < 1):
        raise ValueError(f"settings.group_size: expected an integer of at least 1, got {relays!r}")
    zone, zones = settings.get("zone"), settings.get("dcs")
    if zone is not None and zones is not None and zone not in zones:
        raise ValueError(f"settings.zone: {zone!r} is not in settings.dcs: {', '.join(map(str, zones))}")
    _check_if_present(_value_at(settings, "prices.cross_zone"), "prices.cross_zone", 1)
    groups = _value_at(settings, "domain.groups")
    if groups is not None and not isinstance(groups, bool):
        # A string such as "false" is truthy, and this relay would shed load earlier than all the others.
        raise ValueError(f"settings.domain.groups: expected true or false, got {groups!r}")
    for path in REQUIRED_SETTINGS:
        _check_number(_value_at(settings, path), path)
    for path in OPTIONAL_SETTINGS:
        _check_if_present(_value_at(settings, path), path)
    if not settings.get("profiles"):
        raise ValueError("settings.profiles: expected at least one entry")
    for kind, required in (("profiles", REQUIRED_CLASS_SETTINGS), ("tenants", ())):
        for number, row in enumerate(settings.get(kind) or ()):
            if not isinstance(row, Mapping) or row.get("name") is None:
                raise ValueError(f"settings.{kind}[{number}]: expected an object with a name, got {row!r}")
            for name in required:
                _check_number(row.get(name), f"{kind}[{number}].{name}")
            _check_if_present(row.get("window"), f"{kind}[{number}].window")
    for path in ("domain.message_aim", "domain.tenant_quota_connections"):
        for number, value in enumerate(_value_at(settings, path) or ()):
            _check_if_present(value, f"{path}[{number}]")


def deployment_settings(
    settings: Mapping[str, Any], seed: int, now: int, zones: Mapping[str, int]
) -> DeploymentSettings:
    """Converts checked settings to those of the policy; all times in the result are in nanoseconds."""
    allowed = settings["allowed"]
    safety = settings["safety"]
    domain = settings.get("domain") or {}
    goals = domain.get("message_aim") or ()
    overage = settings.get("overage_credit")
    return DeploymentSettings(
        start_time=now,
        seed=seed,
        relay_index=settings.get("me", 0),
        relays=max(1, settings.get("group_size") or 1),
        zone=zones[settings.get("zone")],
        request_classes=tuple(
            _request_class(row, (goals[index] if index < len(goals) else 0) or 0)
            for index, row in enumerate(settings.get("profiles") or ())
        ),
        weighted=settings.get("weight_kind", "off") != "off",
        requests_list=settings.get("membership_mode") == "ask",
        list_request_interval=int(safety.get("ask_every") or 0) * US,
        probes=bool(allowed.get("probes")),
        message_delays_known=bool(domain.get("tells_delay")),
        max_retry_after=int(allowed.get("max_retry_after") or 0) * US if allowed.get("retry_after") else 0,
        max_attempts=int(allowed.get("most_setups") or 1),
        cold_capacity_share=float(safety["cold_from"]),
        # Never 0, also where backends need no warm-up: rates are divided by it.
        warmup_duration=max(MS, int(safety["warm_within"]) * US),
        overload_multiple=float(safety["fall_multiple"]),
        overload_duration=int(safety["overload_for"]) * US,
        grouped=bool(domain.get("groups")),
        tenant_quotas=tuple(float(quota or 0) for quota in domain.get("tenant_quota_connections") or ()),
        over_quota_value_factor=1.0 if overage is None else float(overage),
        cross_zone_cost=float((settings.get("prices") or {}).get("cross_zone") or 0),
        zone_count=len(settings.get("dcs") or ()),
    )


def _request_class(row: Mapping[str, Any], message_latency_target: float) -> RequestClassSettings:
    return RequestClassSettings(
        # Unknown values get the strictest rule.
        effect=EFFECTS.get(row.get("semantics"), Effect.NON_IDEMPOTENT),
        dedup=DEDUPS.get(row.get("group"), Dedup.CELL),
        window=int(row.get("window") or 0) * US,
        # Without a target, an attempt may take as long as the client waits.
        setup_latency_target=int(row["setup_goal"] or row.get("client_timeout") or 0) * US or SECOND,
        message_latency_target=int(message_latency_target * US),
        value=float(row["credit"]),
    )
