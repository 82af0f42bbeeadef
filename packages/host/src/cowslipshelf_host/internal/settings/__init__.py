"""Define, load and check settings."""
