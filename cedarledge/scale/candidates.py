"""Candidate mechanisms to implement next, each with the figure that shows the need for it."""

from __future__ import annotations

from cedarledge.peers.machine import MAX_MEMBERS
from cedarledge.scale import assumptions, target
from cedarledge.scale.figures import Slopes, arithmetic
from cedarledge.scale.mechanisms import MEMBERSHIP_FILES, NOT_IMPLEMENTED
from cedarledge.scale.own_load import machine_load
from cedarledge.scale.page import Table


def candidates_table(slopes: Slopes) -> Table:
    """Returns the table with one row or more for each candidate mechanism."""
    load = machine_load(slopes)
    relays = target.RELAYS
    propagation_ratio = slopes.at("membership", "change_known_all", relays).times(
        1 / target.CONFIG_ROLLOUT_DEADLINE_SECONDS
    )
    bytes_per_second = slopes.at("membership", "bytes_per_second", relays)
    allowed_bytes_per_second = target.CONTROL_BYTES_PER_SECOND * assumptions.BUDGET_SHARES["membership"] / 100
    whole_table_seconds = target.SHARDS * assumptions.SHARD_ROW_BYTES / target.CONTROL_BYTES_PER_SECOND
    probe_interval = arithmetic(assumptions.BACKENDS / assumptions.PROBES_WITH_CLIENTS_PER_SECOND)
    returning_connections = (
        target.RELAYS_PER_ZONE * target.CONNECTIONS_PER_RELAY / (relays - target.RELAYS_PER_ZONE)
    )
    rows = (
        (
            "numbered configuration in force within 4 s",
            NOT_IMPLEMENTED,
            "s until all hold a record of membership, the nearest carrier, over 4 s",
            propagation_ratio,
        ),
        (
            "numbered configuration: the same, a minute after all relays started at once",
            NOT_IMPLEMENTED,
            "s until all hold the record, over 4 s",
            slopes.at("hollow", "change_known_all", relays).times(1 / target.CONFIG_ROLLOUT_DEADLINE_SECONDS),
        ),
        (
            "bounded views in place of full exchange",
            MEMBERSHIP_FILES,
            "bytes/s over membership's part",
            bytes_per_second.times(1 / allowed_bytes_per_second),
        ),
        (
            "bounded views: the same on sockets of a busy machine",
            MEMBERSHIP_FILES,
            "bytes/s over membership's part",
            slopes.at("hollow_spread", "bytes_per_second", relays).times(1 / allowed_bytes_per_second),
        ),
        (
            "bounded views: the same, a tenth of datagrams lost",
            MEMBERSHIP_FILES,
            "bytes/s over membership's part",
            slopes.at("membership_loss_10", "bytes_per_second", relays).times(1 / allowed_bytes_per_second),
        ),
        (
            "bounded views: the same, records that do not change",
            MEMBERSHIP_FILES,
            "bytes/s over membership's part",
            slopes.at("membership_still", "bytes_per_second", relays).times(1 / allowed_bytes_per_second),
        ),
        (
            "bounded views: the same, records that do not change, a tenth lost",
            MEMBERSHIP_FILES,
            "bytes/s over membership's part",
            slopes.at("membership_still_loss_10", "bytes_per_second", relays).times(
                1 / allowed_bytes_per_second
            ),
        ),
        (
            "bounded views: members over the bound",
            MEMBERSHIP_FILES,
            "at the most connections run",
            load.members.times(1 / MAX_MEMBERS),
        ),
        (
            "assignment of 64,000 shards",
            NOT_IMPLEMENTED,
            "s of all control bytes for one whole table",
            arithmetic(whole_table_seconds),
        ),
        (
            "fan-out of the largest topic",
            NOT_IMPLEMENTED,
            "lines from backends, over one a relay",
            arithmetic(target.LARGEST_TOPIC_LISTENERS / relays),
        ),
        (
            "subsets of backends",
            NOT_IMPLEMENTED,
            "s between looks of a relay at each of 1,000",
            probe_interval,
        ),
        (
            "paced return after a zone",
            NOT_IMPLEMENTED,
            "core seconds a relay for what returns",
            load.open_ms.times(returning_connections / 1000),
        ),
    )
    return Table(
        "candidates",
        ("mechanism", "carried by", "measure", "figure", "basis"),
        tuple(
            (name, files, measure, figure.text(), figure.origin()) for name, files, measure, figure in rows
        ),
    )
