"""Keep what is not part of the public surface."""
