"""Implement the upstream clients."""
