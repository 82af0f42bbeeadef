"""Hold what the public modules of the package export."""
