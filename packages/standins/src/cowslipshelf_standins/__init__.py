"""Provide stand-ins for model engines, plain services and the weight store."""
