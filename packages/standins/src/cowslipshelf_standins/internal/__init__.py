"""Implement the stand-ins."""
