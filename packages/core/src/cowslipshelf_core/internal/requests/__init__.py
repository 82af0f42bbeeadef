"""Decide how one request of a caller is carried to its one final answer."""
