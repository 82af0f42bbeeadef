"""Provide the state machines and the replicated state, without any I/O."""
