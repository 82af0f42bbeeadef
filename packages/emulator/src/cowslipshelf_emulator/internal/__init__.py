"""Contain the modules that other packages must not import."""
