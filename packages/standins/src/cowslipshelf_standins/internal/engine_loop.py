"""Run all engines of a process on one thread.

With a thread each, the engines would pass the GIL back and forth at every socket write,
and wait for it longer than they work.
"""

from heapq import heappop, heappush
from itertools import count
from threading import Condition, Thread
from time import monotonic
from typing import Protocol


class Schedulable(Protocol):
    """Run at times that it chooses."""

    def advance(self, now: float) -> float | None:
        """Do the due work; return the time of the next run, or None if idle."""


class EngineLoop:
    """Run each engine when it is due."""

    def __init__(self) -> None:
        self.changed = Condition()
        self.due: list[tuple[float, int, Schedulable]] = []
        self.tie_breaker = count()

    def start(self) -> None:
        """Start the loop on a daemon thread."""
        Thread(target=self.run, daemon=True).start()

    def schedule(self, engine: Schedulable, at: float) -> None:
        """Schedule a run; the caller must not schedule an engine twice."""
        with self.changed:
            heappush(self.due, (at, next(self.tie_breaker), engine))
            if self.due[0][2] is engine:
                self.changed.notify()

    def run(self) -> None:
        """Run the engines that are due, until the process exits."""
        while True:
            engine = self.next_engine()
            again = engine.advance(monotonic())
            if again is not None:
                self.schedule(engine, again)

    def next_engine(self) -> Schedulable:
        """Wait until an engine is due, and return it."""
        with self.changed:
            while True:
                wait = self.due[0][0] - monotonic() if self.due else None
                if wait is not None and wait <= 0.0:
                    return heappop(self.due)[2]
                self.changed.wait(wait)
