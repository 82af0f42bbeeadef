"""Measure each role's costs at several sizes, and fit straight lines."""
