"""Remember one request under which upstreams ended.

What is noted only grows, so that words of other gateways may come in any order, late
or twice: ends are never forgotten one by one, and an end that was cleared stays so.
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
    is_request_digest,
)

SAME_END_SECONDS = 1.0
"""Time between two ends of an upstream, under one id, that count as one."""
MOST_ENDS = 16
"""Ends that are remembered of one request."""
MOST_HOLD_STEPS = 4
"""Steps after which the pause between two probes no longer grows."""
SHARE_BYTES = 4
MOST_COUNT = 2**31
"""Bound on the counters that other gateways may tell."""


class QuarantineConfig(NamedTuple):
    """Set when a request is held back, and for how long."""

    instance: InstanceId
    alone_ends: int = 2
    """Ends after which the request runs at one upstream at a time."""
    held_ends: int = 3
    """Ends after which it is held back."""
    trial_seconds: float = 15.0
    """Time after which a trial counts as over, although nobody said so."""
    alone_pause_seconds: float = 0.5
    """Pause told to whoever sends it while it is tried."""
    hold_seconds: float = 20.0
    """Time for which it is held back before its first probe."""
    hold_spread: float = 2.0
    """Share of that time by which gateways differ at most, so that they don't probe at
    the same moment."""
    hold_growth: float = 8.0
    """Factor by which that time grows with each probe in vain."""
    forget_seconds: float = 600.0
    """Age of its last end at which a request that is not held back is forgotten."""
    forget_held_seconds: float = 6 * 3600.0
    """Age at which one that is held back is forgotten."""
    max_suspects: int = 2_000
    """Requests that are remembered."""


@dataclass(slots=True)
class SuspectRequest:
    """Be a request under which upstreams ended."""

    changed_at: float
    """Time of the last change that is worth remembering."""
    ends: dict[UpstreamExit, float] = field(default_factory=dict)
    """The time of each end."""
    cleared: set[UpstreamExit] = field(default_factory=set)
    """Ends before a whole answer."""
    trials: int = 0
    """Trials that were begun."""
    over: int = 0
    """Number of the last trial that is over."""
    tried_at: float = -math.inf
    probes: int = 0
    """Trials that were begun while it was held back."""

    def open_ends(self) -> list[UpstreamExit]:
        """List the ends that speak against it."""
        return [end for end in self.ends if end not in self.cleared]

    def upstreams(self) -> tuple[UpstreamId, ...]:
        """Name the upstreams whose ends speak against it."""
        return tuple(end.upstream_id for end in self.open_ends())

    def last_event(self) -> float:
        """Return the time of its last end or trial."""
        return max([*self.ends.values(), self.tried_at])

    def note_end(self, upstream_id: UpstreamId, at: float) -> bool:
        """Note an end; return whether it is news."""
        same = [end for end in self.ends if end.upstream_id == upstream_id]
        if any(at < self.ends[end] + SAME_END_SECONDS for end in same):
            return False
        if len(self.ends) >= MOST_ENDS:
            return False
        self.ends[UpstreamExit(upstream_id, len(same))] = at
        return True

    def clear(self) -> bool:
        """Clear what speaks against it; return whether that is news."""
        ends = self.open_ends()
        self.cleared.update(ends)
        return bool(ends)

    def begin_trial(self, probe: bool, now: float) -> None:
        """Note that it is tried."""
        self.trials += 1
        self.tried_at = now
        self.probes += probe

    def is_tried(self, now: float, config: QuarantineConfig) -> bool:
        """Tell whether it runs somewhere."""
        return self.over < self.trials and now < self.tried_at + config.trial_seconds

    def held_until(self, digest: RequestDigest, config: QuarantineConfig) -> float:
        """Return when this gateway may try it again."""
        steps = max(self.probes, len(self.open_ends()) - config.held_ends)
        growth = config.hold_growth ** min(steps, MOST_HOLD_STEPS)
        spread = 1.0 + config.hold_spread * share_of(config.instance, digest)
        return self.last_event() + config.hold_seconds * growth * spread

    def told(self, digest: RequestDigest, now: float) -> SuspectRequestReport:
        """Write what is known of it for another gateway."""
        ends = tuple(
            ExitReport(end, now - at, end in self.cleared)
            for end, at in self.ends.items()
        )
        age = now - self.tried_at if self.trials else 0.0
        return SuspectRequestReport(
            digest, ends, self.trials, self.over, age, self.probes
        )

    def take(self, told: SuspectRequestReport, now: float) -> bool:
        """Take in what another gateway knows of it; return whether any of it is news.

        Of two times of one event the earlier one counts: each message adds its way.
        """
        news = False
        for end, age, cleared in told.ends:
            if end not in self.ends and len(self.ends) >= MOST_ENDS:
                continue
            news |= end not in self.ends or (cleared and end not in self.cleared)
            self.ends[end] = min(self.ends.get(end, math.inf), now - age)
            if cleared:
                self.cleared.add(end)
        if told.trials > self.trials:
            news = True
            self.trials, self.tried_at = told.trials, now - told.trial_age_seconds
        news |= told.over > self.over or told.probes > self.probes
        self.over = max(self.over, told.over)
        self.probes = max(self.probes, told.probes)
        return news


def share_of(instance: InstanceId, digest: RequestDigest) -> float:
    """Return a share from zero to one that differs from gateway to gateway."""
    text = f"{instance} {digest}".encode()
    drawn = int.from_bytes(blake2b(text, digest_size=SHARE_BYTES).digest())
    return drawn / 256**SHARE_BYTES


def suspect_report_problem(told: SuspectRequestReport) -> str | None:
    """Say what is wrong with word of another gateway, if anything is."""
    if not is_request_digest(told.digest):
        return "the digest is none"
    if len(told.ends) > MOST_ENDS:
        return f"{len(told.ends)} ends, {MOST_ENDS} at most"
    ages = [each.age_seconds for each in told.ends] + [told.trial_age_seconds]
    if not all(math.isfinite(age) and age >= 0.0 for age in ages):
        return "an age is negative or not finite"
    counts = [told.trials, told.over, told.probes]
    counts += [each.end.number for each in told.ends]
    if not all(0 <= count <= MOST_COUNT for count in counts):
        return "a count is out of bounds"
    return None
