"""Plots the curves of a measurement run with their fits."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import numpy as np

from cedarledge.scale.slopes import Curve, MeasurementRun

COLUMNS = 3
FITTED_POINTS = 60


def draw(run: MeasurementRun, folder: Path) -> Path:
    """Writes FOLDER/NAME.png with one panel for each curve of the run, and returns its path."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = math.ceil(len(run.curves) / COLUMNS)
    figure, axes = pyplot.subplots(rows, COLUMNS, figsize=(13, 3.4 * rows), squeeze=False)
    for axis, curve in zip(axes.flat, run.curves, strict=False):
        _panel(axis, curve, run.size_of)
    for axis in list(axes.flat)[len(run.curves) :]:
        axis.set_visible(False)
    figure.suptitle(f"{run.name} ({run.commit})")
    figure.tight_layout()
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{run.name}.png"
    figure.savefig(path, dpi=70)
    pyplot.close(figure)
    return path


def _panel(axis: Any, curve: Curve, size_of: str) -> None:
    points = [(row.size, value) for row in curve.samples for value in row.values]
    axis.plot([size for size, _ in points], [value for _, value in points], "o", markersize=4)
    if curve.fit is not None:
        smallest = min(row.size for row in curve.samples)
        sizes = np.geomspace(smallest, curve.largest_size(), FITTED_POINTS)
        axis.plot(sizes, [curve.fit.value_at(size) for size in sizes], "-", label=curve.fit.formula())
        axis.legend(fontsize=7)
    axis.set(xscale="log", xlabel=size_of, title=f"{curve.quantity} ({curve.unit})")
    axis.title.set_fontsize(9)
