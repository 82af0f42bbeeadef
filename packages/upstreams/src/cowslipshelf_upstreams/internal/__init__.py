"""Hold what the upstream clients are made of."""
