"""Implement the durable storage of a replica."""
