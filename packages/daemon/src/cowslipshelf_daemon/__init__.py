"""Run the daemon of the system."""
