"""Limit the retries of a process, so that they cannot multiply the load.

When upstreams fail, every request needs another attempt just as capacity shrinks.
The budget limits retries to a ratio of the first attempts in the same window, plus a
small constant that lets a process with little traffic retry at all.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

SLICES_IN_WINDOW = 10


class RetryBudgetConfig(NamedTuple):
    """Configure how many retries are allowed."""

    ratio: float = 0.1
    """Retries allowed for each first attempt in the window."""
    window_seconds: float = 10.0
    min_retries: int = 10
    """Retries allowed in a window regardless of the number of first attempts."""


class Slice(NamedTuple):
    """Count first attempts and retries in one slice of the window."""

    number: int
    """Start of the slice, in slices since time zero."""
    first_attempts: int
    retries: int


@dataclass(slots=True)
class RetryBudget:
    """Count first attempts and retries; not thread-safe, so callers hold a lock.

    First attempts are counted over the slices entirely within the window, retries over
    every slice that overlaps it. The bound therefore holds for any window position.
    """

    config: RetryBudgetConfig
    slices: deque[Slice] = field(default_factory=deque)

    @classmethod
    def from_config(cls, config: RetryBudgetConfig) -> "RetryBudget":
        """Create an empty budget."""
        return cls(config)

    def count_first_attempt(self, now: float) -> None:
        """Count a request's first attempt."""
        self.add(now, first_attempts=1, retries=0)

    def try_retry(self, now: float) -> bool:
        """Count a retry and return True if the budget allows one."""
        self.add(now, first_attempts=0, retries=0)
        oldest = self.slices[-1].number - SLICES_IN_WINDOW
        first_attempts = sum(s.first_attempts for s in self.slices if s.number > oldest)
        retries = sum(s.retries for s in self.slices)
        allowed = self.config.min_retries + self.config.ratio * first_attempts
        if retries + 1 > allowed:
            return False
        self.add(now, first_attempts=0, retries=1)
        return True

    def add(self, now: float, first_attempts: int, retries: int) -> None:
        """Add to the current slice and drop the slices before the window.

        After a backward clock step the newest slice is used, which frees no budget.
        """
        number = int(now * SLICES_IN_WINDOW / self.config.window_seconds)
        if self.slices and self.slices[-1].number >= number:
            newest = self.slices.pop()
        else:
            newest = Slice(number, 0, 0)
        self.slices.append(
            Slice(
                newest.number,
                newest.first_attempts + first_attempts,
                newest.retries + retries,
            )
        )
        while self.slices[0].number < self.slices[-1].number - SLICES_IN_WINDOW:
            self.slices.popleft()
