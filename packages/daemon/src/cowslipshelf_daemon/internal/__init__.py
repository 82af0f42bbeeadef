"""Contain the modules that are not part of the public interface."""
