"""Provide settings, logs, metrics, storage, clock and signals of a process."""
