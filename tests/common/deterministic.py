"""Give properties the same examples in every run, without a time limit.

A deadline per example would fail them on a busy machine.
"""

from hypothesis import settings

DETERMINISTIC = settings(deadline=None, derandomize=True)
