"""Hold what the public modules of the package re-export."""
