"""Slow down the disk syncs of a process; Python loads this module from the path."""

import os
import random
import time

MAX_SECONDS = float(os.environ.get("COWSLIPSHELF_TEST_SYNC_SECONDS", "0"))


def slowed(sync):
    """Return a sync that is delayed by half to all of the maximum time."""

    def slow_sync(descriptor):
        time.sleep(random.uniform(MAX_SECONDS / 2, MAX_SECONDS))
        return sync(descriptor)

    return slow_sync


os.fsync = slowed(os.fsync)
os.fdatasync = slowed(os.fdatasync)
