"""Hold the parts of the replicated log."""
