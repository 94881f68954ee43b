"""The `settings` of the configuration that measured relays start with; times in microseconds."""

from __future__ import annotations

from typing import Any

PROFILES = [
    {
        "name": name,
        "semantics": semantics,
        "group": "all",
        "window": 2_000_000,
        "credit": 1,
        "setup_goal": 300_000,
        "client_timeout": 3_000_000,
    }
    for name, semantics in (("feed", "pure"), ("bill", "side_effect"))
]

RELAY_SETTINGS: dict[str, Any] = {
    "allowed": {"most_setups": 4, "probes": True, "connect_timeout": 150_000, "conn_idle": 15_000_000},
    "safety": {
        "cold_from": 0.2,
        "warm_within": 9_000_000,
        "fall_multiple": 3,
        "overload_for": 2_000_000,
        "ask_every": 2_000_000,
    },
    "profiles": PROFILES,
    "domain": {"message_aim": [100_000, 100_000], "tells_delay": True, "groups": False},
    "load_report": {"columns": ["utilization", "recent_ms", "x0"], "how": "on_probe"},
    "service_type": "conn",
    "membership_mode": "ask",
    "group_size": 1,
    "dcs": ["here"],
    "zone": "here",
    "host_types": ["box"],
    "weight_kind": "off",
    "unheard": {"of": "passed over"},
}
