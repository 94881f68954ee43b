"""The target of capacity planning: the size of the fleet and the failures and changes that it must handle.

The values come from the operators; values that follow from them alone are computed here.
"""

from __future__ import annotations

SECONDS_PER_DAY = 86_400

RELAYS = 460
CONNECTIONS = 43_000_000
SHARDS = 64_000
LARGEST_TOPIC_LISTENERS = 640_000
DELIVERIES_PER_SECOND = 5_300_000
DELIVERY_P99_MS = 170
REGIONS = 3
ZONES = 7

CONFIG_CHANGES_PER_DAY = 600
CONFIG_ROLLOUT_DEADLINE_SECONDS = 4.0

# Resources that the control plane may use on one relay, and the number of machines dedicated to control.
CONTROL_CORE_PERCENT = 3.3
CONTROL_MEMORY_MB = 256.0
CONTROL_BYTES_PER_SECOND = 4_000.0
CONTROL_MACHINES = 4

MACHINE_FAILURES_PER_DAY = 4
RESTARTS_PER_DAY = 76
ZONE_LOSSES_PER_YEAR = 2
RACK_LOSSES_PER_YEAR = 12

CONNECTIONS_PER_RELAY = CONNECTIONS / RELAYS
DELIVERIES_PER_RELAY = DELIVERIES_PER_SECOND / RELAYS
SHARDS_PER_RELAY = SHARDS / RELAYS
RELAYS_PER_ZONE = RELAYS / ZONES
