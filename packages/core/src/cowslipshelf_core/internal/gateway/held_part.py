"""Track one prompt part with which requests are held back."""

import math
from dataclasses import dataclass
from typing import Self

from cowslipshelf_core.internal.gateway.exit_evidence import PartQuarantineConfig
from cowslipshelf_core.internal.gateway.messages import HeldPartReport
from cowslipshelf_core.internal.gateway.request_digest import PartDigest
from cowslipshelf_core.internal.gateway.suspect_request import spread_share

MAX_HOLD_STEPS = 3
"""Most probes with which the time until the next one grows."""


@dataclass(slots=True)
class HeldPart:
    """Hold the exits and trials of a prompt part since it is held back."""

    exited_at: float
    """Time of its last exit."""
    trials: int = 0
    """Number of trials begun."""
    last_ended_trial: int = 0
    """Number of the last trial that has ended."""
    last_trial_at: float = -math.inf
    probes: int = 0
    """Number of trials begun after a hold."""
    trial_exits: int = 0
    """Number of upstreams that exited in its trials."""

    @classmethod
    def from_report(cls, report: HeldPartReport, now: float) -> Self:
        """Create a part as another gateway reports it."""
        part = cls(now - report.exit_age_seconds)
        part.merge(report, now)
        return part

    def begin_trial(self, probe: bool, now: float) -> None:
        """Record the beginning of a trial."""
        self.trials += 1
        self.last_trial_at = now
        self.probes += probe

    def is_on_trial(self, now: float, config: PartQuarantineConfig) -> bool:
        """Return whether a trial is running on some gateway."""
        return (
            self.last_ended_trial < self.trials
            and now < self.last_trial_at + config.trial_seconds
        )

    def last_event_at(self) -> float:
        """Return the time of the last exit or trial."""
        return max(self.exited_at, self.last_trial_at)

    def held_until(self, part: PartDigest, config: PartQuarantineConfig) -> float:
        """Return the time at which this gateway may begin a probe."""
        growth = config.hold_growth ** min(self.probes, MAX_HOLD_STEPS)
        spread = 1.0 + config.hold_spread * spread_share(config.instance, part)
        return self.last_event_at() + config.hold_seconds * growth * spread

    def report(self, now: float) -> HeldPartReport:
        """Return the report of this state for other gateways."""
        trial_age = now - self.last_trial_at if self.trials else 0.0
        return HeldPartReport(
            now - self.exited_at,
            self.trials,
            self.last_ended_trial,
            trial_age,
            self.probes,
            self.trial_exits,
        )

    def merge(self, report: HeldPartReport, now: float) -> bool:
        """Merge a report of another gateway; return whether a counter grew."""
        before = self.counters()
        self.exited_at = max(self.exited_at, now - report.exit_age_seconds)
        if report.trials > self.trials:
            self.trials = report.trials
            self.last_trial_at = now - report.trial_age_seconds
        self.last_ended_trial = max(self.last_ended_trial, report.last_ended_trial)
        self.probes = max(self.probes, report.probes)
        self.trial_exits = max(self.trial_exits, report.trial_exits)
        return self.counters() != before

    def counters(self) -> tuple[int, int, int, int]:
        """Return the counters, which only grow."""
        return self.trials, self.last_ended_trial, self.probes, self.trial_exits
