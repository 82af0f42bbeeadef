"""Bound the repeats that all entries together send to a service.

Without a bound, repeats multiply the load of a service just when it fails. Each
entry spends its part of a common allowance, so that no message is needed.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple, Self

from cowslipshelf_core.identifiers import ServiceName

SAFETY = 0.7
"""Part of the allowance that is spent: entries see each other come and go late, and
windows of the bound slide while these counts only follow."""


class ServiceRetryBudgetConfig(NamedTuple):
    """Set the allowance of all entries together."""

    window_seconds: float
    ratio: float
    """Repeats allowed for each request."""
    slack: float
    """Repeats allowed besides, in each window."""


@dataclass(slots=True)
class ServiceCount:
    """Hold the times of a service's requests and repeats within the window."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def drop_before(self, oldest: float) -> None:
        """Forget what has left the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] < oldest:
                times.popleft()


@dataclass(slots=True)
class ServiceRetryBudget:
    """Be one entry's part of the allowance."""

    config: ServiceRetryBudgetConfig
    counts: dict[ServiceName, ServiceCount] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: ServiceRetryBudgetConfig) -> Self:
        """Begin with nothing counted."""
        return cls(config)

    def count_request(self, service: ServiceName, now: float) -> None:
        """Count a request's first hand-over."""
        self.count_of(service, now).requests.append(now)

    def allow_retry(self, service: ServiceName, entries: int, now: float) -> bool:
        """Spend one repeat, if this entry's part of the slack of all allows it."""
        count = self.count_of(service, now)
        slack = self.config.slack / max(1, entries)
        allowed = SAFETY * (self.config.ratio * len(count.requests) + slack)
        if len(count.repeats) + 1 > allowed:
            return False
        count.repeats.append(now)
        return True

    def count_of(self, service: ServiceName, now: float) -> ServiceCount:
        """Return a service's counts, those in the window only."""
        count = self.counts.setdefault(service, ServiceCount())
        count.drop_before(now - self.config.window_seconds)
        return count
