"""Contain the modules of the program."""
