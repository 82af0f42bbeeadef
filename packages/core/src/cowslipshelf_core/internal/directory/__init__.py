"""Decide which announced upstreams may be given work."""
