"""Serve requests by route, on machines that an adapter speaks for."""
