"""Describe, load and check settings."""
