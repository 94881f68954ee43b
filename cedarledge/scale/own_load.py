"""Resources that the connections and deliveries of one machine need with the current relay."""

from __future__ import annotations

import math
from typing import NamedTuple

from cedarledge.peers.machine import MAX_MEMBERS
from cedarledge.scale import assumptions, target
from cedarledge.scale.figures import Basis, Figure, Slopes
from cedarledge.scale.page import Table, figure_rows

MEGABYTE = 1e6
# Lines per second at which the load generator of the runs was not late and sent each line by itself.
UNBATCHED_RATE = 1_000


class MachineLoad(NamedTuple):
    """Resources that one machine of the target needs with the current relay.

    Memory is in bytes, `_cores` in processor cores, `_ms` in milliseconds of a core per line or per opened
    connection. `batched_cores` is the need for deliveries if lines arrive in batches. The `processes_by_`
    fields count the relay processes of a machine, as limited by processor time or by connections. `members`
    counts the processes of the fleet by connections, as each process is a member.
    """

    memory_per_connection: Figure
    memory: Figure
    idle_cores: Figure
    delivery_ms: Figure
    delivery_cores: Figure
    batched_cores: Figure
    open_ms: Figure
    processes_by_processor: Figure
    processes_by_connections: Figure
    members: Figure


def machine_load(slopes: Slopes) -> MachineLoad:
    """Estimates the load of one machine from the runs of one relay process."""
    connections, deliveries = target.CONNECTIONS_PER_RELAY, target.DELIVERIES_PER_RELAY
    per_connection = slopes.slope("relay_rest", "resident_bytes")
    idle_cores = slopes.at("relay_rest", "processor_ms_per_second", connections).times(1e-3)
    delivery = _delivery_ms(slopes)
    batched_cores = slopes.at("relay_deliveries", "processor_ms_per_second", deliveries).times(1e-3)
    delivery_cores = delivery.times(deliveries / 1000)
    busy = delivery_cores.plus(idle_cores)
    by_processor = busy._replace(value=float(math.ceil(busy.value / assumptions.PROCESS_CORE_SHARE)))
    by_connections = _processes_by_connections(slopes, connections)
    members = by_connections.times(target.RELAYS)
    return MachineLoad(
        per_connection,
        slopes.at("relay_rest", "resident_bytes", connections),
        idle_cores,
        delivery,
        delivery_cores,
        batched_cores,
        _open_ms(slopes),
        by_processor,
        by_connections,
        members,
    )


def _delivery_ms(slopes: Slopes) -> Figure:
    """Returns the cost of a line where lines arrive one by one; lines read in a batch cost less each."""
    total = slopes.measured("relay_deliveries", "processor_ms_per_second", UNBATCHED_RATE)
    return total.times(1 / UNBATCHED_RATE)


def _open_ms(slopes: Slopes) -> Figure:
    """Returns the cost of opening a connection at the largest size run, as it depends little on the size."""
    curve = slopes.curve("relay_rest", "processor_ms_per_open")
    if curve is None:
        return Figure(0.0, Basis.NONE)
    largest = curve.largest_size()
    source = f"relay_rest.processor_ms_per_open at {largest:g}"
    return Figure(curve.mean_at(largest), Basis.MEASURED, source)


def _latency(slopes: Slopes) -> Figure:
    return slopes.measured("relay_deliveries", "latency_p50_ms", UNBATCHED_RATE)


def _processes_by_connections(slopes: Slopes, connections: float) -> Figure:
    """Returns the number of processes if each has as many connections as the largest size run."""
    curve = slopes.curve("relay_rest", "resident_bytes")
    if curve is None:
        return Figure(0.0, Basis.NONE)
    largest = curve.largest_size()
    count = math.ceil(connections / largest)
    return Figure(float(count), Basis.ARITHMETIC, f"{largest:g} connections a process, the most run")


def machine_load_table(slopes: Slopes) -> Table:
    """Returns the load of one machine as a table, with the number of members of the whole fleet."""
    load = machine_load(slopes)
    cores = "cores a machine"
    rows = (
        ("memory a resting connection, bytes", load.memory_per_connection),
        ("memory of 93,478 connections in one process, MB", load.memory.times(1 / MEGABYTE)),
        (f"93,478 resting connections, {cores}", load.idle_cores),
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
