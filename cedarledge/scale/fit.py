"""Fits least-squares lines and power laws to samples of several sizes, with bootstrap confidence intervals.

The bootstrap uses a random generator with a fixed seed, so the same samples always give the same fit.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
import numpy as np

# A curve is treated as a line if both errors are within their tolerance, relative to the measured values: the
# error at the largest size of the line fitted to all smaller sizes, and the largest distance of the mean of a
# size from the line fitted to all sizes.
HOLDOUT_TOLERANCE, RESIDUAL_TOLERANCE = 0.15, 0.5
BOOTSTRAP_ROUNDS, BOOTSTRAP_SEED = 400, 7
INTERVAL_PERCENTILES = (2.5, 97.5)
# Bootstrap resamples with fewer distinct sizes are discarded, as they do not determine a slope.
MIN_DISTINCT_SIZES = 3
SIGNIFICANT_DIGITS = 6
# Smaller values are raised to this one before the logarithm, which is undefined at or below zero.
LOGARITHM_FLOOR = 1e-12
# A slope or intercept that contributes less than this share of the values is a floating-point error and is
# set to zero.
NEGLIGIBLE_SHARE = 1e-9


class Fit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fitted function of the size, stored with the measurement run.

    value = slope x size + intercept where `is_line`, else value = coefficient x size ** exponent. `_low` and
    `_high` are the ends of the 95% interval.
    """

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
        """Returns the fitted value at a size, from the line where `is_line`, else from the power law."""
        if self.is_line:
            return self.slope * size + self.intercept
        return self.coefficient * size**self.exponent

    def formula(self) -> str:
        """Returns the fitted function as text."""
        if self.is_line:
            return f"{self.slope:.3g} x size {'-' if self.intercept < 0 else '+'} {abs(self.intercept):.3g}"
        return f"no line: {self.coefficient:.3g} x size^{self.exponent:.2f}"


class _Line(NamedTuple):
    slope: float
    intercept: float


def _least_squares(sizes: np.ndarray, values: np.ndarray) -> _Line:
    slope, intercept = np.polyfit(sizes, values, 1)
    threshold = NEGLIGIBLE_SHARE * float(np.abs(values).max())
    return _Line(
        float(slope) if abs(slope) * float(np.abs(sizes).max()) > threshold else 0.0,
        float(intercept) if abs(intercept) > threshold else 0.0,
    )


def _power_law(sizes: np.ndarray, values: np.ndarray) -> _Line:
    """Fits a line to the logarithms: slope is the exponent, intercept the logarithm of the coefficient."""
    return _least_squares(np.log(sizes), np.log(np.maximum(values, LOGARITHM_FLOOR)))


def _holdout_error(sizes: np.ndarray, values: np.ndarray) -> float:
    """Returns the relative error, at the largest size, of the line fitted to all smaller sizes."""
    smaller = sizes < sizes.max()
    if len(set(sizes[smaller])) < 2:
        return 0.0
    line = _least_squares(sizes[smaller], values[smaller])
    measured = float(values[~smaller].mean())
    predicted = line.slope * sizes.max() + line.intercept
    return abs(predicted - measured) / max(abs(measured), LOGARITHM_FLOOR)


def _worst_residual(sizes: np.ndarray, values: np.ndarray, line: _Line) -> float:
    """Returns the largest relative distance between the mean of one size and the line."""
    errors = []
    for size in set(sizes):
        measured = float(values[sizes == size].mean())
        on_line = line.slope * size + line.intercept
        errors.append(abs(on_line - measured) / max(abs(measured), abs(on_line), LOGARITHM_FLOOR))
    return max(errors)


def _slopes(sizes: np.ndarray, values: np.ndarray) -> np.ndarray:
    """Returns the least-squares slope of each row."""
    centered_sizes = sizes - sizes.mean(axis=1, keepdims=True)
    centered_values = values - values.mean(axis=1, keepdims=True)
    return (centered_sizes * centered_values).sum(axis=1) / (centered_sizes**2).sum(axis=1)


def _interval(sizes: np.ndarray, values: np.ndarray) -> tuple[float, float]:
    slopes = _slopes(sizes, values)
    threshold = NEGLIGIBLE_SHARE * np.abs(values).max() / np.abs(sizes).max()
    low, high = np.percentile(np.where(np.abs(slopes) > threshold, slopes, 0.0), INTERVAL_PERCENTILES)
    return float(low), float(high)


def _bootstrap(sizes: np.ndarray, values: np.ndarray) -> tuple[tuple[float, float], tuple[float, float]]:
    """Returns the confidence intervals of the slope and of the exponent."""
    generator = np.random.default_rng(BOOTSTRAP_SEED)
    sample_indices = generator.integers(0, len(sizes), (BOOTSTRAP_ROUNDS, len(sizes)))
    distinct_counts = np.array([len(set(row)) for row in sizes[sample_indices]])
    sample_indices = sample_indices[distinct_counts >= MIN_DISTINCT_SIZES]
    resampled_sizes, resampled_values = sizes[sample_indices], values[sample_indices]
    logged_values = np.log(np.maximum(resampled_values, LOGARITHM_FLOOR))
    return _interval(resampled_sizes, resampled_values), _interval(np.log(resampled_sizes), logged_values)


def rounded(value: float) -> float:
    """Rounds to the number of digits that run records store."""
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")


def fit(points: list[tuple[float, float]]) -> Fit:
    """Fits (size, value) points. Raises ValueError for fewer than three distinct sizes."""
    sizes = np.array([size for size, _ in points], dtype=float)
    values = np.array([value for _, value in points], dtype=float)
    if len(set(sizes)) < 3:
        raise ValueError(f"a fit needs at least three distinct sizes, got {sorted(set(sizes))}")
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
