"""Generate a seeded load and measure the answers."""
