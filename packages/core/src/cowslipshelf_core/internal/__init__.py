"""Keep what no other package imports directly."""
