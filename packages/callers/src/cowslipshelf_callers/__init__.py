"""Serve the callers over HTTP."""
