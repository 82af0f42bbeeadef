"""Break real gateway processes at random, and check what callers and upstreams see."""
