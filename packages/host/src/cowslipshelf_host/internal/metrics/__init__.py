"""Collect metrics and format them for Prometheus."""
