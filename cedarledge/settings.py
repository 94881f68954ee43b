"""What the settings say, as the module's types; both hosts read them here."""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from hashlib import blake2b
from typing import Any

from cedarledge.terms import MS, SECOND, Dedup, DeploymentSettings, Effect, LoadReport, RequestClassSettings

US = 1_000

EFFECTS = {"pure": Effect.REPEATABLE, "token": Effect.REFERENCED, "side_effect": Effect.ONCE_ONLY}
DEDUPS = {"all": Dedup.ALL, "zone": Dedup.ZONE, "cell": Dedup.CELL}

# Report columns by the module's names, with the factor to its units. The pages on the sockets show a report
# with shorter names than those that the settings list, so both are known.
COLUMNS = {
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
# What x0 and x1 mean is told by the kind of service; where it is not known they are passed over.
CONNECTION_COLUMNS = {"x0": ("offered_load", 1), "x1": ("queue_delay", SECOND)}


@lru_cache(maxsize=4096)
def stable_hash(word: str) -> int:
    """A number below 2**63 that every relay has for the same backend."""
    return int.from_bytes(blake2b(word.encode(), digest_size=8).digest(), "big") >> 1


class Indices(dict):
    """Hands out small indices for words or wide ids, in the order in which they are first seen."""

    def __init__(self, names: list[str] | None = None) -> None:
        super().__init__((name, place) for place, name in enumerate(names or ()))
        self.names: list[Any] = list(names or ())

    def __missing__(self, name: Any) -> int:
        self[name] = index = len(self.names)
        self.names.append(name)
        return index


class ReportReader:
    """Reads a load report's columns, leaving out those that mean nothing here."""

    def __init__(self, settings: Mapping[str, Any]) -> None:
        self.columns = dict(COLUMNS)
        if settings.get("service_type") == "conn":
            self.columns.update(CONNECTION_COLUMNS)

    def __call__(self, stats: Mapping[str, float]) -> LoadReport:
        known = {}
        for name, value in stats.items():
            column = self.columns.get(name)
            if column is not None and value is not None:
                known[column[0]] = value * column[1]
        return LoadReport(**known)


# What no relay can do without, by its place; and what may be left out, be null, or be there.
REQUIRED_SETTINGS = (
    "allowed.connect_timeout",
    "safety.cold_from",
    "safety.warm_within",
    "safety.fall_multiple",
    "safety.overload_for",
)
REQUIRED_CLASS_SETTINGS = ("setup_goal", "client_timeout", "credit")
OPTIONAL = (
    "allowed.conn_idle",
    "allowed.max_retry_after",
    "allowed.most_setups",
    "safety.ask_every",
    "overage_credit",
)
TABLES = ("allowed", "safety", "domain", "prices", "load_report")
# No figure comes near it: a day in microseconds is 9e10. Past it whole numbers would be no floats.
MOST = 1e15
LISTS = ("profiles", "tenants", "dcs", "host_types", "domain.message_aim", "domain.tenant_quota_connections")


def _at(settings: Mapping[str, Any], place: str) -> Any:
    value: Any = settings
    for name in place.split("."):
        value = value.get(name) if isinstance(value, Mapping) else None
    return value


def _check_number(value: Any, place: str, most: float = MOST) -> None:
    # A bool is a number to Python; NaN is within no bounds.
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= most:
        raise ValueError(f"settings.{place}: expected a number from 0 to {most:g}, got {repr(value)[:40]}")


def _check_if_there(value: Any, place: str, most: float = MOST) -> None:
    if value is not None:
        _check_number(value, place, most)


def check_settings(settings: Mapping[str, Any]) -> None:
    """Raises ValueError with the place of the first thing that can't be used."""
    if not isinstance(settings, Mapping):
        raise ValueError(f"settings: expected names with values, got {settings!r}")
    for place in TABLES:
        if not isinstance(_at(settings, place), Mapping | None):
            raise ValueError(f"settings.{place}: expected names with values, got {_at(settings, place)!r}")
    for place in LISTS:
        if not isinstance(_at(settings, place), list | None):
            raise ValueError(f"settings.{place}: expected a list, got {_at(settings, place)!r}")
    relays = settings.get("group_size")
    if relays is not None and (not isinstance(relays, int) or isinstance(relays, bool) or relays < 1):
        raise ValueError(f"settings.group_size: expected a whole number from 1, got {relays!r}")
    zone, zones = settings.get("zone"), settings.get("dcs")
    if zone is not None and zones is not None and zone not in zones:
        raise ValueError(f"settings.zone: {zone!r} is none of settings.dcs: {', '.join(map(str, zones))}")
    _check_if_there(_at(settings, "prices.cross_zone"), "prices.cross_zone", 1)
    groups = _at(settings, "domain.groups")
    if groups is not None and not isinstance(groups, bool):
        # The word "false" would read as true, and one relay would give way sooner than all the others.
        raise ValueError(f"settings.domain.groups: expected true or false, got {groups!r}")
    for place in REQUIRED_SETTINGS:
        _check_number(_at(settings, place), place)
    for place in OPTIONAL:
        _check_if_there(_at(settings, place), place)
    if not settings.get("profiles"):
        raise ValueError("settings.profiles: expected one at least")
    for kind, needed in (("profiles", REQUIRED_CLASS_SETTINGS), ("tenants", ())):
        for number, row in enumerate(settings.get(kind) or ()):
            if not isinstance(row, Mapping) or row.get("name") is None:
                raise ValueError(f"settings.{kind}[{number}]: expected values and a name, got {row!r}")
            for name in needed:
                _check_number(row.get(name), f"{kind}[{number}].{name}")
            _check_if_there(row.get("window"), f"{kind}[{number}].window")
    for place in ("domain.message_aim", "domain.tenant_quota_connections"):
        for number, value in enumerate(_at(settings, place) or ()):
            _check_if_there(value, f"{place}[{number}]")


def deployment_settings(
    settings: Mapping[str, Any], seed: int, now: int, zones: Mapping[str, int]
) -> DeploymentSettings:
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
        profiles=tuple(
            _profile(row, (goals[place] if place < len(goals) else 0) or 0)
            for place, row in enumerate(settings.get("profiles") or ())
        ),
        weighted=settings.get("weight_kind", "off") != "off",
        requests_list=settings.get("membership_mode") == "ask",
        list_request_interval=int(safety.get("ask_every") or 0) * US,
        probes=bool(allowed.get("probes")),
        message_delays_known=bool(domain.get("tells_delay")),
        max_retry_after=int(allowed.get("max_retry_after") or 0) * US if allowed.get("retry_after") else 0,
        max_attempts=int(allowed.get("most_setups") or 1),
        cold_capacity_share=float(safety["cold_from"]),
        # Where backends need no time to warm, the moment that they do need stands for it.
        warmup_duration=max(MS, int(safety["warm_within"]) * US),
        overload_multiple=float(safety["fall_multiple"]),
        overload_duration=int(safety["overload_for"]) * US,
        grouped=bool(domain.get("groups")),
        tenant_quotas=tuple(float(quota or 0) for quota in domain.get("tenant_quota_connections") or ()),
        over_quota_credit_factor=1.0 if overage is None else float(overage),
        cross_zone_cost=float((settings.get("prices") or {}).get("cross_zone") or 0),
        zone_count=len(settings.get("dcs") or ()),
    )


def _profile(row: Mapping[str, Any], message_goal: float) -> RequestClassSettings:
    return RequestClassSettings(
        # A kind that the page does not name is held to the strictest rule.
        effect=EFFECTS.get(row.get("semantics"), Effect.ONCE_ONLY),
        dedup=DEDUPS.get(row.get("group"), Dedup.CELL),
        window=int(row.get("window") or 0) * US,
        # Without a goal any time will do that the client waits.
        setup_goal=int(row["setup_goal"] or row.get("client_timeout") or 0) * US or SECOND,
        message_goal=int(message_goal * US),
        credit=float(row["credit"]),
    )
