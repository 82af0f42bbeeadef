"""Record which prompt parts were running when upstreams exited, and which are answered.

The evidence only grows, so that reports of other gateways may arrive in any order, late
or twice. Of two times of one exit the earlier one counts, since each message adds its
delay; of two times of an answer the later one.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple, Self

from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.messages import UpstreamExit
from cowslipshelf_core.internal.gateway.request_digest import (
    PartDigest,
    RequestDigest,
)
from cowslipshelf_core.internal.gateway.suspect_request import SAME_EXIT_SECONDS


class BrokenAttempt(NamedTuple):
    """Describe an attempt that an upstream's exit broke off."""

    began_at: float
    request: RequestDigest


class PartQuarantineConfig(NamedTuple):
    """Configure when requests with a prompt part are held back, and for how long."""

    instance: InstanceId
    unknown_after_exits: int = 3
    """Separate exits after which a part that was not answered lately is held back."""
    min_requests: int = 2
    """Least number of different requests that these exits must have broken off."""
    known_after_exits: int = 4
    """The same for a part that was answered lately."""
    known_after_seconds: float = 1.0
    """Least time from the first to the last of these exits."""
    spacing_seconds: float = 0.1
    """Time within which exits are not separate, as when a rack fails."""
    same_moment_seconds: float = 0.03
    """Time between exits up to which they count as one in a share of exits."""
    min_share: float = 0.5
    """Share that a part must have of all exits since its first one."""
    covering_share: float = 0.75
    """Share of a part's exits above which another part may be the reason of all."""
    doubted_trial_exits: int = 2
    """Exits in trials of a part after which no other part is taken for the reason."""
    trial_seconds: float = 15.0
    """Time after which a trial counts as ended although no gateway reported it."""
    alone_retry_seconds: float = 0.5
    """Retry-after time given to callers that send a part during its trial."""
    hold_seconds: float = 20.0
    """Time for which a part is held back before its first probe."""
    hold_spread: float = 2.0
    """Largest jitter between gateways, as a share of that time, so that they don't
    probe at the same moment."""
    hold_growth: float = 8.0
    """Factor by which that time grows with each unsuccessful probe."""
    evidence_seconds: float = 600.0
    """Time for which exits and answers are remembered."""
    forget_held_seconds: float = 6 * 3600.0
    """Time since its last exit or trial after which a held part is forgotten."""
    max_exits: int = 200
    max_parts_per_exit: int = 200
    max_answered: int = 5_000
    """Most answered parts that are remembered, those answered last."""
    max_held: int = 200


@dataclass(slots=True)
class ExitEvidence:
    """Hold the exits of upstreams and the answers that speak for or against parts."""

    config: PartQuarantineConfig
    exits: dict[UpstreamExit, float] = field(default_factory=dict)
    """The time of each exit."""
    parts: dict[UpstreamExit, dict[PartDigest, BrokenAttempt]] = field(
        default_factory=dict
    )
    """The parts of the attempts that an exit broke off, each with the one of its
    attempts that began last."""
    by_part: dict[PartDigest, set[UpstreamExit]] = field(default_factory=dict)
    answered: dict[PartDigest, float] = field(default_factory=dict)
    """The time of each part's last complete answer, the oldest one first."""

    @classmethod
    def from_config(cls, config: PartQuarantineConfig) -> Self:
        """Create evidence without exits or answers."""
        return cls(config)

    def identify_exit(self, upstream_id: UpstreamId, at: float) -> UpstreamExit:
        """Return the exit of an upstream at a time, which may be known already."""
        same = [each for each in self.exits if each.upstream_id == upstream_id]
        for each in same:
            if abs(at - self.exits[each]) < SAME_EXIT_SECONDS:
                return each
        return UpstreamExit(upstream_id, len(same))

    def record_exit(
        self,
        exited: UpstreamExit,
        broken: Mapping[PartDigest, BrokenAttempt],
        at: float,
    ) -> bool:
        """Record the parts that an exit broke off; return whether any of it is new."""
        known = self.parts.setdefault(exited, {})
        news = False
        for part, attempt in broken.items():
            if part not in known and len(known) >= self.config.max_parts_per_exit:
                continue
            if part in known and attempt <= known[part]:
                continue
            news |= part not in known or attempt.request != known[part].request
            known[part] = attempt
            self.by_part.setdefault(part, set()).add(exited)
        self.exits[exited] = min(self.exits.get(exited, math.inf), at)
        if len(self.exits) > self.config.max_exits:
            self.remove_exit(min(self.exits, key=self.exits.__getitem__))
        return news

    def record_answer(self, part: PartDigest, at: float) -> bool:
        """Record a complete answer; return whether it cleared the part of an exit."""
        before = self.answered_at(part)
        if at <= before:
            return False
        self.answered.pop(part, None)
        self.answered[part] = at
        if len(self.answered) > self.config.max_answered:
            del self.answered[next(iter(self.answered))]
        return any(before < self.exits[each] <= at for each in self.exits_of(part))

    def answered_at(self, part: PartDigest) -> float:
        """Return the time of a part's last complete answer."""
        return self.answered.get(part, -math.inf)

    def exits_of(self, part: PartDigest) -> set[UpstreamExit]:
        """Return the exits that broke off a part."""
        return self.by_part.get(part, set())

    def open_exits(self, part: PartDigest) -> set[UpstreamExit]:
        """Return the exits of a part since it was last answered."""
        answered_at = self.answered_at(part)
        exits = self.exits
        return {each for each in self.exits_of(part) if exits[each] > answered_at}

    def is_condemned(
        self, part: PartDigest, held: Iterable[PartDigest], now: float
    ) -> bool:
        """Return whether a part is the likely reason of its exits.

        Exits that a held part was in are explained by that one, and don't count, unless
        this part explains those of the held one as well.
        """
        config = self.config
        explaining = (other for other in held if not self.covers(part, other))
        explained = {each for other in explaining for each in self.exits_of(other)}
        against = self.open_exits(part) - explained
        is_known = self.answered_at(part) > now - config.evidence_seconds
        needed = config.known_after_exits if is_known else config.unknown_after_exits
        if len(against) < needed:
            return False
        broken = {each: self.parts[each][part] for each in against}
        if len({attempt.request for attempt in broken.values()}) < config.min_requests:
            return False
        separate = self.count_separate(
            (self.exits[each], attempt.began_at) for each, attempt in broken.items()
        )
        times = [self.exits[each] for each in against]
        first_at = min(times)
        if is_known and max(times) < first_at + config.known_after_seconds:
            return False
        since = {each for each, at in self.exits.items() if at >= first_at}
        share = self.count_moments(against) / self.count_moments(since - explained)
        return separate >= needed and share >= config.min_share

    def count_separate(self, exits: Iterable[tuple[float, float]]) -> int:
        """Count exits, given with the beginning of an attempt, that are separate.

        An attempt that began before an exit may end by the same cause. An exit is
        separate from an earlier one if its attempt began later.
        """
        separate, last_at = 0, -math.inf
        for at, began in sorted(exits):
            if began > last_at and at >= last_at + self.config.spacing_seconds:
                separate, last_at = separate + 1, at
        return separate

    def count_moments(self, exits: Iterable[UpstreamExit]) -> int:
        """Count exits, those that follow almost at once as one."""
        moments, last_at = 0, -math.inf
        for at in sorted(self.exits[each] for each in exits):
            moments += at >= last_at + self.config.same_moment_seconds
            last_at = at
        return moments

    def covers(self, other: PartDigest, part: PartDigest) -> bool:
        """Return whether another part was in nearly all open exits of a part."""
        exits = self.open_exits(part)
        common = exits & self.exits_of(other)
        return len(common) > self.config.covering_share * len(exits)

    def forget_old(self, now: float) -> None:
        """Remove outdated exits and answers."""
        oldest = now - self.config.evidence_seconds
        for each in [each for each, at in self.exits.items() if at < oldest]:
            self.remove_exit(each)
        for part in [part for part, at in self.answered.items() if at < oldest]:
            del self.answered[part]

    def remove_exit(self, exited: UpstreamExit) -> None:
        """Remove an exit and its parts."""
        del self.exits[exited]
        for part in self.parts.pop(exited):
            exits = self.by_part[part]
            exits.discard(exited)
            if not exits:
                del self.by_part[part]
