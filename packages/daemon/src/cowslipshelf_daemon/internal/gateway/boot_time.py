"""Tell the time since the machine booted."""

import time


def boot_seconds() -> float:
    """Return a steady time that, unlike the monotonic one, counts suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
