"""Hold memory for request bodies within a limit on their sum; others wait."""

from collections.abc import Iterator
from contextlib import contextmanager
from threading import Condition
from typing import Self

BODIES_SHARE = 0.35
"""Share of a process's memory that may hold the bodies of requests."""
COPIES = 3
"""Copies of a body while it is passed on: as read, in a message, and being sent."""
FREE_BYTES = 65_536
"""Length of a body for which no memory is asked."""
WAIT_SECONDS = 1.0


class BodyMemory:
    """Let threads hold memory for bodies, and wait while there is none."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.changed = Condition()

    @classmethod
    def from_process_memory(cls, memory_bytes: int) -> Self:
        """Leave the larger part of a process's memory to everything else."""
        return cls(int(memory_bytes * BODIES_SHARE))

    @contextmanager
    def holding(self, length: int) -> Iterator[bool]:
        """Hold memory for a body; yields whether there was enough in time.

        One body at least is let in, however long it may be.
        """
        size = COPIES * length if length > FREE_BYTES else 0
        granted = self.take(size)
        try:
            yield granted
        finally:
            if granted:
                self.give_back(size)

    def take(self, size: int) -> bool:
        """Hold memory as soon as there is enough; return whether there was in time."""
        with self.changed:
            granted = self.changed.wait_for(lambda: self.has_room(size), WAIT_SECONDS)
            if granted:
                self.held_bytes += size
            return granted

    def has_room(self, size: int) -> bool:
        """Return whether so much may be held besides what is held."""
        if not size or not self.held_bytes:
            return True
        return self.held_bytes + size <= self.limit_bytes

    def give_back(self, size: int) -> None:
        """Hold less, and wake those who wait."""
        if size:
            with self.changed:
                self.held_bytes -= size
                self.changed.notify_all()
