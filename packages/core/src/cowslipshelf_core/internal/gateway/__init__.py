"""Serve requests by route: matching, upstreams that announce themselves, placing."""
