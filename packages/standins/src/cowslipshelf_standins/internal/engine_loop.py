"""Run all engines of a process on one thread.

Threads of their own would hand the interpreter's lock back and forth at every write to
a socket, and wait for it longer than they work.
"""

from heapq import heappop, heappush
from itertools import count
from threading import Condition, Thread
from time import monotonic
from typing import Protocol


class Schedulable(Protocol):
    """Be something that has to be run at certain moments."""

    def advance(self, now: float) -> float | None:
        """Do what is due; return the next moment, or none while there is no work."""


class EngineLoop:
    """Run each engine when it is due, and sleep while none is."""

    def __init__(self) -> None:
        self.changed = Condition()
        self.due: list[tuple[float, int, Schedulable]] = []
        self.tie_breaker = count()

    def start(self) -> None:
        """Run on a thread of its own."""
        Thread(target=self.run, daemon=True).start()

    def schedule(self, engine: Schedulable, at: float) -> None:
        """Run an engine at a moment; the caller sees to it that it is in here once."""
        with self.changed:
            heappush(self.due, (at, next(self.tie_breaker), engine))
            if self.due[0][2] is engine:
                self.changed.notify()

    def run(self) -> None:
        """Run whoever is due next, for as long as the process lives."""
        while True:
            engine = self.next_engine()
            again = engine.advance(monotonic())
            if again is not None:
                self.schedule(engine, again)

    def next_engine(self) -> Schedulable:
        """Wait for the next engine to be due."""
        with self.changed:
            while True:
                wait = self.due[0][0] - monotonic() if self.due else None
                if wait is not None and wait <= 0.0:
                    return heappop(self.due)[2]
                self.changed.wait(wait)
