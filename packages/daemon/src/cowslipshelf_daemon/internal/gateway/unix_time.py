"""Read the system clock in the unit that messages use."""

import time

NANOSECONDS_OF_MILLISECOND = 1_000_000


def unix_milliseconds() -> int:
    """Return the Unix time in whole milliseconds."""
    return time.time_ns() // NANOSECONDS_OF_MILLISECOND
