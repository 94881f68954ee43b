"""Writes the report of a run: one HTML page with embedded plots, in a light and a dark version."""

from __future__ import annotations

import base64
import html
import io
from collections.abc import Callable
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt
from matplotlib.axes import Axes

from cedarledge.standins.judge import RULES, Verdict
from cedarledge.standins.plan import Plan

# More boxes than this are drawn as quantiles, since single lines would be indistinguishable.
MAX_BOX_LINES = 12
PLOT_STYLES = {"light": "default", "dark": "dark_background"}

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width">
<title>{title}</title>
<style>
:root {{ color-scheme: light dark; }}
body {{ font: 16px/1.5 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }}
table {{ border-collapse: collapse; margin: 1rem 0; }}
th, td {{ text-align: left; padding: .2rem 1rem .2rem 0; border-bottom: 1px solid #8886;
font-variant-numeric: tabular-nums; }} img {{ max-width: 100%; }}
.bad {{ color: #c33; font-weight: 600; }}
</style></head><body>
<h1>{title}</h1>
<p>{about}</p>
<p>{verdict}</p>
{tables}
{plots}
<p>All figures come from emulated servers.</p>
</body></html>
"""


def _render_table(head: tuple[str, ...], rows: list[tuple[Any, ...]]) -> str:
    def render_row(cells: tuple[Any, ...], tag: str) -> str:
        return "<tr>" + "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in cells) + "</tr>"

    return "<table>" + render_row(head, "th") + "".join(render_row(row, "td") for row in rows) + "</table>"


def _render_plot(plan: Plan, name: str, draw: Callable[[Axes], None]) -> str:
    image_urls = {}
    for mode, style in PLOT_STYLES.items():
        with plt.style.context(style):
            figure, axes = plt.subplots(figsize=(9, 3.2), layout="constrained")
            for number, (_, start, end) in enumerate(plan.faults):
                axes.axvspan(start, end, alpha=0.12, color=f"C{number % 10}", lw=0)
            draw(axes)
            axes.set_xlabel("second")
            axes.set_xlim(0, plan.seconds)
            data = io.BytesIO()
            figure.savefig(data, format="png", dpi=110, transparent=True)
            plt.close(figure)
            image_urls[mode] = "data:image/png;base64," + base64.b64encode(data.getvalue()).decode()
    return (
        f"<h2>{html.escape(name)}</h2><picture><source media='(prefers-color-scheme: dark)' "
        f"srcset='{image_urls['dark']}'><img alt='{html.escape(name)}' src='{image_urls['light']}'></picture>"
    )


def _plot_service(verdict: Verdict, axes: Axes) -> None:
    for name, seconds in verdict.seconds_by_profile.items():
        points = [(second, served / wanted) for second, wanted, served in seconds if wanted > 0]
        axes.plot(*zip(*points, strict=True), label=name) if points else None
    axes.set_ylim(0, 1.03)
    axes.set_ylabel("well-served share")
    axes.legend(loc="lower left", fontsize=8)


def _plot_answers(verdict: Verdict, axes: Axes) -> None:
    seconds = [row.second for row in verdict.by_second]
    for name in ("opened", "declined", "closed_with_error", "setups"):
        axes.plot(seconds, [getattr(row, name) for row in verdict.by_second], label=name.replace("_", " "))
    axes.set_ylabel("a second")
    axes.legend(loc="upper left", fontsize=8)


def _plot_placement(verdict: Verdict, axes: Axes) -> None:
    rows = [row for row in verdict.by_second if row.opened]
    for name, label in (("p50_ms", "median"), ("p99_ms", "99th percentile")):
        axes.plot([row.second for row in rows], [getattr(row, name) for row in rows], label=label)
    axes.set_yscale("log")
    axes.set_ylabel("ms from OPEN to UP")
    axes.legend(loc="upper left", fontsize=8)


def _plot_loads(verdict: Verdict, axes: Axes) -> None:
    box_loads = [[(second, load) for second, load, _ in row] for row in verdict.load_by_box.values()]
    if len(box_loads) <= MAX_BOX_LINES:
        for points in box_loads:
            axes.plot(*zip(*points, strict=True), lw=1)
    else:
        by_second: dict[int, list[float]] = {}
        for points in box_loads:
            for second, load in points:
                by_second.setdefault(second, []).append(load)
        seconds = sorted(by_second)
        sorted_loads = [sorted(by_second[second]) for second in seconds]
        for quantile, label in ((0.5, "median"), (0.9, "0.9 of the boxes"), (1.0, "the most loaded")):
            axes.plot(
                seconds,
                [loads[min(len(loads) - 1, int(quantile * len(loads)))] for loads in sorted_loads],
                label=label,
            )
        axes.legend(loc="upper left", fontsize=8)
    axes.axhline(1.0, lw=0.8, ls=":", color="gray")
    axes.set_ylim(0, min(4.0, axes.get_ylim()[1]))
    axes.set_ylabel("load asked over strength")


PLOTS: dict[str, Callable[[Verdict, Axes], None]] = {
    "Well-served share by profile": _plot_service,
    "Answers and setups": _plot_answers,
    "Placement time": _plot_placement,
    "Load by box": _plot_loads,
}


def write_report(folder: Path, title: str, about: str, plan: Plan, verdict: Verdict) -> Path:
    """Writes `SCENARIO-SEED.html` to the folder, which is created if missing, and returns its path."""
    folder.mkdir(parents=True, exist_ok=True)
    violations = [(rule, verdict.counts[rule]) for rule in RULES if verdict.counts[rule]]
    summary = (
        "The emulated systems ran late: this run is invalid."
        if verdict.standins_late
        else "All rules kept."
        if not violations
        else "Broken: " + ", ".join(f"{rule} {count}" for rule, count in violations)
    )
    rows: list[tuple[Any, ...]] = [
        ("boxes, relays, seed", f"{verdict.boxes}, {verdict.relays}, {verdict.seed}"),
        ("tunnels", verdict.connections),
        *((f"answers: {name.replace('_', ' ')}", count) for name, count in verdict.answers.items()),
        *((f"no answer: {name.replace('_', ' ')}", count) for name, count in verdict.no_answer.items()),
        ("credit served", f"{verdict.credit_served:.4f}"),
        ("setups per tunnel", f"{verdict.setups_per_tunnel:.3f}"),
        ("moves", verdict.moves),
        *((f"placement {name}", f"{value:.1f} ms") for name, value in verdict.placement_ms.items()),
        ("relays' processor time", f"{verdict.relay_cpu_s:.2f} s"),
        ("a relay's peak memory", f"{verdict.relay_peak_mb:.1f} MB"),
        ("stand-ins late by at most", f"{verdict.standins_late_ms:.0f} ms"),
    ]
    tables = _render_table(("figure", "value"), rows) + _render_table(
        ("profile", "well-served share"),
        [(name, f"{share:.4f}") for name, share in verdict.well_served.items()],
    )
    if plan.faults:
        tables += _render_table(
            ("fault", "from", "to"),
            [(kind, f"{start:g} s", f"{end:g} s") for kind, start, end in plan.faults],
        )
    if verdict.findings:
        tables += _render_table(
            ("rule", "at", "what"),
            [(finding.rule, f"{finding.at / 1e9:.3f} s", finding.what) for finding in verdict.findings],
        )
    plots = "".join(
        _render_plot(plan, name, lambda axes, draw=draw: draw(verdict, axes)) for name, draw in PLOTS.items()
    )
    path = folder / f"{plan.scenario}-{plan.seed}.html"
    path.write_text(
        PAGE.format(
            title=html.escape(title),
            about=html.escape(about),
            tables=tables,
            plots=plots,
            verdict=f"<span class='{'bad' if violations else ''}'>{html.escape(summary)}</span>",
        )
    )
    return path
