"""Collect counters, gauges and durations for Prometheus."""

from cowslipshelf_host.internal.metrics.registry import MetricError, Metrics

__all__ = ["MetricError", "Metrics"]
