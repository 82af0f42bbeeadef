"""Fit straight lines to repeated measurements, with their spread.

A line is fitted to the medians of all repeats; a line for each repeat alone gives the
spread.
"""

from collections.abc import Callable, Sequence
from statistics import linear_regression, mean, median
from typing import NamedTuple


class Reading(NamedTuple):
    """Hold one measurement of a quantity at one size."""

    quantity: str
    unit: str
    value: float


class Point(NamedTuple):
    """Hold all readings of a quantity at one size, in the order of the repeats."""

    size: float
    values: tuple[float, ...]


class Line(NamedTuple):
    """Describe a straight line."""

    intercept: float
    slope: float

    def at(self, size: float) -> float:
        """Return the value at a size, which may be beyond the measured ones."""
        return self.intercept + self.slope * size


class Fit(NamedTuple):
    """Hold a line fitted to the medians, its spread and its largest residual."""

    line: Line
    min_slope: float
    """Smallest slope among this line and the lines of single repeats."""
    max_slope: float
    max_residual: float
    """Largest residual of a median, as a share of the largest median."""


class Slope(NamedTuple):
    """Describe how a quantity grows with a size."""

    experiment: str
    quantity: str
    unit: str
    per: str
    fit: Fit
    points: tuple[Point, ...]


class Experiment(NamedTuple):
    """Describe what is measured, and over which sizes."""

    name: str
    per: str
    sizes: tuple[int, ...]
    measure: Callable[[int, int], list[list[Reading]]]
    """Takes a size and a number of repeats; returns the readings of each repeat."""


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit by least squares; a single distinct size gives a horizontal line."""
    if len(set(sizes)) < 2:
        return Line(mean(values), 0.0)
    slope, intercept = linear_regression(sizes, values)
    return Line(intercept, slope)


def fit_points(points: Sequence[Point]) -> Fit:
    """Fit the medians and each repeat alone."""
    sizes = [point.size for point in points]
    medians = [median(point.values) for point in points]
    line = fit_line(sizes, medians)
    repeats = zip(*(point.values for point in points), strict=True)
    slopes = [fit_line(sizes, values).slope for values in repeats]
    slopes.append(line.slope)
    largest = max(map(abs, medians))
    residuals = [abs(line.at(s) - v) for s, v in zip(sizes, medians, strict=True)]
    max_residual = max(residuals) / largest if largest else 0.0
    return Fit(line, min(slopes), max(slopes), max_residual)


def measure_slopes(experiment: Experiment, repeats: int) -> list[Slope]:
    """Measure at every size and fit each quantity."""
    values: dict[tuple[str, str], list[Point]] = {}
    for size in experiment.sizes:
        rounds = experiment.measure(size, repeats)
        for readings in zip(*rounds, strict=True):
            key = (readings[0].quantity, readings[0].unit)
            point = Point(size, tuple(reading.value for reading in readings))
            values.setdefault(key, []).append(point)
    return [
        Slope(
            experiment.name,
            quantity,
            unit,
            experiment.per,
            fit_points(points),
            tuple(points),
        )
        for (quantity, unit), points in values.items()
    ]
