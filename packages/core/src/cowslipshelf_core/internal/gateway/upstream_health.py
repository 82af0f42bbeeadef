"""Learn from answers which upstreams fail or are slow, whatever they say themselves."""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.identifiers import UpstreamId

MEMORY_SECONDS = 6.0
"""Time in which an observation loses most of its weight: an upstream that fails part
of its requests gets one now and then, and is believed again within some seconds."""
SMOOTHING = 0.3
"""Weight of one answer against those before it."""
AVOID_SECONDS = (0.5, 1.0, 2.0, 4.0)
"""Pauses after failures to reach an upstream, the first one shortest: a reset may be
one connection's, a run of them is a crash."""
MOST_SLOWNESS = 10.0


class HealthEstimate(NamedTuple):
    """Be what is believed of an upstream."""

    slowness: float
    failure_rate: float
    """Share of requests that are likely to fail."""
    avoided: bool


@dataclass(slots=True)
class UpstreamRecord:
    """Hold the observations of one upstream."""

    slowness: float = 1.0
    failure_rate: float = 0.0
    seen_at: float = -math.inf
    lost_in_a_row: int = 0
    avoid_until: float = -math.inf


@dataclass(slots=True)
class UpstreamHealth:
    """Hold what was observed of all upstreams."""

    records: dict[UpstreamId, UpstreamRecord] = field(default_factory=dict)

    def record_answer(
        self, upstream_id: UpstreamId, failed: bool, slowness: float | None, now: float
    ) -> None:
        """Note an answer, whether it failed, and its slowness against expectation."""
        record = self.fade(upstream_id, now)
        record.lost_in_a_row = 0
        record.failure_rate += SMOOTHING * (float(failed) - record.failure_rate)
        if slowness is not None:
            bounded = min(MOST_SLOWNESS, max(1.0, slowness))
            record.slowness += SMOOTHING * (bounded - record.slowness)

    def record_lost(self, upstream_id: UpstreamId, now: float) -> None:
        """Note a connection that could not be made, or ended without an answer."""
        record = self.fade(upstream_id, now)
        record.failure_rate += SMOOTHING * (1.0 - record.failure_rate)
        pause = AVOID_SECONDS[min(record.lost_in_a_row, len(AVOID_SECONDS) - 1)]
        record.lost_in_a_row += 1
        record.avoid_until = now + pause

    def fade(self, upstream_id: UpstreamId, now: float) -> UpstreamRecord:
        """Let old observations lose weight, and return the record."""
        record = self.records.setdefault(upstream_id, UpstreamRecord())
        kept = math.exp((record.seen_at - now) / MEMORY_SECONDS)
        record.failure_rate *= kept
        record.slowness = 1.0 + (record.slowness - 1.0) * kept
        record.seen_at = now
        return record

    def estimate(self, upstream_id: UpstreamId, now: float) -> HealthEstimate:
        """Return what is believed of an upstream now."""
        if upstream_id not in self.records:
            return HealthEstimate(1.0, 0.0, False)
        record = self.fade(upstream_id, now)
        return HealthEstimate(
            record.slowness, record.failure_rate, now < record.avoid_until
        )

    def forget(self, upstream_id: UpstreamId) -> None:
        """Forget an upstream that has gone."""
        self.records.pop(upstream_id, None)
