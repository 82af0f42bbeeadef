"""Decide for a gateway: routes, upstream registry, placement, peers and retries."""
