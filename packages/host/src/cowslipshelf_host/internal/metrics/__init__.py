"""Count and time what happens."""
