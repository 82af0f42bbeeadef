"""Implement what the public modules of the package re-export."""
