"""Stored records of measurement runs: the command, the sizes, the samples, and the curves fitted to them."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import msgspec

from cedarledge.scale.fit import Fit, fit, rounded

# What a reliable estimate from a fit needs: at least this many sizes, and a largest size of at least this
# multiple of the smallest.
MIN_SIZES, MIN_SIZE_RATIO = 5, 30


class RunRecordError(Exception):
    """A run record is unreadable or inconsistent, or lacks the requested curve or size."""


class SizeSamples(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All values measured at one size."""

    size: float
    values: tuple[float, ...]


class Curve(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Samples of one quantity by size; `fit` is None for fewer than three sizes."""

    quantity: str
    unit: str
    samples: tuple[SizeSamples, ...]
    fit: Fit | None

    def largest_size(self) -> float:
        """Returns the largest measured size."""
        return max(row.size for row in self.samples)

    def has_sufficient_sizes(self) -> bool:
        """Returns whether there are enough sizes, over a wide enough range, to use the fit for estimates."""
        sizes = [row.size for row in self.samples]
        return len(sizes) >= MIN_SIZES and max(sizes) >= MIN_SIZE_RATIO * min(sizes)

    def mean_at(self, size: float) -> float:
        """Returns the mean of the values at a size. Raises RunRecordError if that size was not measured."""
        for row in self.samples:
            if row.size == size:
                return sum(row.values) / len(row.values)
        raise RunRecordError(f"{self.quantity}: there are no samples at size {size:g}")


class MeasurementRun(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The record of one measurement run of `cedarledge scale`, as stored in docs/scale/slopes/."""

    name: str
    command: str
    commit: str
    size_of: str  # the unit of the sizes, such as members or connections
    wall_seconds: float
    curves: tuple[Curve, ...]
    notes: str = ""

    def curve(self, quantity: str) -> Curve:
        """Returns the curve of a quantity. Raises RunRecordError if the run has none."""
        for curve in self.curves:
            if curve.quantity == quantity:
                return curve
        raise RunRecordError(f"run {self.name!r} has no curve {quantity!r}")


def curve_of(quantity: str, unit: str, measured: Mapping[float, list[float]]) -> Curve:
    """Fits a curve to the values measured at each size, which are rounded as they are stored."""
    samples = tuple(
        SizeSamples(size, tuple(rounded(value) for value in values))
        for size, values in sorted(measured.items())
    )
    return Curve(quantity, unit, samples, _fit_of(samples))


def _fit_of(samples: tuple[SizeSamples, ...]) -> Fit | None:
    if len(samples) < 3:
        return None
    return fit([(row.size, value) for row in samples for value in row.values])


def write_run(run: MeasurementRun, folder: Path) -> Path:
    """Writes the record as FOLDER/NAME.json and returns that path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{run.name}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(run), indent=1) + b"\n")
    return path


def read_run(path: Path) -> MeasurementRun:
    """Reads a record and recomputes its fits.

    Raises RunRecordError if the file can't be read or a stored fit differs from the recomputed one.
    """
    try:
        run = msgspec.json.decode(path.read_bytes(), type=MeasurementRun)
    except (OSError, msgspec.MsgspecError) as error:
        raise RunRecordError(f"{path}: {error}") from error
    for curve in run.curves:
        if not _fits_match(curve.fit, _fit_of(curve.samples)):
            raise RunRecordError(
                f"{path}: the stored fit of {curve.quantity!r} differs from the fit of its samples"
            )
    return run


def _fits_match(one: Fit | None, other: Fit | None) -> bool:
    """Compares all but the last digits, which differ between builds of the linear algebra library."""
    if one is None or other is None:
        return one is other
    return all(_nearly_equal(getattr(one, name), getattr(other, name)) for name in Fit.__struct_fields__)


def _nearly_equal(one: float, other: float) -> bool:
    return abs(one - other) <= 1e-4 * max(abs(one), abs(other), 1e-6)


def read_runs(folder: Path) -> dict[str, MeasurementRun]:
    """Reads all records of a folder, by run name. Raises RunRecordError if one can't be used."""
    runs = [read_run(path) for path in sorted(folder.glob("*.json"))]
    return {run.name: run for run in runs}
