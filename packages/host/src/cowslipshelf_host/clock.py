"""Read clocks; deciders get the readings as arguments."""

import time
from collections.abc import Callable
from typing import NamedTuple


class Clock(NamedTuple):
    """Be the two clocks of a process."""

    monotonic: Callable[[], float]
    """Seconds since an arbitrary start; never goes back. For all waiting."""
    wall: Callable[[], float]
    """Seconds since 1970; may jump. For people and for the log only."""


SYSTEM_CLOCK = Clock(monotonic=time.monotonic, wall=time.time)
