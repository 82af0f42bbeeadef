"""Hold the parts that the public modules of this package re-export."""
