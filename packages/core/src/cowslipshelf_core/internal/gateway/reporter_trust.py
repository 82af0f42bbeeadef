"""Decide whose observations of upstreams count.

A gateway with a bad link loses answers of upstreams that are healthy. Its observations
would take them out of use at all other gateways.
"""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.messages import (
    UpstreamObservation,
    UpstreamObservations,
    UpstreamOutcome,
)

WINDOW_SECONDS = 3.0
"""Time for which a report counts. Longer than a message is late, so that two reporters
of one fault confirm each other, and short enough that a repaired link counts again."""
PRUNE_INTERVAL_SECONDS = 0.5
"""Shortest time between two removals of old reports of one reporter: each one copies
all of its reports, and it may send a message every 20 ms."""
REPORTED_SLOWNESS = 1.3
"""Slowness from which an answer is reported and marks its upstream."""
MIN_UPSTREAMS = 6
"""Upstreams that a reporter must have used before its observations may be left out:
two of three plain upstreams do fail at once."""
SUSPECT_SHARE = 0.5
"""Share of marked upstreams above which the reporter's own link is suspected."""
CONFIRMED_SHARE = 1 / 3
"""Share of these upstreams that another reporter has to mark as well. Two gateways do
not see exactly the same ones within the window."""


class ReportedUpstream(NamedTuple):
    """Hold what one reporter last said about an upstream."""

    at: float
    lost: bool
    """Whether the last observation was a loss."""
    marked_at: float
    """Time of the last observation that was not of a healthy upstream."""


@dataclass(slots=True)
class ReporterRecord:
    """Hold what one reporter said within the window."""

    upstreams: dict[UpstreamId, ReportedUpstream] = field(default_factory=dict)
    answered_upstreams: int = 0
    numbers: dict[int, float] = field(default_factory=dict)
    """Numbers of its messages, with the times at which they came."""
    pruned_at: float = -math.inf

    def prune(self, now: float) -> None:
        """Drop what lies before the window, unless that was done a short time ago."""
        if now - self.pruned_at >= PRUNE_INTERVAL_SECONDS:
            self.drop_old(now)

    def drop_old(self, now: float) -> None:
        """Drop what lies before the window."""
        self.pruned_at = now
        oldest = now - WINDOW_SECONDS
        self.upstreams = {
            key: each for key, each in self.upstreams.items() if each.at > oldest
        }
        self.numbers = {key: at for key, at in self.numbers.items() if at > oldest}

    def add(self, observation: UpstreamObservation, now: float) -> None:
        """Add one observation."""
        known = self.upstreams.get(observation.upstream_id)
        marked_at = -math.inf if known is None else known.marked_at
        self.upstreams[observation.upstream_id] = ReportedUpstream(
            now,
            observation.outcome is UpstreamOutcome.LOST,
            now if marks(observation) else marked_at,
        )

    def marked(self, now: float) -> set[UpstreamId]:
        """Return the upstreams that it marked within the window."""
        oldest = now - WINDOW_SECONDS
        return {key for key, each in self.upstreams.items() if each.marked_at > oldest}

    def has_number(self, number: int, now: float) -> bool:
        """Return whether a message of a number came within the window."""
        return self.numbers.get(number, -math.inf) > now - WINDOW_SECONDS

    def used_upstreams(self, now: float) -> int:
        """Return how many upstreams answered it or were reported by it.

        Upstreams count as answered unless they were lost since, so that adding the lost
        ones counts none twice.
        """
        oldest = now - WINDOW_SECONDS
        return self.answered_upstreams + sum(
            each.lost and each.at > oldest for each in self.upstreams.values()
        )


@dataclass(slots=True)
class ReporterTrust:
    """Track what each gateway reports, this one included."""

    reporters: dict[InstanceId, ReporterRecord] = field(default_factory=dict)
    left_out: set[InstanceId] = field(default_factory=set)
    """Reporters whose last message was left out."""

    def record_own(
        self, own: InstanceId, observation: UpstreamObservation, now: float
    ) -> None:
        """Record an observation of this gateway, which may confirm those of others."""
        self.reporters.setdefault(own, ReporterRecord()).add(observation, now)

    def record(
        self, reporter: InstanceId, message: UpstreamObservations, now: float
    ) -> bool:
        """Record a message; return whether it is new."""
        record = self.reporters.setdefault(reporter, ReporterRecord())
        record.prune(now)
        if message.number and record.has_number(message.number, now):
            return False
        record.numbers[message.number] = now
        record.answered_upstreams = message.answered_upstreams
        for observation in message.observations:
            record.add(observation, now)
        return True

    def is_trusted(self, reporter: InstanceId, now: float) -> bool:
        """Return whether a reporter's observations count now."""
        record = self.reporters.get(reporter)
        if record is None:
            return True
        marked = record.marked(now)
        used = record.used_upstreams(now)
        if used < MIN_UPSTREAMS or len(marked) <= SUSPECT_SHARE * used:
            return True
        needed = CONFIRMED_SHARE * len(marked)
        return any(
            len(marked & other.marked(now)) >= needed
            for name, other in self.reporters.items()
            if name != reporter
        )

    def forget_old(self, now: float) -> None:
        """Drop reporters that said nothing within the window."""
        for record in self.reporters.values():
            record.drop_old(now)
        self.reporters = {
            name: each for name, each in self.reporters.items() if each.upstreams
        }
        self.left_out.intersection_update(self.reporters)


def marks(observation: UpstreamObservation) -> bool:
    """Return whether an observation shows an upstream that is not healthy."""
    if observation.outcome is not UpstreamOutcome.ANSWERED:
        return True
    return observation.slowness is not None and observation.slowness > REPORTED_SLOWNESS
