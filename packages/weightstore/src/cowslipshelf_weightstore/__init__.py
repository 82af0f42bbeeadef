"""Ask the rate-limited weight store."""
