"""Implement the replicated control state machine."""
