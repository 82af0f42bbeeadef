"""Decide what an upstream is handed, and answer for what never was."""
