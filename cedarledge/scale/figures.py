"""Figures with their source: estimated from a fitted curve, measured at that size, or calculated."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from cedarledge.scale.slopes import Curve, MeasurementRun, RunRecordError

NOT_RUN = "not run"


class Basis(StrEnum):
    """How a figure was obtained, in the words of the capacity page."""

    SLOPE = "slope"
    EXPONENT = "no line"
    MEASURED = "measured"
    ARITHMETIC = "arithmetic"
    NONE = NOT_RUN


class Figure(NamedTuple):
    """A value, how it was obtained, and the run that it is based on."""

    value: float
    basis: Basis
    source: str = ""

    def times(self, factor: float) -> Figure:
        """Returns the figure multiplied by a factor, with the same source."""
        return self._replace(value=self.value * factor)

    def plus(self, other: Figure) -> Figure:
        """Returns the sum, with the sources of both; it is missing if either figure is."""
        sources = "; ".join(dict.fromkeys(source for source in (self.source, other.source) if source))
        basis = self.basis if self.basis is not Basis.ARITHMETIC else other.basis
        return Figure(
            self.value + other.value, Basis.NONE if self.is_missing or other.is_missing else basis, sources
        )

    @property
    def is_missing(self) -> bool:
        """Whether the run that the figure needs is not available."""
        return self.basis is Basis.NONE

    def text(self) -> str:
        """Returns the value as the page shows it."""
        return NOT_RUN if self.is_missing else formatted(self.value)

    def origin(self) -> str:
        """Returns the text of the table column that gives the source of a figure."""
        return f"{self.basis}: {self.source}" if self.source else str(self.basis)


def arithmetic(value: float) -> Figure:
    """Returns a figure that is calculated without a measurement run."""
    return Figure(value, Basis.ARITHMETIC)


def formatted(value: float) -> str:
    """Formats a number with three significant digits, and with commas from 1,000 on."""
    if value == 0:
        return "0"
    rounded = float(f"{value:.3g}")
    if abs(rounded) >= 100:
        return f"{rounded:,.0f}"
    return f"{rounded:.3g}" if abs(rounded) >= 0.001 else f"{rounded:.2e}"


class Slopes:
    """Looks up figures at a size in the committed measurement runs."""

    def __init__(self, runs: Mapping[str, MeasurementRun]) -> None:
        """Uses the given run records, by run name."""
        self.runs = runs

    def curve(self, run: str, quantity: str) -> Curve | None:
        """Returns a curve of a run, or None if it was not measured."""
        try:
            return self.runs[run].curve(quantity)
        except (KeyError, RunRecordError):
            return None

    def at(self, run: str, quantity: str, size: float) -> Figure:
        """Returns the figure at a size, from the first source that is available.

        That is the fitted line if the curve is one and has sufficient sizes, then the mean measured at that
        size, then the fitted line or power law. Without any the figure is missing.
        """
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
        """Returns the mean measured at a size. Raises RunRecordError if the curve has no such size."""
        curve = self.curve(run, quantity)
        if curve is None:
            return Figure(0.0, Basis.NONE)
        return Figure(curve.mean_at(size), Basis.MEASURED, f"{run}.{quantity} at {size:g}")

    def slope(self, run: str, quantity: str) -> Figure:
        """Returns the increase of the quantity per unit of size."""
        curve = self.curve(run, quantity)
        if curve is None or curve.fit is None:
            return Figure(0.0, Basis.NONE)
        source = f"{run}.{quantity}, run to {curve.largest_size():g}"
        return Figure(curve.fit.slope, Basis.SLOPE, source)
