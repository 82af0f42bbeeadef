"""Track announced upstreams, and decide which may receive requests."""
