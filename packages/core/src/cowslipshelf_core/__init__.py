"""Hold the decisions and the shared state, without input or output."""
