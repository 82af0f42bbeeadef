"""Give operators a command line."""
