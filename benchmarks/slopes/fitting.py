"""Fit straight lines to repeated measurements, and say how far they are to be trusted.

A line is fitted to the medians of all repeats; each repeat's own line gives the spread.
"""

from collections.abc import Callable, Sequence
from statistics import linear_regression, mean, median
from typing import NamedTuple


class Reading(NamedTuple):
    """Be one quantity, measured once at one size."""

    quantity: str
    unit: str
    value: float


class Point(NamedTuple):
    """Be all readings of one quantity at one size, in the order of the repeats."""

    size: float
    values: tuple[float, ...]


class Line(NamedTuple):
    """Be a straight line."""

    intercept: float
    slope: float

    def at(self, size: float) -> float:
        """Return the line's value at a size, which may lie beyond the measured ones."""
        return self.intercept + self.slope * size


class Fit(NamedTuple):
    """Be a line through the medians, with its spread and its worst miss."""

    line: Line
    least_slope: float
    """Smallest slope of this line and each single repeat's."""
    greatest_slope: float
    worst_miss: float
    """Largest distance of a median from the line, as a share of the largest median."""


class Slope(NamedTuple):
    """Be how one quantity grows with one size."""

    experiment: str
    quantity: str
    unit: str
    per: str
    fit: Fit
    points: tuple[Point, ...]


class Experiment(NamedTuple):
    """Describe what is measured, over which sizes of what."""

    name: str
    per: str
    sizes: tuple[int, ...]
    measure: Callable[[int, int], list[list[Reading]]]
    """Takes a size and a number of repeats; returns the readings of each repeat."""


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit by least squares; a single size, or equal ones, give a level line."""
    if len(set(sizes)) < 2:
        return Line(mean(values), 0.0)
    slope, intercept = linear_regression(sizes, values)
    return Line(intercept, slope)


def fit_points(points: Sequence[Point]) -> Fit:
    """Fit the medians, and each repeat alone."""
    sizes = [point.size for point in points]
    medians = [median(point.values) for point in points]
    line = fit_line(sizes, medians)
    repeats = zip(*(point.values for point in points), strict=True)
    slopes = [fit_line(sizes, values).slope for values in repeats]
    slopes.append(line.slope)
    largest = max(map(abs, medians))
    misses = [abs(line.at(s) - v) for s, v in zip(sizes, medians, strict=True)]
    worst_miss = max(misses) / largest if largest else 0.0
    return Fit(line, min(slopes), max(slopes), worst_miss)


def slopes_of(experiment: Experiment, repeats: int) -> list[Slope]:
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
