"""Decide which upstream takes a request, and when."""
