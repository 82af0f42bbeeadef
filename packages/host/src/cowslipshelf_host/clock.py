"""Provide clocks; decision code takes their readings as arguments."""

import time
from collections.abc import Callable
from typing import NamedTuple


class Clock(NamedTuple):
    """Hold the two clocks of a process."""

    monotonic: Callable[[], float]
    """Seconds since an arbitrary start; never goes back. Use it for timeouts."""
    wall: Callable[[], float]
    """Seconds since 1970; may jump. Use it only for display and log entries."""


SYSTEM_CLOCK = Clock(monotonic=time.monotonic, wall=time.time)
