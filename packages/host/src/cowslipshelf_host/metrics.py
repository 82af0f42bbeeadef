"""Count, hold and time what happens, and show it to Prometheus."""

from cowslipshelf_host.internal.metrics.registry import MetricError, Metrics

__all__ = ["MetricError", "Metrics"]
