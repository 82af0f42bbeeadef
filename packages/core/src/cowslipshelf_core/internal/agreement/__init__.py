"""Implement Raft as a state machine from events to effects."""
