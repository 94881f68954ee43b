"""The control budget of one relay: the resources that each component needs, compared with its share."""

from __future__ import annotations

from typing import NamedTuple

from cedarledge.scale import assumptions, target
from cedarledge.scale.figures import NOT_RUN, Basis, Figure, Slopes, arithmetic, formatted
from cedarledge.scale.mechanisms import MEMBERSHIP_FILES, NOT_IMPLEMENTED, PROBE_FILES, VOTE_FILES
from cedarledge.scale.page import Table

MEGABYTE = 1e6
CORE_MS_PER_PERCENT = 10.0
# The fleet size at which hollow relays are corrected by real ones: the largest size of the comparison run.
COMPARISON_SIZE = 32


class BudgetPart(NamedTuple):
    """The resources that one component of the control plane needs on one relay."""

    name: str
    implemented_in: str
    processor_percent: Figure
    memory_mb: Figure
    bytes_per_second: Figure


def control_parts(slopes: Slopes) -> tuple[BudgetPart, ...]:
    """Returns the needs of all components at the target size; those without code are calculated."""
    return (
        membership_part(slopes),
        _health(slopes),
        _configuration(slopes),
        _assignment(slopes),
        _failover(slopes),
        _rolling_change(slopes),
        _metrics(slopes),
    )


def _percent(milliseconds: Figure) -> Figure:
    return milliseconds.times(1 / CORE_MS_PER_PERCENT)


def message_ms(slopes: Slopes) -> Figure:
    """Returns the milliseconds of processor time per datagram sent or received, as measured with the model.

    The factor 2 counts each message at its sender and at its receiver.
    """
    processor = slopes.at("membership", "processor_ms_per_second", target.RELAYS)
    messages = slopes.at("membership", "messages_per_second", target.RELAYS)
    if processor.is_missing or messages.is_missing or not messages.value:
        return Figure(0.0, Basis.NONE)
    return processor._replace(value=processor.value / (2 * messages.value))


def membership_part(slopes: Slopes) -> BudgetPart:
    """Returns the needs of membership.

    Bytes come from the model, processor time from hollow relays on sockets, and memory from a single view.
    """
    payload = slopes.at("membership", "bytes_per_second", target.RELAYS)
    headers = slopes.at("membership", "messages_per_second", target.RELAYS).times(
        assumptions.DATAGRAM_HEADER_BYTES
    )
    return BudgetPart(
        "membership",
        MEMBERSHIP_FILES,
        _percent(slopes.at("hollow_spread", "processor_ms_per_second", target.RELAYS)),
        slopes.at("view", "bytes", target.RELAYS).times(1 / MEGABYTE),
        payload.plus(headers),
    )


def _health(slopes: Slopes) -> BudgetPart:
    """Returns the needs of health checks.

    Processor time is the difference between a real relay and a hollow one. It includes probes and list calls
    on sockets, and all other work that only a real relay does.
    """
    real = slopes.at("compare_real", "processor_ms_per_second", COMPARISON_SIZE)
    hollow = slopes.at("compare_hollow", "processor_ms_per_second", COMPARISON_SIZE)
    extra_ms = real.plus(hollow)._replace(value=max(0.0, real.value - hollow.value))
    probes = arithmetic(assumptions.PROBES_WITH_CLIENTS_PER_SECOND * assumptions.PROBE_BYTES)
    calls = slopes.at("compare_real", "list_calls_per_second", COMPARISON_SIZE).times(
        assumptions.LIST_CALL_BYTES
    )
    table = arithmetic(assumptions.BACKENDS * assumptions.SHARD_ENTRY_BYTES / MEGABYTE)
    return BudgetPart("health and probes", PROBE_FILES, _percent(extra_ms), table, probes.plus(calls))


def _configuration(slopes: Slopes) -> BudgetPart:
    per_second = target.CONFIG_CHANGES_PER_DAY / target.SECONDS_PER_DAY
    processor = _percent(message_ms(slopes).times(2 * per_second))
    memory = arithmetic(2 * assumptions.CONFIG_BYTES / MEGABYTE)
    return BudgetPart(
        "configuration", NOT_IMPLEMENTED, processor, memory, arithmetic(config_bytes_per_second())
    )


def config_bytes_per_second() -> float:
    """Returns the bytes per second that a relay receives during a configuration change."""
    return assumptions.CONFIG_CHANGE_BYTES / target.CONFIG_ROLLOUT_DEADLINE_SECONDS


def _assignment(slopes: Slopes) -> BudgetPart:
    events = target.MACHINE_FAILURES_PER_DAY + target.RESTARTS_PER_DAY
    changed = 2 * events * target.SHARDS_PER_RELAY * assumptions.SHARD_ROW_BYTES / target.SECONDS_PER_DAY
    leases = assumptions.LEASE_RENEWALS_PER_SECOND * assumptions.LEASE_BYTES
    return BudgetPart(
        "shard and topic assignment",
        NOT_IMPLEMENTED,
        _percent(message_ms(slopes).times(2 * assumptions.LEASE_RENEWALS_PER_SECOND)),
        arithmetic(target.SHARDS * assumptions.SHARD_ENTRY_BYTES / MEGABYTE),
        arithmetic(changed + leases),
    )


def _failover(slopes: Slopes) -> BudgetPart:
    per_second = target.CONFIG_CHANGES_PER_DAY / target.SECONDS_PER_DAY
    sent_bytes = slopes.at("quorum", "bytes", 5).times(per_second)
    processor = _percent(slopes.at("quorum", "processor_ms", 5).times(per_second))
    memory = arithmetic(assumptions.SMALL_STATE_BYTES / MEGABYTE)
    return BudgetPart("failover", VOTE_FILES, processor, memory, sent_bytes)


def _rolling_change(slopes: Slopes) -> BudgetPart:
    """Returns the needs of rolling restarts; each relay receives two messages about each restart."""
    received_messages = 2 * target.RESTARTS_PER_DAY / target.SECONDS_PER_DAY
    return BudgetPart(
        "rolling change",
        NOT_IMPLEMENTED,
        _percent(message_ms(slopes).times(2 * received_messages)),
        arithmetic(assumptions.SMALL_STATE_BYTES / MEGABYTE),
        arithmetic(received_messages * assumptions.RECORD_BYTES),
    )


def _metrics(slopes: Slopes) -> BudgetPart:
    """Returns the needs of the metrics export, which is sent in datagrams of 1200 bytes."""
    sent_bytes = assumptions.METRIC_SERIES * assumptions.METRIC_BYTES / assumptions.METRIC_INTERVAL_SECONDS
    processor = _percent(message_ms(slopes).times(2 * sent_bytes / 1200))
    return BudgetPart(
        "metrics",
        NOT_IMPLEMENTED,
        processor,
        arithmetic(assumptions.METRIC_MEMORY_BYTES / MEGABYTE),
        arithmetic(sent_bytes),
    )


def control_tables(slopes: Slopes) -> list[Table]:
    """Returns the tables of processor time, memory and bytes, with each component's need and share."""
    parts = control_parts(slopes)
    return [
        _budget(
            "control-processor",
            "% of a core",
            target.CONTROL_CORE_PERCENT,
            [(part, part.processor_percent) for part in parts],
        ),
        _budget("control-memory", "MB", target.CONTROL_MEMORY_MB, [(part, part.memory_mb) for part in parts]),
        _with_unchanged_records_row(
            slopes,
            _budget(
                "control-bytes",
                "bytes/s",
                target.CONTROL_BYTES_PER_SECOND,
                [(part, part.bytes_per_second) for part in parts],
            ),
            parts,
        ),
    ]


def _with_unchanged_records_row(slopes: Slopes, table: Table, parts: tuple[BudgetPart, ...]) -> Table:
    """Adds a row with the total for the case that the membership records of relays do not change."""
    others = [part.bytes_per_second for part in parts if part.name != "membership"]
    unchanged_records = slopes.at("membership_still", "bytes_per_second", target.RELAYS)
    total = Figure(0.0, Basis.NONE)
    if not unchanged_records.is_missing and not any(need.is_missing for need in others):
        total = arithmetic(unchanged_records.value + sum(need.value for need in others))
    row = _budget_row("all, with records that stay", "", total, target.CONTROL_BYTES_PER_SECOND)
    return Table(table.name, table.head, (*table.rows, row))


def _budget(name: str, unit: str, budget: float, needs: list[tuple[BudgetPart, Figure]]) -> Table:
    rows = [
        _budget_row(part.name, part.implemented_in, need, budget * assumptions.BUDGET_SHARES[part.name] / 100)
        for part, need in needs
    ]
    known = [need for _, need in needs if not need.is_missing]
    total = arithmetic(sum(need.value for need in known))
    if len(known) < len(needs):
        total = Figure(0.0, Basis.NONE)
    rows.append(_budget_row("all", "", total, budget))
    head = ("part", "carried by", f"needed, {unit}", f"allowed, {unit}", "factor", "basis")
    return Table(name, head, tuple(rows))


def _budget_row(name: str, implemented_in: str, need: Figure, allowed: float) -> tuple[str, ...]:
    factor = NOT_RUN if need.is_missing else formatted(need.value / allowed)
    return name, implemented_in, need.text(), formatted(allowed), factor, need.origin()
