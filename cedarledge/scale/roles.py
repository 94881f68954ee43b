"""Memory, messages and processor time of each role of the fleet."""

from __future__ import annotations

from cedarledge.scale import assumptions, target
from cedarledge.scale.control_budget import (
    COMPARISON_SIZE,
    MEGABYTE,
    config_bytes_per_second,
    membership_part,
)
from cedarledge.scale.figures import Slopes, arithmetic
from cedarledge.scale.mechanisms import MEMBERSHIP_FILES, NOT_IMPLEMENTED, PROBE_FILES, VOTE_FILES
from cedarledge.scale.own_load import machine_load
from cedarledge.scale.page import Table


def roles_table(slopes: Slopes) -> Table:
    """Returns the table with a row for each resource that a role uses."""
    load = machine_load(slopes)
    relays = target.RELAYS
    probes = slopes.at("probing_relays", "probes_per_backend_second", relays)
    calls = slopes.at("compare_real", "list_calls_per_second", COMPARISON_SIZE).times(relays)
    changes = target.CONFIG_CHANGES_PER_DAY * relays / target.SECONDS_PER_DAY
    peak = config_bytes_per_second() * relays / target.CONTROL_MACHINES
    leases = relays * assumptions.LEASE_RENEWALS_PER_SECOND / target.CONTROL_MACHINES
    rows = (
        ("relay: connections, MB", "`net/clients.py`, `net/tunnels.py`", load.memory.times(1 / MEGABYTE)),
        ("relay: deliveries, cores", "`net/tunnels.py`", load.delivery_cores),
        ("relay: view of the members, MB", MEMBERSHIP_FILES, membership_part(slopes).memory_mb),
        (
            "relay: membership, messages/s sent",
            MEMBERSHIP_FILES,
            slopes.at("membership", "messages_per_second", relays),
        ),
        ("backend: probes/s from 460 relays without clients, of 100 backends", PROBE_FILES, probes),
        (
            "backend: probes/s from 460 relays with clients, of 100 backends",
            PROBE_FILES,
            arithmetic(relays * assumptions.PROBES_WITH_CLIENTS_PER_SECOND / 100),
        ),
        (
            "backend: s between looks of a relay without clients, of 1,000 backends",
            PROBE_FILES,
            slopes.at("probing_backends", "backend_seen_every", assumptions.BACKENDS),
        ),
        (
            "backend: s between looks of a relay with clients, of 1,000 backends",
            PROBE_FILES,
            arithmetic(assumptions.BACKENDS / assumptions.PROBES_WITH_CLIENTS_PER_SECOND),
        ),
        ("discovery: calls/s from 460 relays", "`net/discovery.py`", calls),
        ("control machine: relays told of a change, a second", NOT_IMPLEMENTED, arithmetic(changes)),
        ("control machine: bytes/s while a change goes out in 4 s", NOT_IMPLEMENTED, arithmetic(peak)),
        ("control machine: lease renewals/s", NOT_IMPLEMENTED, arithmetic(leases)),
        ("control machine: bytes a decision of 5 voters", VOTE_FILES, slopes.at("quorum", "bytes", 5)),
        (
            "rig: 460 hollow relays, cores",
            "`scale/hollow.py`",
            slopes.at("hollow_spread", "processor_ms_per_second", relays).times(relays / 1000),
        ),
        (
            "rig: 460 hollow relays, MB over six processes",
            "`scale/hollow.py`",
            slopes.at("hollow_spread", "memory_bytes", relays)
            .times(relays / MEGABYTE)
            .plus(slopes.at("hollow_spread", "process_base_bytes", relays).times(6 / MEGABYTE)),
        ),
    )
    return Table(
        "roles",
        ("role", "carried by", "figure", "basis"),
        tuple((name, files, figure.text(), figure.origin()) for name, files, figure in rows),
    )
