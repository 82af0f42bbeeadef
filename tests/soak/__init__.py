"""Inject random faults into real gateway processes, and check the guarantees."""
