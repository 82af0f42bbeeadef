"""Send a seeded load and time the answers."""
