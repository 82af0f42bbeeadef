"""Hold the values of one metric for one label set."""

import math
from threading import Lock
from typing import NamedTuple, Protocol

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1_000_000
MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 3600 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)


class Sample(NamedTuple):
    """Hold one line of the text format, without the metric's name and labels."""

    suffix: str
    quantile: float | None
    value: float


class Series(Protocol):
    """Define what all kinds of series provide."""

    kind: str

    def samples(self) -> list[Sample]:
        """Return the current values."""


class Counter:
    """Hold a total that only grows."""

    kind = "counter"

    def __init__(self) -> None:
        self.lock = Lock()
        self.total = 0.0

    def add(self, amount: float) -> None:
        """Add an amount that is not negative, as rates are computed from the total."""
        if not (math.isfinite(amount) and amount >= 0):
            raise ValueError(f"a counter cannot grow by {amount}")
        with self.lock:
            self.total += amount

    def samples(self) -> list[Sample]:
        """Return the total."""
        return [Sample("", None, self.total)]


class Gauge:
    """Hold a value that goes up and down."""

    kind = "gauge"

    def __init__(self) -> None:
        self.value = 0.0

    def set(self, value: float) -> None:
        """Set the value."""
        self.value = float(value)

    def samples(self) -> list[Sample]:
        """Return the value."""
        return [Sample("", None, self.value)]


class Summary:
    """Hold durations from 1 microsecond to 1 hour, to two significant digits."""

    kind = "summary"

    def __init__(self) -> None:
        # Each series has its own lock: reading the quantiles of one takes about 1 ms,
        # for which threads that record in other series need not wait.
        self.lock = Lock()
        self.histogram = HdrHistogram(
            MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
        )
        self.sum_seconds = 0.0

    def record(self, seconds: float) -> None:
        """Record a duration, clamped to the range."""
        if math.isnan(seconds):
            raise ValueError("a duration cannot be NaN")
        max_seconds = MAX_MICROSECONDS / MICROSECONDS_PER_SECOND
        clamped = min(max(seconds, 0.0), max_seconds)
        microseconds = max(MIN_MICROSECONDS, round(clamped * MICROSECONDS_PER_SECOND))
        with self.lock:
            self.histogram.record_value(microseconds)
            self.sum_seconds += clamped

    def samples(self) -> list[Sample]:
        """Return the quantiles, the maximum, the sum and the count."""
        with self.lock:
            percentiles = [quantile * 100 for quantile in QUANTILES]
            values = self.histogram.get_percentile_to_value_dict(percentiles)
            count = self.histogram.get_total_count()
            maximum = self.histogram.get_max_value() if count else 0
            total = self.sum_seconds
        found = [
            Sample("", quantile, values.get(percent, 0) / MICROSECONDS_PER_SECOND)
            for quantile, percent in zip(QUANTILES, percentiles, strict=True)
        ]
        found.append(Sample("", 1.0, maximum / MICROSECONDS_PER_SECOND))
        return [*found, Sample("_sum", None, total), Sample("_count", None, count)]
