"""Implement the public modules; other packages import only those."""
