"""Hold the parts of a replica's durable storage."""
