"""Records of measurement runs: what was run, at which sizes, and the curve fitted through the samples."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import msgspec

from cedarledge.scale.fit import Fit, fit, rounded

# What a curve needs before a figure may be taken from it.
MIN_SIZES, MIN_SIZE_RATIO = 5, 30


class RunRecordError(Exception):
    """A record that can't be used."""


class SizeSamples(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All values that were measured at one size."""

    size: float
    values: tuple[float, ...]


class Curve(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One quantity against size; `fit` is None where the sizes are too few to draw a line through."""

    quantity: str
    unit: str
    samples: tuple[SizeSamples, ...]
    fit: Fit | None

    def largest_size(self) -> float:
        """The largest size that was really run."""
        return max(row.size for row in self.samples)

    def has_sufficient_sizes(self) -> bool:
        """Whether sizes are many enough and far enough apart to reckon with the fit."""
        sizes = [row.size for row in self.samples]
        return len(sizes) >= MIN_SIZES and max(sizes) >= MIN_SIZE_RATIO * min(sizes)

    def mean_at(self, size: float) -> float:
        """The mean of what was measured at a size. Raises RunRecordError where nothing was."""
        for row in self.samples:
            if row.size == size:
                return sum(row.values) / len(row.values)
        raise RunRecordError(f"{self.quantity}: nothing was measured at {size:g}")


class MeasurementRun(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run of `cedarledge scale`, as written under docs/scale/slopes/."""

    name: str
    command: str
    commit: str
    size_of: str  # what the sizes count
    wall_seconds: float
    curves: tuple[Curve, ...]
    notes: str = ""

    def curve(self, quantity: str) -> Curve:
        """Raises RunRecordError."""
        for curve in self.curves:
            if curve.quantity == quantity:
                return curve
        raise RunRecordError(f"run {self.name!r} has no curve {quantity!r}")


def curve_of(quantity: str, unit: str, measured: Mapping[float, list[float]]) -> Curve:
    """A curve through what was measured at each size."""
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
    """Writes the record as FOLDER/NAME.json."""
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
            raise RunRecordError(f"{path}: the fit of {curve.quantity!r} is not that of its samples")
    return run


def _fits_match(one: Fit | None, other: Fit | None) -> bool:
    """Equal but for the last digits, in which builds of the linear algebra library differ."""
    if one is None or other is None:
        return one is other
    return all(_nearly_equal(getattr(one, name), getattr(other, name)) for name in Fit.__struct_fields__)


def _nearly_equal(one: float, other: float) -> bool:
    return abs(one - other) <= 1e-4 * max(abs(one), abs(other), 1e-6)


def read_runs(folder: Path) -> dict[str, MeasurementRun]:
    """All records of a folder by the name of their run. Raises RunRecordError."""
    runs = [read_run(path) for path in sorted(folder.glob("*.json"))]
    return {run.name: run for run in runs}
