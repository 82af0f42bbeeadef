"""Provide the command line for operators."""
