"""Track the configuration in force in a process."""
