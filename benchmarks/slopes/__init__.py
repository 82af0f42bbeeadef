"""Measure what each role costs at several sizes, and fit straight lines."""
