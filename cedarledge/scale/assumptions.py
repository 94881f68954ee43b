"""What the arithmetic of the capacity page takes for granted where nothing was measured or told."""

from __future__ import annotations

# Parts of the control budget, in percent; together the whole of it.
BUDGET_SHARES = {
    "membership": 30,
    "health and probes": 15,
    "configuration": 15,
    "shard and topic assignment": 15,
    "failover": 10,
    "rolling change": 5,
    "metrics": 10,
}

# One change of configuration, encoded, and the last good and the next one as a relay holds them.
CONFIG_CHANGE_BYTES = 4_096
CONFIG_BYTES = 1_000_000
# One shard's owner and epoch in a message, and in a Python table.
SHARD_ROW_BYTES, SHARD_ENTRY_BYTES = 24, 200
# A lease of one relay for all its shards: how often it is renewed, and the two messages of that.
LEASE_RENEWALS_PER_SECOND, LEASE_BYTES = 0.5, 200
# A relay with connections at many backends probes one of them a second: PROBE_EVERY of choice.py. Without any
# it is PROBE_SELDOM, which is what the runs have.
PROBES_WITH_CLIENTS_PER_SECOND = 1.0
# One probe with its answer, and one call of the list that brings nothing new.
PROBE_BYTES, LIST_CALL_BYTES = 60, 200
# What a relay exports: series, bytes of each, and how often.
METRIC_SERIES, METRIC_BYTES, METRIC_INTERVAL_SECONDS = 200, 16, 15
METRIC_MEMORY_BYTES = 2_000_000
# One member's record with all its fields: about six go into a datagram.
RECORD_BYTES = 200
# The state of a part that keeps a few values.
SMALL_STATE_BYTES = 100_000
# Headers of IP and UDP.
DATAGRAM_HEADER_BYTES = 28
# The part of a core that one relay process may take for deliveries, so that peaks and turns have room.
PROCESS_CORE_SHARE = 0.5
# Backends before the relays. The operators name no number.
BACKENDS = 1_000
RELAYS_PER_RACK = 20
# The part of a core that may go into opening the connections of a lost zone.
REOPEN_CORE_SHARE = 0.5
