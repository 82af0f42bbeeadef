"""Make properties give the same verdict every time, also on a busy machine."""

from hypothesis import settings

DETERMINISTIC = settings(deadline=None, derandomize=True)
