"""Hold all metrics of a process and format them for Prometheus."""

import re
from collections.abc import Callable
from threading import Lock
from typing import NamedTuple, TypeVar

from cowslipshelf_host.internal.metrics.prometheus_text import metric_lines
from cowslipshelf_host.internal.metrics.series import (
    Counter,
    Gauge,
    Sample,
    Series,
    Summary,
)

METRIC_NAME = re.compile(r"[a-z][a-z0-9_]*\Z")
RESERVED_LABELS = frozenset({"quantile", "le"})
MAX_LABEL_SETS = 200
OVERFLOW_METRIC = "cowslipshelf_metrics_overflow_total"
OVERFLOW_HELP = "Values whose label set was beyond the bound, by metric."

LabelSet = tuple[tuple[str, str], ...]
OVERFLOW_LABELS: LabelSet = (("overflow", "true"),)
SeriesType = TypeVar("SeriesType", Counter, Gauge, Summary)


class MetricError(ValueError):
    """Report a misused metric."""


class Metric(NamedTuple):
    """Hold one metric and its series by label set."""

    name: str
    series_type: Callable[[], Series]
    series: dict[LabelSet, Series]


class Metrics:
    """Record counters, gauges and durations by name and labels; thread-safe."""

    def __init__(self, max_label_sets: int = MAX_LABEL_SETS) -> None:
        self.max_label_sets = max_label_sets
        self.lock = Lock()
        self.metrics: dict[str, Metric] = {}
        self.help_texts: dict[str, str] = {OVERFLOW_METRIC: OVERFLOW_HELP}

    def describe(self, name: str, help_text: str) -> None:
        """Set the help text of a metric."""
        self.help_texts[validate_name(name)] = help_text

    def count(self, name: str, amount: float = 1, /, **labels: str) -> None:
        """Add to a counter, whose name ends in `_total`."""
        self.series(name, Counter, labels).add(amount)

    def gauge(self, name: str, value: float, /, **labels: str) -> None:
        """Set a gauge."""
        self.series(name, Gauge, labels).set(value)

    def record_seconds(self, name: str, seconds: float, /, **labels: str) -> None:
        """Record a duration in a summary, whose name ends in `_seconds`."""
        self.series(name, Summary, labels).record(seconds)

    def series(
        self, name: str, kind: type[SeriesType], labels: dict[str, str]
    ) -> SeriesType:
        """Return a series; create it if the bound on label sets allows one more.

        Label values can come from callers, such as the name of a model that does not
        exist; without a bound, each new value would take memory forever. Values beyond
        the bound share one label set, and a separate counter reports them.
        """
        key: LabelSet = tuple(
            sorted((key, str(value)) for key, value in labels.items())
        )
        with self.lock:
            metric = self.metrics.get(name)
            if metric is None or key not in metric.series:
                validate_labels(key)
            if metric is None:
                metric = Metric(validate_name(name), kind, {})
                self.metrics[name] = metric
            if metric.series_type is not kind:
                raise MetricError(f"{name} is used for two kinds of metrics")
            if key not in metric.series and len(metric.series) >= self.max_label_sets:
                self.count_overflow(name)
                key = OVERFLOW_LABELS
            if key not in metric.series:
                metric.series[key] = kind()
            return metric.series[key]  # type: ignore[return-value]

    def count_overflow(self, name: str) -> None:
        """Count a value beyond the bound; this counter has one series per metric."""
        made = Metric(OVERFLOW_METRIC, Counter, {})
        metric = self.metrics.setdefault(OVERFLOW_METRIC, made)
        series = metric.series.setdefault((("metric", name),), Counter())
        series.add(1)  # type: ignore[attr-defined]

    def prometheus_text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        with self.lock:
            listed = [
                (metric, sorted(metric.series.items()))
                for _, metric in sorted(self.metrics.items())
            ]
        lines: list[str] = []
        for metric, series in listed:
            kind = series[0][1].kind
            samples: list[tuple[LabelSet, Sample]] = [
                (labels, sample) for labels, each in series for sample in each.samples()
            ]
            lines += metric_lines(
                metric.name, kind, self.help_texts.get(metric.name, ""), samples
            )
        return "".join(f"{line}\n" for line in lines)


def validate_labels(labels: LabelSet) -> None:
    """Raise `MetricError` for a label name that the text format does not allow."""
    for label, _ in labels:
        if label in RESERVED_LABELS or not METRIC_NAME.match(label):
            raise MetricError(f"{label!r} is reserved or not a valid label name")


def validate_name(name: str) -> str:
    """Return a name that the text format allows, or raise `MetricError`."""
    if not METRIC_NAME.match(name):
        raise MetricError(f"{name!r} is not a valid metric name: only a-z, 0-9 and '_'")
    return name
