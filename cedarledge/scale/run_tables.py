"""Tables of the measurement runs: how each was made, its fits, and hollow relays compared with real ones.

A hollow relay runs the real membership and policy code without clients; one process runs many of them.
"""

from __future__ import annotations

from collections.abc import Mapping

from cedarledge.scale.figures import NOT_RUN, Slopes, formatted
from cedarledge.scale.page import Table
from cedarledge.scale.slopes import Curve, MeasurementRun

# Curves that figures are based on; the page shows the fit of each.
SHOWN_CURVES = (
    ("membership", "bytes_per_second"),
    ("membership", "messages_per_second"),
    ("membership", "processor_ms_per_second"),
    ("membership", "change_known_first"),
    ("membership", "change_known_half"),
    ("membership", "change_known_99"),
    ("membership", "change_known_all"),
    ("membership", "death_seen_first"),
    ("membership", "death_seen_all"),
    ("membership_still", "bytes_per_second"),
    ("membership_still", "processor_ms_per_second"),
    ("membership_still", "change_known_99"),
    ("membership_still", "change_known_all"),
    ("membership_still_loss_10", "bytes_per_second"),
    ("membership_still_loss_10", "change_known_all"),
    ("membership_loss_10", "bytes_per_second"),
    ("membership_loss_10", "messages_per_second"),
    ("membership_loss_10", "processor_ms_per_second"),
    ("membership_loss_10", "change_known_half"),
    ("membership_loss_10", "change_known_99"),
    ("membership_loss_10", "change_known_all"),
    ("membership_loss_10", "death_seen_all"),
    ("membership_loss_10", "false_suspicions_per_minute"),
    ("view", "bytes"),
    ("hollow", "bytes_per_second"),
    ("hollow", "messages_per_second"),
    ("hollow", "processor_ms_per_second"),
    ("hollow", "memory_bytes"),
    ("hollow", "whole_view_share"),
    ("hollow", "whole_view_after"),
    ("hollow", "change_known_half"),
    ("hollow", "change_known_99"),
    ("hollow", "change_known_all"),
    ("hollow_spread", "bytes_per_second"),
    ("hollow_spread", "messages_per_second"),
    ("hollow_spread", "processor_ms_per_second"),
    ("hollow_spread", "whole_view_share"),
    ("hollow_spread", "change_known_99"),
    ("hollow_spread", "change_known_all"),
    ("probing_relays", "probes_per_backend_second"),
    ("probing_relays", "processor_ms_per_second"),
    ("probing_backends", "backend_seen_every"),
    ("probing_backends", "processor_ms_per_second"),
    ("relay_rest", "resident_bytes"),
    ("relay_rest", "processor_ms_per_second"),
    ("relay_rest", "processor_ms_per_open"),
    ("relay_deliveries", "processor_ms_per_second"),
    ("relay_deliveries", "delivered_share"),
    ("relay_deliveries", "latency_p50_ms"),
    ("relay_deliveries", "latency_p99_ms"),
    ("relay_deliveries", "generator_late_ms"),
    ("quorum", "messages"),
    ("quorum", "bytes"),
    ("quorum", "milliseconds"),
)


def runs_table(runs: Mapping[str, MeasurementRun]) -> Table:
    """Returns the table of the command, commit, sizes and wall time of each run."""
    return Table(
        "runs",
        ("run", "command", "commit", "sizes played", "wall time, s"),
        tuple(
            (name, f"`{run.command}`", f"`{run.commit}`", _sizes(run), formatted(run.wall_seconds))
            for name, run in sorted(runs.items())
        ),
    )


def _sizes(run: MeasurementRun) -> str:
    sizes = [row.size for row in run.curves[0].samples]
    return f"{run.size_of}: " + ", ".join(f"{size:g}" for size in sizes)


def curves_table(slopes: Slopes) -> Table:
    """Returns the table of the fits of SHOWN_CURVES."""
    rows = []
    for run, quantity in SHOWN_CURVES:
        curve = slopes.curve(run, quantity)
        rows.append((f"{run}.{quantity}", *(_curve_cells(curve) if curve else (NOT_RUN, "", "", "", ""))))
    return Table(
        "curves", ("curve", "unit", "fit", "95% interval", "exponent", "largest size run"), tuple(rows)
    )


def _curve_cells(curve: Curve) -> tuple[str, ...]:
    fit, largest = curve.fit, formatted(curve.largest_size())
    if fit is None or not curve.has_sufficient_sizes():
        return curve.unit, "no fit, measured: " + _means(curve), "", "", largest
    low, high = (fit.slope_low, fit.slope_high) if fit.is_line else (fit.exponent_low, fit.exponent_high)
    interval_of = "slope" if fit.is_line else "exponent"
    return (
        curve.unit,
        fit.formula(),
        f"{interval_of} {formatted(low)} to {formatted(high)}",
        f"{fit.exponent:.2f}",
        largest,
    )


def _means(curve: Curve) -> str:
    return ", ".join(f"{formatted(curve.mean_at(row.size))} at {row.size:g}" for row in curve.samples)


def comparison_table(slopes: Slopes) -> Table:
    """Returns the table that compares real and hollow relays at each size at which real relays were run."""
    quantities = (
        "messages_per_second",
        "bytes_per_second",
        "processor_ms_per_second",
        "probes_per_relay_second",
        "memory_bytes",
    )
    rows = []
    for quantity in quantities:
        real, hollow = slopes.curve("compare_real", quantity), slopes.curve("compare_hollow", quantity)
        if real is None or hollow is None:
            rows.append((quantity, NOT_RUN, "", ""))
            continue
        for sample in real.samples:
            hollow_values = next((row.values for row in hollow.samples if row.size == sample.size), ())
            rows.append(
                (f"{quantity}, {sample.size:g} relays", *_comparison_cells(sample.values, hollow_values))
            )
    return Table("comparison", ("quantity", "real", "hollow", "hollow / real"), tuple(rows))


def _comparison_cells(real: tuple[float, ...], hollow: tuple[float, ...]) -> tuple[str, str, str]:
    if not real or not hollow:
        return _mean_and_range(real), _mean_and_range(hollow), ""
    ratio = (sum(hollow) / len(hollow)) / max(sum(real) / len(real), 1e-12)
    return _mean_and_range(real), _mean_and_range(hollow), formatted(ratio)


def _mean_and_range(values: tuple[float, ...]) -> str:
    """Formats the mean, minimum and maximum of a few values."""
    if not values:
        return NOT_RUN
    return f"{formatted(sum(values) / len(values))} ({formatted(min(values))} to {formatted(max(values))})"
