"""Least-squares lines and power laws through samples of several sizes, with bootstrap intervals.

The bootstrap draws from a generator with a fixed seed, so the same samples always give the same fit.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
import numpy as np

# A curve counts as a line if the line through all smaller sizes foretells the largest one within the first,
# and no size is farther from the line through all than the second; both relative to what was measured.
HOLDOUT_TOLERANCE, RESIDUAL_TOLERANCE = 0.15, 0.5
BOOTSTRAP_ROUNDS, BOOTSTRAP_SEED = 400, 7
INTERVAL_PERCENTILES = (2.5, 97.5)
# A draw of fewer different sizes says nothing of a slope.
MIN_DISTINCT_SIZES = 3
SIGNIFICANT_DIGITS = 6
# Values at or below zero have no logarithm.
LOGARITHM_FLOOR = 1e-12
# A slope or intercept that adds less than this part of the values is an error of floating-point numbers.
NEGLIGIBLE_SHARE = 1e-9


class Fit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """value = slope x size + intercept where `is_line`, else value = coefficient x size ** exponent."""

    slope: float
    slope_low: float
    slope_high: float
    intercept: float
    coefficient: float
    exponent: float
    exponent_low: float
    exponent_high: float
    holdout_error: float
    worst_residual: float
    is_line: bool

    def value_at(self, size: float) -> float:
        """The figure at a size, by the form that the samples support."""
        if self.is_line:
            return self.slope * size + self.intercept
        return self.coefficient * size**self.exponent

    def formula(self) -> str:
        """The fitted function as text."""
        if self.is_line:
            return f"{self.slope:.3g} x size {'-' if self.intercept < 0 else '+'} {abs(self.intercept):.3g}"
        return f"no line: {self.coefficient:.3g} x size^{self.exponent:.2f}"


class _Line(NamedTuple):
    slope: float
    intercept: float


def _least_squares(sizes: np.ndarray, values: np.ndarray) -> _Line:
    slope, intercept = np.polyfit(sizes, values, 1)
    least = NEGLIGIBLE_SHARE * float(np.abs(values).max())
    return _Line(
        float(slope) if abs(slope) * float(np.abs(sizes).max()) > least else 0.0,
        float(intercept) if abs(intercept) > least else 0.0,
    )


def _power_law(sizes: np.ndarray, values: np.ndarray) -> _Line:
    """Exponent and logarithm of the coefficient."""
    return _least_squares(np.log(sizes), np.log(np.maximum(values, LOGARITHM_FLOOR)))


def _holdout_error(sizes: np.ndarray, values: np.ndarray) -> float:
    """Relative error at the largest size of the line through all smaller ones."""
    smaller = sizes < sizes.max()
    if len(set(sizes[smaller])) < 2:
        return 0.0
    line = _least_squares(sizes[smaller], values[smaller])
    measured = float(values[~smaller].mean())
    predicted = line.slope * sizes.max() + line.intercept
    return abs(predicted - measured) / max(abs(measured), LOGARITHM_FLOOR)


def _worst_residual(sizes: np.ndarray, values: np.ndarray, line: _Line) -> float:
    """The largest relative distance of a size's mean from the line."""
    errors = []
    for size in set(sizes):
        measured = float(values[sizes == size].mean())
        on_line = line.slope * size + line.intercept
        errors.append(abs(on_line - measured) / max(abs(measured), abs(on_line), LOGARITHM_FLOOR))
    return max(errors)


def _slopes(sizes: np.ndarray, values: np.ndarray) -> np.ndarray:
    """The least-squares slope of each row."""
    off_sizes = sizes - sizes.mean(axis=1, keepdims=True)
    off_values = values - values.mean(axis=1, keepdims=True)
    return (off_sizes * off_values).sum(axis=1) / (off_sizes**2).sum(axis=1)


def _interval(sizes: np.ndarray, values: np.ndarray) -> tuple[float, float]:
    slopes = _slopes(sizes, values)
    least = NEGLIGIBLE_SHARE * np.abs(values).max() / np.abs(sizes).max()
    low, high = np.percentile(np.where(np.abs(slopes) > least, slopes, 0.0), INTERVAL_PERCENTILES)
    return float(low), float(high)


def _bootstrap(sizes: np.ndarray, values: np.ndarray) -> tuple[tuple[float, float], tuple[float, float]]:
    """Intervals of the slope and of the exponent."""
    generator = np.random.default_rng(BOOTSTRAP_SEED)
    chosen = generator.integers(0, len(sizes), (BOOTSTRAP_ROUNDS, len(sizes)))
    different = np.array([len(set(row)) for row in sizes[chosen]])
    chosen = chosen[different >= MIN_DISTINCT_SIZES]
    drawn_sizes, drawn_values = sizes[chosen], values[chosen]
    logged_values = np.log(np.maximum(drawn_values, LOGARITHM_FLOOR))
    return _interval(drawn_sizes, drawn_values), _interval(np.log(drawn_sizes), logged_values)


def rounded(value: float) -> float:
    """To as many digits as are kept in files."""
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")


def fit(points: list[tuple[float, float]]) -> Fit:
    """Fits (size, value) points. Raises ValueError for fewer than three different sizes."""
    sizes = np.array([size for size, _ in points], dtype=float)
    values = np.array([value for _, value in points], dtype=float)
    if len(set(sizes)) < 3:
        raise ValueError(f"a fit needs three sizes or more, got {sorted(set(sizes))}")
    line, power = _least_squares(sizes, values), _power_law(sizes, values)
    (slope_low, slope_high), (exponent_low, exponent_high) = _bootstrap(sizes, values)
    error, residual = _holdout_error(sizes, values), _worst_residual(sizes, values, line)
    return Fit(
        slope=rounded(line.slope),
        slope_low=rounded(slope_low),
        slope_high=rounded(slope_high),
        intercept=rounded(line.intercept),
        coefficient=rounded(float(np.exp(power.intercept))),
        exponent=rounded(power.slope),
        exponent_low=rounded(exponent_low),
        exponent_high=rounded(exponent_high),
        holdout_error=rounded(error),
        worst_residual=rounded(residual),
        is_line=bool(error <= HOLDOUT_TOLERANCE and residual <= RESIDUAL_TOLERANCE),
    )
