"""Assumed inputs of the capacity calculations, where a value is not measured and the operators give none."""

from __future__ import annotations

# Share of the control budget for each component, in percent; the shares add up to 100.
BUDGET_SHARES = {
    "membership": 30,
    "health and probes": 15,
    "configuration": 15,
    "shard and topic assignment": 15,
    "failover": 10,
    "rolling change": 5,
    "metrics": 10,
}

# Size of one encoded configuration change, and of one full configuration in memory. A relay stores two full
# configurations: the last good one and the next one.
CONFIG_CHANGE_BYTES = 4_096
CONFIG_BYTES = 1_000_000
# Size of one shard's owner and epoch in a message, and in a Python table.
SHARD_ROW_BYTES, SHARD_ENTRY_BYTES = 24, 200
# A relay has one lease for all its shards. The bytes are those of the two messages of one renewal.
LEASE_RENEWALS_PER_SECOND, LEASE_BYTES = 0.5, 200
# A relay with connections to many backends probes one of them per second: MIN_PROBE_INTERVAL of
# policy/probing.py. Without connections the interval is MAX_PROBE_INTERVAL, as in the measurement runs.
PROBES_WITH_CLIENTS_PER_SECOND = 1.0
# Size of one probe with its answer, and of one backend list call whose result is unchanged.
PROBE_BYTES, LIST_CALL_BYTES = 60, 200
# Metrics exported by a relay: the number of series, the bytes of each, and the export interval.
METRIC_SERIES, METRIC_BYTES, METRIC_INTERVAL_SECONDS = 200, 16, 15
METRIC_MEMORY_BYTES = 2_000_000
# Size of one member's membership record with all its fields; a datagram holds about six.
RECORD_BYTES = 200
# Memory of a component that stores only a few values.
SMALL_STATE_BYTES = 100_000
# Size of the IP and UDP headers.
DATAGRAM_HEADER_BYTES = 28
# Share of a core that one relay process may use for deliveries. The rest is headroom for load peaks and for
# long iterations of the event loop.
PROCESS_CORE_SHARE = 0.5
# Number of backends behind the relays. The operators give no number.
BACKENDS = 1_000
RELAYS_PER_RACK = 20
# Share of a core that a relay may use to reopen the connections of a lost zone.
REOPEN_CORE_SHARE = 0.5
