"""Estimate from answers which upstreams fail or are slow, whatever they report."""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.identifiers import UpstreamId

DECAY_SECONDS = 6.0
"""Time constant of the decay of observations: an upstream that fails some requests
still gets one now and then, and counts as healthy again within seconds."""
SMOOTHING = 0.3
"""Weight of one answer in the moving averages."""
AVOID_SECONDS = (0.5, 1.0, 2.0, 4.0)
"""Times for which an upstream is avoided after consecutive failures to reach it: one
reset may concern a single connection, several mean a crash."""
MAX_SLOWNESS = 10.0


class HealthEstimate(NamedTuple):
    """Hold the health estimate of an upstream."""

    slowness: float
    """Duration of answers as a multiple of the expected one."""
    failure_rate: float
    """Share of requests that are likely to fail."""
    avoided: bool


@dataclass(slots=True)
class UpstreamRecord:
    """Hold the observations of one upstream."""

    slowness: float = 1.0
    failure_rate: float = 0.0
    seen_at: float = -math.inf
    consecutive_losses: int = 0
    avoid_until: float = -math.inf


@dataclass(slots=True)
class UpstreamHealth:
    """Track the health of all upstreams."""

    records: dict[UpstreamId, UpstreamRecord] = field(default_factory=dict)

    def record_answer(
        self, upstream_id: UpstreamId, failed: bool, slowness: float | None, now: float
    ) -> None:
        """Record an answer, whether it failed, and its slowness if that is known."""
        record = self.decay(upstream_id, now)
        record.consecutive_losses = 0
        record.failure_rate += SMOOTHING * (float(failed) - record.failure_rate)
        if slowness is not None:
            bounded = min(MAX_SLOWNESS, max(1.0, slowness))
            record.slowness += SMOOTHING * (bounded - record.slowness)

    def record_lost(self, upstream_id: UpstreamId, now: float) -> None:
        """Record a connection that failed, or closed without an answer."""
        record = self.decay(upstream_id, now)
        record.failure_rate += SMOOTHING * (1.0 - record.failure_rate)
        pause = AVOID_SECONDS[min(record.consecutive_losses, len(AVOID_SECONDS) - 1)]
        record.consecutive_losses += 1
        record.avoid_until = now + pause

    def decay(self, upstream_id: UpstreamId, now: float) -> UpstreamRecord:
        """Decay old observations, and return the record."""
        record = self.records.setdefault(upstream_id, UpstreamRecord())
        remaining = math.exp((record.seen_at - now) / DECAY_SECONDS)
        record.failure_rate *= remaining
        record.slowness = 1.0 + (record.slowness - 1.0) * remaining
        record.seen_at = now
        return record

    def estimate(self, upstream_id: UpstreamId, now: float) -> HealthEstimate:
        """Return the present health estimate of an upstream."""
        if upstream_id not in self.records:
            return HealthEstimate(1.0, 0.0, False)
        record = self.decay(upstream_id, now)
        return HealthEstimate(
            record.slowness, record.failure_rate, now < record.avoid_until
        )

    def forget(self, upstream_id: UpstreamId) -> None:
        """Remove an upstream that has gone."""
        self.records.pop(upstream_id, None)
