"""Speak to model engines and plain services."""
