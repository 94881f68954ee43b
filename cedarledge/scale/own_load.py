"""What the connections and deliveries of one machine take with the relay as it is."""

from __future__ import annotations

import math
from typing import NamedTuple

from cedarledge.peers.machine import MAX_MEMBERS
from cedarledge.scale import assumptions, target
from cedarledge.scale.figures import Basis, Figure, Slopes
from cedarledge.scale.page import Table, figure_rows

MEGABYTE = 1e6
# Lines a second at which the load generator of the runs kept up and sent each by itself.
UNBATCHED_RATE = 1_000


class OwnLoad(NamedTuple):
    """What the connections and deliveries of one machine take with today's relay."""

    memory_per_connection: Figure
    memory: Figure
    resting_cores: Figure
    delivery_ms: Figure
    delivery_cores: Figure
    batched_cores: Figure
    open_ms: Figure
    processes_by_processor: Figure
    processes_by_connections: Figure
    members: Figure


def own_load(slopes: Slopes) -> OwnLoad:
    """By the slopes of one relay process, at the connections and deliveries of a machine."""
    connections, deliveries = target.CONNECTIONS_PER_RELAY, target.DELIVERIES_PER_RELAY
    per_connection = slopes.slope("relay_rest", "resident_bytes")
    resting = slopes.at("relay_rest", "processor_ms_per_second", connections).times(1e-3)
    delivery = _delivery_ms(slopes)
    batched_cores = slopes.at("relay_deliveries", "processor_ms_per_second", deliveries).times(1e-3)
    delivery_cores = delivery.times(deliveries / 1000)
    busy = delivery_cores.plus(resting)
    by_processor = busy._replace(value=float(math.ceil(busy.value / assumptions.PROCESS_CORE_SHARE)))
    by_connections = _processes_by_connections(slopes, connections)
    members = by_connections.times(target.RELAYS)
    return OwnLoad(
        per_connection,
        slopes.at("relay_rest", "resident_bytes", connections),
        resting,
        delivery,
        delivery_cores,
        batched_cores,
        _open_ms(slopes),
        by_processor,
        by_connections,
        members,
    )


def _delivery_ms(slopes: Slopes) -> Figure:
    """At a rate at which lines come one by one: read in batches they cost less each."""
    total = slopes.measured("relay_deliveries", "processor_ms_per_second", UNBATCHED_RATE)
    return total.times(1 / UNBATCHED_RATE)


def _open_ms(slopes: Slopes) -> Figure:
    """At the most connections that were run; it hangs little on how many there are."""
    curve = slopes.curve("relay_rest", "processor_ms_per_open")
    if curve is None:
        return Figure(0.0, Basis.NONE)
    largest = curve.largest_size()
    source = f"relay_rest.processor_ms_per_open at {largest:g}"
    return Figure(curve.mean_at(largest), Basis.MEASURED, source)


def _latency(slopes: Slopes) -> Figure:
    return slopes.measured("relay_deliveries", "latency_p50_ms", UNBATCHED_RATE)


def _processes_by_connections(slopes: Slopes, connections: float) -> Figure:
    """Processes of the largest size that was really run."""
    curve = slopes.curve("relay_rest", "resident_bytes")
    if curve is None:
        return Figure(0.0, Basis.NONE)
    largest = curve.largest_size()
    count = math.ceil(connections / largest)
    return Figure(float(count), Basis.ARITHMETIC, f"{largest:g} connections a process, the most run")


def own_load_table(slopes: Slopes) -> Table:
    """The same as a table, with the members that it makes of the fleet."""
    load = own_load(slopes)
    cores = "cores a machine"
    rows = (
        ("memory a resting connection, bytes", load.memory_per_connection),
        ("memory of 93,478 connections in one process, MB", load.memory.times(1 / MEGABYTE)),
        (f"93,478 resting connections, {cores}", load.resting_cores),
        (f"a delivered line at {UNBATCHED_RATE:,} a second, ms of a core", load.delivery_ms),
        (f"11,522 deliveries a second at that, {cores}", load.delivery_cores),
        (f"the same by the curve, where lines come in batches, {cores}", load.batched_cores),
        ("an opened connection, ms of a core", load.open_ms),
        (f"latency of a line at {UNBATCHED_RATE:,} a second, median, ms", _latency(slopes)),
        (
            f"processes a machine at {assumptions.PROCESS_CORE_SHARE:.0%} of a core each",
            load.processes_by_processor,
        ),
        ("processes a machine at the most connections run", load.processes_by_connections),
        ("members of the fleet by processor time", load.processes_by_processor.times(target.RELAYS)),
        ("members of the fleet at the most connections run", load.members),
        (f"members over the view's bound of {MAX_MEMBERS:,}", load.members.times(1 / MAX_MEMBERS)),
    )
    return Table(
        "own-load",
        ("figure", "value", "basis"),
        figure_rows(rows),
    )
