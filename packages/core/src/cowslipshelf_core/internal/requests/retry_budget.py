"""Bound the retries of a process, so that they cannot multiply load.

When upstreams fail, every request wants another attempt just as capacity shrinks.
The budget lets retries be at most a ratio of the first attempts in the same window,
plus a small number that keeps a quiet process able to retry at all.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

SLICES_IN_WINDOW = 10


class RetryBudgetConfig(NamedTuple):
    """Say how many retries are allowed."""

    ratio: float = 0.1
    window_seconds: float = 10.0
    min_retries: int = 10
    """Retries in a window that are allowed however few first attempts there are."""


class Slice(NamedTuple):
    """Count what happened in a tenth of a window."""

    number: int
    first_attempts: int
    retries: int


@dataclass(slots=True)
class RetryBudget:
    """Count first attempts and retries; not thread-safe, so callers hold a lock.

    First attempts are counted over the slices that lie wholly in the window, retries
    over every slice that touches it: the bound holds for any window, however placed.
    """

    config: RetryBudgetConfig
    slices: deque[Slice] = field(default_factory=deque)

    @classmethod
    def from_config(cls, config: RetryBudgetConfig) -> "RetryBudget":
        """Begin with nothing counted."""
        return cls(config)

    def count_first_attempt(self, now: float) -> None:
        """Count a request's first attempt."""
        self.add(now, first_attempts=1, retries=0)

    def try_retry(self, now: float) -> bool:
        """Spend a retry if the budget allows one."""
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
        """Add to the present slice and forget those behind the window.

        A clock that steps back counts into the newest slice: it never frees budget.
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
