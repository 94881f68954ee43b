"""Figures with their source: read off a fitted curve, measured at that very size, or arithmetic alone."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from cedarledge.scale.slopes import Curve, MeasurementRun, RunRecordError

NOT_RUN = "not run"


class Basis(StrEnum):
    """Where a figure comes from."""

    SLOPE = "slope"
    EXPONENT = "no line"
    MEASURED = "measured"
    ARITHMETIC = "arithmetic"
    NONE = NOT_RUN


class Figure(NamedTuple):
    """A value and where it comes from."""

    value: float
    basis: Basis
    source: str = ""

    def times(self, factor: float) -> Figure:
        """The same figure in another unit, or for so many."""
        return self._replace(value=self.value * factor)

    def plus(self, other: Figure) -> Figure:
        """The sum, with the sources of both."""
        sources = "; ".join(dict.fromkeys(source for source in (self.source, other.source) if source))
        basis = self.basis if self.basis is not Basis.ARITHMETIC else other.basis
        return Figure(
            self.value + other.value, Basis.NONE if self.is_missing or other.is_missing else basis, sources
        )

    @property
    def is_missing(self) -> bool:
        """Whether no run gave it."""
        return self.basis is Basis.NONE

    def text(self) -> str:
        """The value as the page shows it."""
        return NOT_RUN if self.is_missing else formatted(self.value)

    def origin(self) -> str:
        """For the column that says where a figure comes from."""
        return f"{self.basis}: {self.source}" if self.source else str(self.basis)


def arithmetic(value: float) -> Figure:
    """A figure that no run stands behind."""
    return Figure(value, Basis.ARITHMETIC)


def formatted(value: float) -> str:
    """Three significant digits, and commas in what is large."""
    if value == 0:
        return "0"
    rounded = float(f"{value:.3g}")
    if abs(rounded) >= 100:
        return f"{rounded:,.0f}"
    return f"{rounded:.3g}" if abs(rounded) >= 0.001 else f"{rounded:.2e}"


class Slopes:
    """The committed runs, asked for figures at a size."""

    def __init__(self, runs: Mapping[str, MeasurementRun]) -> None:
        self.runs = runs

    def curve(self, run: str, quantity: str) -> Curve | None:
        """The curve of a run; None where it was not measured."""
        try:
            return self.runs[run].curve(quantity)
        except (KeyError, RunRecordError):
            return None

    def at(self, run: str, quantity: str, size: float) -> Figure:
        """The figure at a size: by the line; where there is none as measured there, else by the exponent."""
        curve = self.curve(run, quantity)
        if curve is None:
            return Figure(0.0, Basis.NONE)
        name = f"{run}.{quantity}"
        largest = curve.largest_size()
        if curve.fit is None or not (curve.fit.is_line and curve.has_sufficient_sizes()):
            try:
                return Figure(curve.mean_at(size), Basis.MEASURED, f"{name} at {size:g}")
            except RunRecordError:
                if curve.fit is None:
                    return Figure(0.0, Basis.NONE)
        reach = f"{name}, run to {largest:g}, reach x {formatted(size / largest)}"
        if curve.fit.is_line:
            return Figure(curve.fit.value_at(size), Basis.SLOPE, reach)
        return Figure(curve.fit.value_at(size), Basis.EXPONENT, reach)

    def measured(self, run: str, quantity: str, size: float) -> Figure:
        """The mean at a size that was run."""
        curve = self.curve(run, quantity)
        if curve is None:
            return Figure(0.0, Basis.NONE)
        return Figure(curve.mean_at(size), Basis.MEASURED, f"{run}.{quantity} at {size:g}")

    def slope(self, run: str, quantity: str) -> Figure:
        """What one more of the size adds."""
        curve = self.curve(run, quantity)
        if curve is None or curve.fit is None:
            return Figure(0.0, Basis.NONE)
        source = f"{run}.{quantity}, run to {curve.largest_size():g}"
        return Figure(curve.fit.slope, Basis.SLOPE, source)
