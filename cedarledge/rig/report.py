"""A run's report: one HTML page with its plots inside, for light and dark screens."""

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

# More boxes than this are drawn as a band of their quantiles: single lines could not be told apart.
MOST_LINES = 12
STYLES = {"light": "default", "dark": "dark_background"}

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
<p>All figures come from simulated servers.</p>
</body></html>
"""


def _table(head: tuple[str, ...], rows: list[tuple[Any, ...]]) -> str:
    def line(cells: tuple[Any, ...], tag: str) -> str:
        return "<tr>" + "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in cells) + "</tr>"

    return "<table>" + line(head, "th") + "".join(line(row, "td") for row in rows) + "</table>"


def _plot(plan: Plan, name: str, draw: Callable[[Axes], None]) -> str:
    sources = {}
    for mode, style in STYLES.items():
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
            sources[mode] = "data:image/png;base64," + base64.b64encode(data.getvalue()).decode()
    return (
        f"<h2>{html.escape(name)}</h2><picture><source media='(prefers-color-scheme: dark)' "
        f"srcset='{sources['dark']}'><img alt='{html.escape(name)}' src='{sources['light']}'></picture>"
    )


def _service(verdict: Verdict, axes: Axes) -> None:
    for name, line in verdict.seconds_by_profile.items():
        points = [(second, served / wanted) for second, wanted, served in line if wanted > 0]
        axes.plot(*zip(*points, strict=True), label=name) if points else None
    axes.set_ylim(0, 1.03)
    axes.set_ylabel("well-served share")
    axes.legend(loc="lower left", fontsize=8)


def _answers(verdict: Verdict, axes: Axes) -> None:
    seconds = [line.second for line in verdict.by_second]
    for name in ("opened", "declined", "closed_with_error", "setups"):
        axes.plot(seconds, [getattr(line, name) for line in verdict.by_second], label=name.replace("_", " "))
    axes.set_ylabel("a second")
    axes.legend(loc="upper left", fontsize=8)


def _placement(verdict: Verdict, axes: Axes) -> None:
    placed = [line for line in verdict.by_second if line.opened]
    for name, label in (("p50_ms", "median"), ("p99_ms", "99th percentile")):
        axes.plot([line.second for line in placed], [getattr(line, name) for line in placed], label=label)
    axes.set_yscale("log")
    axes.set_ylabel("ms from OPEN to UP")
    axes.legend(loc="upper left", fontsize=8)


def _loads(verdict: Verdict, axes: Axes) -> None:
    lines = [[(second, asked) for second, asked, _ in line] for line in verdict.load_by_box.values()]
    if len(lines) <= MOST_LINES:
        for line in lines:
            axes.plot(*zip(*line, strict=True), lw=1)
    else:
        by_second: dict[int, list[float]] = {}
        for line in lines:
            for second, asked in line:
                by_second.setdefault(second, []).append(asked)
        seconds = sorted(by_second)
        ordered = [sorted(by_second[second]) for second in seconds]
        for part, label in ((0.5, "median"), (0.9, "0.9 of the boxes"), (1.0, "the most loaded")):
            axes.plot(
                seconds, [line[min(len(line) - 1, int(part * len(line)))] for line in ordered], label=label
            )
        axes.legend(loc="upper left", fontsize=8)
    axes.axhline(1.0, lw=0.8, ls=":", color="gray")
    axes.set_ylim(0, min(4.0, axes.get_ylim()[1]))
    axes.set_ylabel("load asked over strength")


PLOTS: dict[str, Callable[[Verdict, Axes], None]] = {
    "Well-served share by profile": _service,
    "Answers and setups": _answers,
    "Placement time": _placement,
    "Load by box": _loads,
}


def write_report(folder: Path, title: str, about: str, plan: Plan, verdict: Verdict) -> Path:
    """Writes `NAME-SEED.html` into the folder, which is made if need be, and gives its path."""
    folder.mkdir(parents=True, exist_ok=True)
    broken = [(rule, verdict.counts[rule]) for rule in RULES if verdict.counts[rule]]
    said = (
        "The stand-ins ran late: this run counts for nothing."
        if verdict.standins_late
        else "All rules kept."
        if not broken
        else "Broken: " + ", ".join(f"{rule} {count}" for rule, count in broken)
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
    tables = _table(("figure", "value"), rows) + _table(
        ("profile", "well-served share"),
        [(name, f"{share:.4f}") for name, share in verdict.well_served.items()],
    )
    if plan.faults:
        tables += _table(
            ("fault", "from", "to"),
            [(kind, f"{start:g} s", f"{end:g} s") for kind, start, end in plan.faults],
        )
    if verdict.findings:
        tables += _table(
            ("rule", "at", "what"),
            [(found.rule, f"{found.at / 1e9:.3f} s", found.what) for found in verdict.findings],
        )
    plots = "".join(
        _plot(plan, name, lambda axes, draw=draw: draw(verdict, axes)) for name, draw in PLOTS.items()
    )
    path = folder / f"{plan.scenario}-{plan.seed}.html"
    path.write_text(
        PAGE.format(
            title=html.escape(title),
            about=html.escape(about),
            tables=tables,
            plots=plots,
            verdict=f"<span class='{'bad' if broken else ''}'>{html.escape(said)}</span>",
        )
    )
    return path
