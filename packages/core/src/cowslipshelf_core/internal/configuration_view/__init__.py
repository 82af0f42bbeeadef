"""Decide which configuration is in force in a process."""
