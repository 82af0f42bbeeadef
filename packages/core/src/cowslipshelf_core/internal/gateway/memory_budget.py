"""Bound the memory that a process holds for all of its clients together."""

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Self


class MemoryPurpose(Enum):
    """Name what memory is for, with the share of the budget that it may fill.

    The memory in use for any purpose counts. So there is always room to finish what has
    begun, and small requests are served while large ones wait.
    """

    BODY = 0.6
    """The body of a request that is longer than a small one."""
    BEGUN = 0.85
    """Answers of requests that may have run, and what clients leave unread."""
    SMALL = 1.0
    """Connections, and small requests and answers."""


class MemoryBudgetConfig(NamedTuple):
    """Configure the size of a budget and which clients lose their memory first."""

    total_bytes: int
    min_held_seconds: float = 0.5
    """Least time for which a client holds memory before it can lose it."""
    min_bytes_per_second: float = 65_536.0
    """Bytes moved in a second below which a client that holds memory is slow."""

    @classmethod
    def from_process_memory(cls, memory_bytes: int) -> Self:
        """Leave the larger part of a process's memory to everything but clients."""
        return cls(int(memory_bytes * CLIENTS_SHARE))


CLIENTS_SHARE = 0.35


@dataclass(eq=False, slots=True)
class Holding:
    """Track the memory held for one client."""

    held_bytes: int = 0
    counted_from: float = math.inf
    """Time from which the bytes moved are counted; infinite while it waits for nothing
    of its client, and can't lose its memory."""
    moved_bytes: int = 0
    """Bytes that its client has sent or taken since."""

    def await_client(self, now: float) -> None:
        """Begin to count the bytes that the client moves."""
        self.counted_from = now
        self.moved_bytes = 0

    def stop_awaiting(self) -> None:
        """Stop counting: the client's part is done for now."""
        self.counted_from = math.inf

    @property
    def is_awaiting(self) -> bool:
        """Return whether it is the client's turn."""
        return self.counted_from < math.inf

    def is_slow(self, now: float, seconds: float, bytes_per_second: float) -> bool:
        """Return whether its client was awaited so long and moved less than that."""
        awaited = now - self.counted_from
        return awaited >= seconds and self.moved_bytes < awaited * bytes_per_second

    def byte_seconds_for_each_moved(self, now: float) -> float:
        """Return how much was held for how long, for each byte moved."""
        seconds = max(0.0, now - self.counted_from)
        return self.held_bytes * seconds / (self.moved_bytes + 1)


@dataclass(slots=True)
class MemoryBudget:
    """Count the memory held for clients, and name the one that should lose its own."""

    config: MemoryBudgetConfig
    held_bytes: int = 0
    holdings: set[Holding] = field(default_factory=set)

    @classmethod
    def from_config(cls, config: MemoryBudgetConfig) -> Self:
        """Create a budget of which nothing is held."""
        return cls(config)

    def limit_bytes(self, purpose: MemoryPurpose) -> int:
        """Return how much may be held in all after memory was taken for a purpose."""
        return int(self.config.total_bytes * purpose.value)

    def has_room(self, more_bytes: int, purpose: MemoryPurpose) -> bool:
        """Return whether so many more bytes may be held for a purpose."""
        return self.held_bytes + more_bytes <= self.limit_bytes(purpose)

    def grow(self, holding: Holding, more_bytes: int, purpose: MemoryPurpose) -> bool:
        """Hold more for a client, if there is room; return whether there was."""
        if not self.has_room(more_bytes, purpose):
            return False
        self.holdings.add(holding)
        holding.held_bytes += more_bytes
        self.held_bytes += more_bytes
        return True

    def shrink(self, holding: Holding, less_bytes: int) -> None:
        """Hold less for a client."""
        holding.held_bytes -= less_bytes
        self.held_bytes -= less_bytes
        if not holding.held_bytes:
            self.holdings.discard(holding)

    def slowest_first(self, now: float) -> list[Holding]:
        """Return the slow clients, first who held most for longest and moved least."""
        seconds = self.config.min_held_seconds
        rate = self.config.min_bytes_per_second
        slow = [each for each in self.holdings if each.is_slow(now, seconds, rate)]
        slow.sort(key=lambda each: each.byte_seconds_for_each_moved(now), reverse=True)
        return slow
