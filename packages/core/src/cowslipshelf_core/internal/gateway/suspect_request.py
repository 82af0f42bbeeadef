"""Track one request during which upstreams exited.

The state only grows, so that reports of other gateways may arrive in any order, late or
twice: exits are never removed one by one, and an exit that was cleared stays cleared.
"""

import math
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.messages import (
    ExitReport,
    SuspectRequestReport,
    UpstreamExit,
)
from cowslipshelf_core.internal.gateway.request_digest import (
    RequestDigest,
    is_digest,
)

SAME_EXIT_SECONDS = 1.0
"""Exits of an upstream with the same id within this time count as one."""
MAX_EXITS = 16
"""Most exits that are kept for one request."""
MAX_HOLD_STEPS = 4
"""Most probes, or further exits, with which the time until the next probe grows."""
SHARE_BYTES = 4
MAX_COUNT = 2**31
"""Largest counter that is accepted from another gateway."""


class QuarantineConfig(NamedTuple):
    """Configure when a request is held back, and for how long."""

    instance: InstanceId
    alone_after_exits: int = 2
    """Exits after which the request runs on one upstream at a time."""
    held_after_exits: int = 3
    """Exits after which the request is held back."""
    trial_seconds: float = 15.0
    """Time after which a trial counts as ended although no gateway reported it."""
    alone_retry_seconds: float = 0.5
    """Retry-after time given to callers that send the request during a trial."""
    hold_seconds: float = 20.0
    """Time for which the request is held back before its first probe."""
    hold_spread: float = 2.0
    """Largest jitter between gateways, as a share of that time, so that they don't
    probe at the same moment."""
    hold_growth: float = 8.0
    """Factor by which that time grows with each unsuccessful probe, or with each exit
    beyond `held_after_exits` if there are more of these."""
    forget_seconds: float = 600.0
    """Time since its last change after which a request that runs is forgotten."""
    forget_held_seconds: float = 6 * 3600.0
    """The same for a request that is held back."""
    max_suspects: int = 2_000
    """Most requests that are tracked."""


@dataclass(slots=True)
class SuspectRequest:
    """Hold the exits and trials of a request during which upstreams exited."""

    changed_at: float
    """Time of the last change."""
    exits: dict[UpstreamExit, float] = field(default_factory=dict)
    """The time of each exit."""
    cleared: set[UpstreamExit] = field(default_factory=set)
    """Exits that were followed by a complete answer."""
    trials: int = 0
    """Number of trials begun."""
    last_ended_trial: int = 0
    """Number of the last trial that has ended."""
    last_trial_at: float = -math.inf
    probes: int = 0
    """Number of trials begun while the request was held back."""

    def open_exits(self) -> list[UpstreamExit]:
        """Return the exits that were not cleared."""
        return [exited for exited in self.exits if exited not in self.cleared]

    def upstreams(self) -> tuple[UpstreamId, ...]:
        """Return the upstreams of the exits that were not cleared."""
        return tuple(exited.upstream_id for exited in self.open_exits())

    def last_event_at(self) -> float:
        """Return the time of the last exit or trial."""
        return max([*self.exits.values(), self.last_trial_at])

    def record_exit(self, upstream_id: UpstreamId, at: float) -> bool:
        """Record an exit; return whether it is new."""
        same = [exited for exited in self.exits if exited.upstream_id == upstream_id]
        if any(at < self.exits[exited] + SAME_EXIT_SECONDS for exited in same):
            return False
        if len(self.exits) >= MAX_EXITS:
            return False
        self.exits[UpstreamExit(upstream_id, len(same))] = at
        return True

    def clear(self) -> bool:
        """Clear all exits; return whether any was open."""
        exits = self.open_exits()
        self.cleared.update(exits)
        return bool(exits)

    def begin_trial(self, probe: bool, now: float) -> None:
        """Record the beginning of a trial."""
        self.trials += 1
        self.last_trial_at = now
        self.probes += probe

    def is_on_trial(self, now: float, config: QuarantineConfig) -> bool:
        """Return whether a trial is running on some gateway."""
        return (
            self.last_ended_trial < self.trials
            and now < self.last_trial_at + config.trial_seconds
        )

    def held_until(self, digest: RequestDigest, config: QuarantineConfig) -> float:
        """Return the time at which this gateway may begin a probe."""
        steps = max(self.probes, len(self.open_exits()) - config.held_after_exits)
        growth = config.hold_growth ** min(steps, MAX_HOLD_STEPS)
        spread = 1.0 + config.hold_spread * spread_share(config.instance, digest)
        return self.last_event_at() + config.hold_seconds * growth * spread

    def report(self, digest: RequestDigest, now: float) -> SuspectRequestReport:
        """Return the report of this state for other gateways."""
        exits = tuple(
            ExitReport(exited, now - at, exited in self.cleared)
            for exited, at in self.exits.items()
        )
        age = now - self.last_trial_at if self.trials else 0.0
        return SuspectRequestReport(
            digest, exits, self.trials, self.last_ended_trial, age, self.probes
        )

    def merge(self, report: SuspectRequestReport, now: float) -> bool:
        """Merge a report of another gateway; return whether any of it is new.

        Of two times of one event the earlier one counts, since each message adds its
        delay.
        """
        news = False
        for exited, age, cleared in report.exits:
            if exited not in self.exits and len(self.exits) >= MAX_EXITS:
                continue
            news |= exited not in self.exits or (cleared and exited not in self.cleared)
            self.exits[exited] = min(self.exits.get(exited, math.inf), now - age)
            if cleared:
                self.cleared.add(exited)
        if report.trials > self.trials:
            news = True
            self.trials, self.last_trial_at = (
                report.trials,
                now - report.trial_age_seconds,
            )
        news |= (
            report.last_ended_trial > self.last_ended_trial
            or report.probes > self.probes
        )
        self.last_ended_trial = max(self.last_ended_trial, report.last_ended_trial)
        self.probes = max(self.probes, report.probes)
        return news


def spread_share(instance: InstanceId, digest: RequestDigest) -> float:
    """Return a pseudorandom number from zero to one, by gateway and request."""
    text = f"{instance} {digest}".encode()
    drawn = int.from_bytes(blake2b(text, digest_size=SHARE_BYTES).digest())
    return drawn / 256**SHARE_BYTES


def suspect_report_problem(report: SuspectRequestReport) -> str | None:
    """Return why a report of another gateway is invalid, or None if it is valid."""
    if not is_digest(report.digest):
        return "the digest is none"
    if len(report.exits) > MAX_EXITS:
        return f"{len(report.exits)} ends, {MAX_EXITS} at most"
    ages = [each.age_seconds for each in report.exits] + [report.trial_age_seconds]
    if not all(math.isfinite(age) and age >= 0.0 for age in ages):
        return "an age is negative or not finite"
    counts = [report.trials, report.last_ended_trial, report.probes]
    counts += [each.exit.number for each in report.exits]
    if not all(0 <= count <= MAX_COUNT for count in counts):
        return "a count is out of bounds"
    return None
