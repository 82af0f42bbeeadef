"""Share observations of upstreams among gateways, as far as they matter to others.

Without input or output: the caller sends what `take` returns to all other gateways, and
hands over what they sent.
"""

from collections.abc import Container
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

import msgspec

from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.messages import (
    UpstreamObservation,
    UpstreamObservations,
    UpstreamOutcome,
)
from cowslipshelf_core.internal.gateway.reporter_trust import (
    WINDOW_SECONDS,
    ReporterTrust,
    marks,
)
from cowslipshelf_core.internal.gateway.upstream_health import (
    MARKED_SLOWNESS,
    MAX_REPORT_AGE_SECONDS,
    UpstreamHealth,
)

MAX_OBSERVATIONS = 200
"""Most observations in one message: 11 kB, which a link of 10 Mbit/s carries to ten
gateways in a tenth of a second."""


class ReportsOutcome(StrEnum):
    """Name what became of a message of another gateway."""

    RECORDED = "recorded"
    DOUBLED = "doubled"
    """It came before."""
    LEFT_OUT = "left_out"
    """The reporter's own link is suspected."""
    IGNORED = "ignored"
    """This gateway does not share health."""


class Waiting(NamedTuple):
    """Hold an observation that waits to be sent."""

    observation: UpstreamObservation
    at: float


@dataclass(slots=True)
class SharedHealth:
    """Exchange observations for the health estimates of one gateway."""

    own: InstanceId
    health: UpstreamHealth
    trust: ReporterTrust = field(default_factory=ReporterTrust)
    answered_at: dict[UpstreamId, float] = field(default_factory=dict)
    """When each upstream last answered this gateway, if it was not lost since."""
    waiting: list[Waiting] = field(default_factory=list)
    dropped: int = 0
    """Number of observations that did not fit into the message that is collected."""
    urgent: bool = False
    """Whether what waits is new to others, or has filled the message."""
    number: int = 0

    def observe(self, observation: UpstreamObservation, now: float) -> bool:
        """Record an observation of this gateway; return whether it is to be sent."""
        upstream_id = observation.upstream_id
        was_marked = self.health.is_marked(upstream_id, now)
        was_slow = (
            was_marked
            and self.health.estimate(upstream_id, now).slowness > MARKED_SLOWNESS
        )
        self.record_own(observation, now)
        bad = marks(observation)
        if bad:
            self.trust.record_own(self.own, observation, now)
        if not bad and not was_marked:
            return False
        if len(self.waiting) >= MAX_OBSERVATIONS:
            self.dropped += 1
        else:
            self.waiting.append(Waiting(observation, now))
        answered = observation.outcome is UpstreamOutcome.ANSWERED
        self.urgent |= not answered or (bad and not was_slow)
        self.urgent |= len(self.waiting) >= MAX_OBSERVATIONS
        return True

    def record_own(self, observation: UpstreamObservation, now: float) -> None:
        """Record an observation of this gateway that is not sent."""
        if observation.outcome is UpstreamOutcome.LOST:
            self.answered_at.pop(observation.upstream_id, None)
        else:
            self.answered_at[observation.upstream_id] = now
        self.health.record_own(observation, now)

    def take(self, now: float) -> UpstreamObservations:
        """Return the message with the observations that wait, and clear them."""
        self.number += 1
        self.drop_old_answers(now)
        collected = tuple(
            msgspec.structs.replace(observation, age_seconds=max(0.0, now - at))
            for observation, at in self.waiting
        )
        self.waiting = []
        self.urgent = False
        self.dropped = 0
        return UpstreamObservations(collected, len(self.answered_at), self.number)

    def receive(
        self,
        reporter: InstanceId,
        message: UpstreamObservations,
        known: Container[UpstreamId],
        now: float,
    ) -> ReportsOutcome:
        """Record what another gateway observed of known upstreams.

        An untrusted message still counts towards the decision whom to trust.
        """
        if not self.trust.record(reporter, message, now):
            return ReportsOutcome.DOUBLED
        if not self.trust.is_trusted(reporter, now):
            return ReportsOutcome.LEFT_OUT
        for observation in message.observations:
            recent = 0.0 <= observation.age_seconds < MAX_REPORT_AGE_SECONDS
            if recent and observation.upstream_id in known:
                self.health.record_reported(reporter, observation, now)
        return ReportsOutcome.RECORDED

    def drop_old_answers(self, now: float) -> None:
        """Forget answers that lie before the window."""
        oldest = now - WINDOW_SECONDS
        self.answered_at = {
            key: at for key, at in self.answered_at.items() if at > oldest
        }

    def forget_old(self, now: float) -> None:
        """Drop what no longer counts."""
        self.drop_old_answers(now)
        self.trust.forget_old(now)
