"""Route callers' requests to upstreams, on machines described by an adapter."""
