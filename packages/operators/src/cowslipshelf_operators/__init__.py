"""Serve the operators over HTTP, and call that interface."""
