"""The control budget of one relay: what each part needs beside what it is allowed."""

from __future__ import annotations

from typing import NamedTuple

from cedarledge.scale import assumptions, target
from cedarledge.scale.figures import NOT_RUN, Basis, Figure, Slopes, arithmetic, formatted
from cedarledge.scale.mechanisms import MEMBERSHIP_FILES, NOT_IMPLEMENTED, PROBE_FILES, VOTE_FILES
from cedarledge.scale.page import Table

MEGABYTE = 1e6
CORE_MS_PER_PERCENT = 10.0
# The size at which hollow relays are corrected by real ones: the largest compared.
COMPARISON_SIZE = 32


class BudgetPart(NamedTuple):
    """What one part of control needs of a relay."""

    name: str
    carried_by: str
    processor_percent: Figure
    memory_mb: Figure
    bytes_per_second: Figure


def control_parts(slopes: Slopes) -> tuple[BudgetPart, ...]:
    """Each part at the target's size; what no code carries is arithmetic."""
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
    """Processor time of one datagram sent or received, by the model."""
    processor = slopes.at("membership", "processor_ms_per_second", target.RELAYS)
    messages = slopes.at("membership", "messages_per_second", target.RELAYS)
    if processor.is_missing or messages.is_missing or not messages.value:
        return Figure(0.0, Basis.NONE)
    return processor._replace(value=processor.value / (2 * messages.value))


def membership_part(slopes: Slopes) -> BudgetPart:
    """Bytes by the model, processor time by hollow relays on sockets, memory by one view."""
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
    """What a real relay takes over a hollow one: probes and list calls on sockets, and the rest of it."""
    real = slopes.at("compare_real", "processor_ms_per_second", COMPARISON_SIZE)
    hollow = slopes.at("compare_hollow", "processor_ms_per_second", COMPARISON_SIZE)
    over = real.plus(hollow)._replace(value=max(0.0, real.value - hollow.value))
    probes = arithmetic(assumptions.PROBES_WITH_CLIENTS_PER_SECOND * assumptions.PROBE_BYTES)
    calls = slopes.at("compare_real", "list_calls_per_second", COMPARISON_SIZE).times(
        assumptions.LIST_CALL_BYTES
    )
    table = arithmetic(assumptions.BACKENDS * assumptions.SHARD_ENTRY_BYTES / MEGABYTE)
    return BudgetPart("health and probes", PROBE_FILES, _percent(over), table, probes.plus(calls))


def _configuration(slopes: Slopes) -> BudgetPart:
    per_second = target.CONFIG_CHANGES_PER_DAY / target.SECONDS_PER_DAY
    handled = _percent(message_ms(slopes).times(2 * per_second))
    held = arithmetic(2 * assumptions.CONFIG_BYTES / MEGABYTE)
    return BudgetPart("configuration", NOT_IMPLEMENTED, handled, held, arithmetic(config_peak()))


def config_peak() -> float:
    """Bytes a second at a relay while a change comes in."""
    return assumptions.CONFIG_CHANGE_BYTES / target.CONFIG_IN_FORCE_SECONDS


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
    sent = slopes.at("quorum", "bytes", 5).times(per_second)
    spent = _percent(slopes.at("quorum", "processor_ms", 5).times(per_second))
    held = arithmetic(assumptions.SMALL_STATE_BYTES / MEGABYTE)
    return BudgetPart("failover", VOTE_FILES, spent, held, sent)


def _rolling_change(slopes: Slopes) -> BudgetPart:
    """Each relay hears twice of each restart."""
    heard = 2 * target.RESTARTS_PER_DAY / target.SECONDS_PER_DAY
    return BudgetPart(
        "rolling change",
        NOT_IMPLEMENTED,
        _percent(message_ms(slopes).times(2 * heard)),
        arithmetic(assumptions.SMALL_STATE_BYTES / MEGABYTE),
        arithmetic(heard * assumptions.RECORD_BYTES),
    )


def _metrics(slopes: Slopes) -> BudgetPart:
    sent = assumptions.METRIC_SERIES * assumptions.METRIC_BYTES / assumptions.METRIC_INTERVAL_SECONDS
    spent = _percent(message_ms(slopes).times(2 * sent / 1200))
    return BudgetPart(
        "metrics",
        NOT_IMPLEMENTED,
        spent,
        arithmetic(assumptions.METRIC_MEMORY_BYTES / MEGABYTE),
        arithmetic(sent),
    )


def control_tables(slopes: Slopes) -> list[Table]:
    """Processor time, memory and bytes, each part beside its share."""
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
    """One row more: the whole, if members told records that do not change."""
    others = [part.bytes_per_second for part in parts if part.name != "membership"]
    still = slopes.at("membership_still", "bytes_per_second", target.RELAYS)
    total = Figure(0.0, Basis.NONE)
    if not still.is_missing and not any(needed.is_missing for needed in others):
        total = arithmetic(still.value + sum(needed.value for needed in others))
    row = _budget_row("all, with records that stay", "", total, target.CONTROL_BYTES_PER_SECOND)
    return Table(table.name, table.head, (*table.rows, row))


def _budget(name: str, unit: str, budget: float, needs: list[tuple[BudgetPart, Figure]]) -> Table:
    rows = [
        _budget_row(part.name, part.carried_by, needed, budget * assumptions.BUDGET_SHARES[part.name] / 100)
        for part, needed in needs
    ]
    known = [needed for _, needed in needs if not needed.is_missing]
    total = arithmetic(sum(needed.value for needed in known))
    if len(known) < len(needs):
        total = Figure(0.0, Basis.NONE)
    rows.append(_budget_row("all", "", total, budget))
    head = ("part", "carried by", f"needed, {unit}", f"allowed, {unit}", "factor", "basis")
    return Table(name, head, tuple(rows))


def _budget_row(name: str, carried_by: str, needed: Figure, allowed: float) -> tuple[str, ...]:
    factor = NOT_RUN if needed.is_missing else formatted(needed.value / allowed)
    return name, carried_by, needed.text(), formatted(allowed), factor, needed.origin()
