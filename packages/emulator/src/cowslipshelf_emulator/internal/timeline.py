"""Run callbacks in the order of an emulated time."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count


@dataclass(slots=True)
class Timeline:
    """Hold what is still to happen; times are emulated seconds."""

    now: float = 0.0
    due: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    order: count = field(default_factory=count)

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Let something happen later; what is due at once happens in this order."""
        heapq.heappush(self.due, (self.now + seconds, next(self.order), act))

    def run(self) -> None:
        """Let everything happen, until nothing is due."""
        while self.due:
            self.now, _, act = heapq.heappop(self.due)
            act()
