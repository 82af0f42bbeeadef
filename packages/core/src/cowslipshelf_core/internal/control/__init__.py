"""Hold the parts of the replicated control state."""
