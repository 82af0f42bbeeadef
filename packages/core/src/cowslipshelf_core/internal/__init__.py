"""Hold what only the public modules of this package import."""
