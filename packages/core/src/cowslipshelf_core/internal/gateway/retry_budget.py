"""Limit the retries that all gateways together send to a service.

Without a limit, retries multiply the load of a service just when it fails. Each gateway
spends its share of a common budget, so that they need not coordinate.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple, Self

from cowslipshelf_core.identifiers import ServiceName

SPENT_SHARE = 0.7
"""Share of the budget that is spent: gateways notice late when others join or leave,
and the budget holds for any sliding window, which these counts only approximate."""


RESTARTED_SHARE = 0.4
"""Part of the slack that is spent in the first window after a start, since the former
process may have spent its share in that window. All gateways may restart at once."""


class ServiceRetryBudgetConfig(NamedTuple):
    """Configure the retry budget of all gateways together."""

    window_seconds: float
    ratio: float
    """Retries allowed for each request."""
    slack: float
    """Further retries allowed in each window."""


@dataclass(slots=True)
class RetryCounts:
    """Hold the times of a service's requests and retries within the window."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def drop_before(self, oldest: float) -> None:
        """Remove the times that have left the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < oldest:
                times.popleft()


@dataclass(slots=True)
class ServiceRetryBudget:
    """Track one gateway's share of the retry budget, by service."""

    config: ServiceRetryBudgetConfig
    restarted_at: float | None = None
    """Time at which this gateway started, unless no process was there before."""
    counts: dict[ServiceName, RetryCounts] = field(default_factory=dict)

    @classmethod
    def from_config(
        cls, config: ServiceRetryBudgetConfig, restarted_at: float | None = None
    ) -> Self:
        """Create a budget with nothing counted."""
        return cls(config, restarted_at)

    def count_request(self, service: ServiceName, now: float) -> None:
        """Count a request's first attempt."""
        self.count_of(service, now).requests.append(now)

    def allow_retry(self, service: ServiceName, gateways: int, now: float) -> bool:
        """Spend one retry if this gateway's share of the budget allows it.

        `gateways` are all that may be sending, also those that this one can't hear.
        """
        count = self.count_of(service, now)
        slack = self.config.slack / max(1, gateways)
        restarted_at = self.restarted_at
        if restarted_at is not None and now - restarted_at < self.config.window_seconds:
            slack *= RESTARTED_SHARE
        allowed = SPENT_SHARE * (self.config.ratio * len(count.requests) + slack)
        if len(count.retries) + 1 > allowed:
            return False
        count.retries.append(now)
        return True

    def count_of(self, service: ServiceName, now: float) -> RetryCounts:
        """Return a service's counts within the window."""
        count = self.counts.setdefault(service, RetryCounts())
        count.drop_before(now - self.config.window_seconds)
        return count
