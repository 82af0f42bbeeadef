"""Implement the weight store's client."""
