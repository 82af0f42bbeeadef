"""Estimate from answers which upstreams fail or are slow, whatever they report."""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.messages import (
    UpstreamObservation,
    UpstreamOutcome,
)

DECAY_SECONDS = 6.0
"""Time constant of the decay of observations: an upstream that fails some requests
still gets one now and then, and counts as healthy again within seconds."""
SMOOTHING = 0.3
"""Weight of one answer in the moving averages."""
AVOID_SECONDS = (0.5, 1.0, 2.0, 4.0)
"""Times for which an upstream is avoided after consecutive failures to reach it: one
reset may concern a single connection, several mean a crash."""
MAX_SLOWNESS = 10.0
MAX_REPORT_AGE_SECONDS = 2.0
"""Age at which what another gateway observed no longer counts: by then, the upstream's
state may have changed, and newer observations are on their way."""
REPORTED_LOSS_SHARE = 0.5
"""Weight of a loss at another gateway, compared with one here: its link may be the
cause."""
MARKED_FAILURE_RATE = 0.02
"""Failure rate from which an upstream is marked; one failure decays to it in 16 s."""
MARKED_SLOWNESS = 1.15
"""Slowness from which an upstream is marked; forecasts of passes are less than a tenth
off."""


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
    failed_at: float = -math.inf
    """Time of the last failure or loss at this gateway."""
    reported_losses: dict[InstanceId, float] = field(default_factory=dict)
    """Time of the last loss at each other gateway, within the maximum age."""


@dataclass(slots=True)
class UpstreamHealth:
    """Track the health of all upstreams."""

    records: dict[UpstreamId, UpstreamRecord] = field(default_factory=dict)

    def record_own(self, observation: UpstreamObservation, now: float) -> None:
        """Record an observation of this gateway."""
        upstream_id, slowness = observation.upstream_id, observation.slowness
        if observation.running:
            self.record_slowness(upstream_id, slowness, now)
        elif observation.outcome is UpstreamOutcome.LOST:
            self.record_lost(upstream_id, now)
        else:
            failed = observation.outcome is UpstreamOutcome.FAILED
            self.record_answer(upstream_id, failed, slowness, now)

    def record_answer(
        self, upstream_id: UpstreamId, failed: bool, slowness: float | None, now: float
    ) -> None:
        """Record an answer, whether it failed, and its slowness if that is known."""
        record = self.decay(upstream_id, now)
        add_answer(record, failed, slowness, SMOOTHING)
        if failed:
            record.failed_at = now

    def record_slowness(
        self, upstream_id: UpstreamId, slowness: float | None, now: float
    ) -> None:
        """Record the slowness of an answer that goes on."""
        add_slowness(self.decay(upstream_id, now), slowness, SMOOTHING)

    def record_lost(self, upstream_id: UpstreamId, now: float) -> None:
        """Record a connection that failed, or closed without an answer."""
        record = self.decay(upstream_id, now)
        record.failure_rate += SMOOTHING * (1.0 - record.failure_rate)
        pause = AVOID_SECONDS[min(record.consecutive_losses, len(AVOID_SECONDS) - 1)]
        record.consecutive_losses += 1
        record.avoid_until = now + pause
        record.failed_at = now

    def record_reported(
        self, reporter: InstanceId, observation: UpstreamObservation, now: float
    ) -> None:
        """Record what another gateway observed, the less the older it is."""
        weight = SMOOTHING * (1.0 - observation.age_seconds / MAX_REPORT_AGE_SECONDS)
        if weight <= 0.0:
            return
        record = self.decay(observation.upstream_id, now)
        if observation.running:
            add_slowness(record, observation.slowness, weight)
        elif observation.outcome is UpstreamOutcome.LOST:
            self.record_reported_loss(reporter, record, weight, now)
        else:
            failed = observation.outcome is UpstreamOutcome.FAILED
            add_answer(record, failed, observation.slowness, weight)

    def record_reported_loss(
        self, reporter: InstanceId, record: UpstreamRecord, weight: float, now: float
    ) -> None:
        """Record a loss at another gateway; avoid the upstream if another one agrees.

        Losses while the upstream is avoided do not avoid it for longer. All gateways
        lose their requests at once, and the upstream failed only once.
        """
        weight *= REPORTED_LOSS_SHARE
        record.failure_rate += weight * (1.0 - record.failure_rate)
        oldest = now - MAX_REPORT_AGE_SECONDS
        record.reported_losses = {
            peer: at for peer, at in record.reported_losses.items() if at > oldest
        }
        record.reported_losses[reporter] = now
        confirmed = len(record.reported_losses) > 1 or record.failed_at > oldest
        if confirmed and now >= record.avoid_until:
            pause = AVOID_SECONDS[
                min(record.consecutive_losses, len(AVOID_SECONDS) - 1)
            ]
            record.consecutive_losses += 1
            record.avoid_until = now + pause

    def is_marked(self, upstream_id: UpstreamId, now: float) -> bool:
        """Return whether an upstream fails, is slow or avoided, or was so lately."""
        record = self.records.get(upstream_id)
        if record is None:
            return False
        if now < record.avoid_until:
            return True
        # Spares the decay of the records of healthy upstreams, which are most.
        if (
            record.failure_rate <= MARKED_FAILURE_RATE
            and record.slowness <= MARKED_SLOWNESS
        ):
            return False
        self.decay(upstream_id, now)
        return (
            record.failure_rate > MARKED_FAILURE_RATE
            or record.slowness > MARKED_SLOWNESS
        )

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


def add_answer(
    record: UpstreamRecord, failed: bool, slowness: float | None, weight: float
) -> None:
    """Add a complete answer to the moving averages of an upstream."""
    record.consecutive_losses = 0
    record.failure_rate += weight * (float(failed) - record.failure_rate)
    add_slowness(record, slowness, weight)


def add_slowness(record: UpstreamRecord, slowness: float | None, weight: float) -> None:
    """Add the slowness of an answer, if it is known, to the moving average."""
    if slowness is not None:
        bounded = min(MAX_SLOWNESS, max(1.0, slowness))
        record.slowness += weight * (bounded - record.slowness)
