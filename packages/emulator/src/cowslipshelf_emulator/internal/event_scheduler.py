"""Run callbacks in the order of simulated time."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count


@dataclass(slots=True)
class EventScheduler:
    """Schedule callbacks of a discrete-event simulation; times are in seconds."""

    now: float = 0.0
    pending: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    sequence: count = field(default_factory=count)

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedule a callback; those due at the same time run in this order."""
        heapq.heappush(
            self.pending, (self.now + seconds, next(self.sequence), callback)
        )

    def run(self) -> None:
        """Run callbacks until none is pending."""
        while self.pending:
            self.now, _, callback = heapq.heappop(self.pending)
            callback()
