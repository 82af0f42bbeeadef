"""Hold back requests during which several upstreams have exited.

Each gateway records the requests that ran when an upstream exited, and reports them to
the others.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nlargest
from typing import NamedTuple, Self

from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.gateway.messages import SuspectRequestReport
from cowslipshelf_core.internal.gateway.request_digest import (
    PartDigest,
    RequestDigest,
)
from cowslipshelf_core.internal.gateway.suspect_request import (
    QuarantineConfig,
    SuspectRequest,
)


@dataclass(frozen=True, slots=True)
class Allowed:
    """Let a request run without restriction."""


@dataclass(frozen=True, slots=True)
class AllowedAlone:
    """Let a request run once on one upstream, and on no other meanwhile."""

    probe: bool
    """Whether the request was held back until now."""
    parts: tuple[PartDigest, ...] = ()
    """Parts of its prompt that are on trial, instead of the whole request."""


@dataclass(frozen=True, slots=True)
class HeldBack:
    """Refuse a request before it runs."""

    upstreams: tuple[UpstreamId, ...]
    """Upstreams that exited during it."""
    left_seconds: float
    """Time until the request may run again."""
    retry_after_seconds: float | None
    """Time after which a retry may succeed, if it may."""


Verdict = Allowed | AllowedAlone | HeldBack


class ListedSuspect(NamedTuple):
    """Describe a request with exits that were not cleared."""

    digest: RequestDigest
    upstreams: tuple[UpstreamId, ...]
    held: bool
    last_event_seconds: float
    """Age of its last exit or trial."""
    left_seconds: float
    """Time until this gateway may probe it; zero if it is not held back."""


@dataclass(slots=True)
class RequestQuarantine:
    """Track the requests during which upstreams exited."""

    config: QuarantineConfig
    suspects: dict[RequestDigest, SuspectRequest] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: QuarantineConfig) -> Self:
        """Create a quarantine without suspects."""
        return cls(config)

    def verdict(self, digest: RequestDigest, now: float) -> Verdict:
        """Decide whether a request may run."""
        suspect = self.suspects.get(digest)
        exits = 0 if suspect is None else len(suspect.open_exits())
        if exits < self.config.alone_after_exits:
            return Allowed()
        held = exits >= self.config.held_after_exits
        left_seconds = suspect.held_until(digest, self.config) - now if held else 0.0
        if left_seconds > 0.0:
            return HeldBack(suspect.upstreams(), left_seconds, None)
        if suspect.is_on_trial(now, self.config):
            retry_after = None if held else self.config.alone_retry_seconds
            return HeldBack(suspect.upstreams(), self.config.trial_seconds, retry_after)
        return AllowedAlone(held)

    def is_held(self, digest: RequestDigest) -> bool:
        """Return whether enough upstreams exited to hold a request back."""
        return self.exit_count(digest) >= self.config.held_after_exits

    def is_urgent(self, digest: RequestDigest) -> bool:
        """Return whether a request is to be reported to all gateways at once."""
        suspect = self.suspects.get(digest)
        return (
            suspect is not None and len(suspect.exits) >= self.config.alone_after_exits
        )

    def exit_count(self, digest: RequestDigest) -> int:
        """Count the exits of a request that were not cleared."""
        suspect = self.suspects.get(digest)
        return 0 if suspect is None else len(suspect.open_exits())

    def exited_upstreams(self, digest: RequestDigest) -> tuple[UpstreamId, ...]:
        """Return the upstreams of a request's exits that were not cleared."""
        suspect = self.suspects.get(digest)
        return () if suspect is None else suspect.upstreams()

    def held_requests(self) -> list[RequestDigest]:
        """Return the requests that are held back."""
        return [digest for digest in self.suspects if self.is_held(digest)]

    def record_exit(
        self, digest: RequestDigest, upstream_id: UpstreamId, now: float
    ) -> bool:
        """Record that an upstream exited during a request; return whether it is new."""
        suspect = self.suspects.setdefault(digest, SuspectRequest(now))
        news = suspect.record_exit(upstream_id, now)
        if news:
            suspect.changed_at = now
            self.evict_excess()
        return news

    def record_answer(self, digest: RequestDigest, now: float) -> bool:
        """Record a complete answer; return whether it cleared a suspect."""
        suspect = self.suspects.get(digest)
        if suspect is None or not suspect.clear():
            return False
        suspect.changed_at = now
        return True

    def begin_trial(
        self, digest: RequestDigest, verdict: AllowedAlone, now: float
    ) -> None:
        """Record the beginning of a request's trial."""
        suspect = self.suspects.get(digest)
        if suspect is not None:
            suspect.begin_trial(verdict.probe, now)
            suspect.changed_at = now

    def end_trial(self, digest: RequestDigest) -> None:
        """Record the end of a request's trial, whatever its outcome."""
        suspect = self.suspects.get(digest)
        if suspect is not None:
            suspect.last_ended_trial = suspect.trials

    def reports(
        self, digests: Iterable[RequestDigest], now: float
    ) -> tuple[SuspectRequestReport, ...]:
        """Return the reports of some requests for other gateways."""
        known = [digest for digest in digests if digest in self.suspects]
        return tuple(self.suspects[digest].report(digest, now) for digest in known)

    def merge_report(self, report: SuspectRequestReport, now: float) -> bool:
        """Merge another gateway's report; return whether any of it is new."""
        suspect = self.suspects.setdefault(report.digest, SuspectRequest(now))
        news = suspect.merge(report, now)
        if news:
            suspect.changed_at = max(suspect.changed_at, suspect.last_event_at())
            self.evict_excess()
        return news

    def forget_old(self, now: float) -> list[RequestDigest]:
        """Remove outdated requests; return those that were held back."""
        old = [digest for digest in self.suspects if self.is_old(digest, now)]
        held = [digest for digest in old if self.is_held(digest)]
        for digest in old:
            del self.suspects[digest]
        return held

    def is_old(self, digest: RequestDigest, now: float) -> bool:
        """Return whether a request is outdated."""
        config = self.config
        held = self.is_held(digest)
        bound = config.forget_held_seconds if held else config.forget_seconds
        return now - self.suspects[digest].changed_at > bound

    def most_suspect(self, most: int) -> frozenset[RequestDigest]:
        """Return the requests with the most open exits, up to a number."""
        if len(self.suspects) <= most:
            return frozenset(self.suspects)
        return frozenset(nlargest(most, self.suspects, key=self.suspicion))

    def listed(self, now: float) -> tuple[ListedSuspect, ...]:
        """Describe the requests with open exits, those with the most first."""
        open_ones = [each for each in self.suspects if self.exit_count(each)]
        open_ones.sort(key=self.suspicion, reverse=True)
        return tuple(self.describe(digest, now) for digest in open_ones)

    def describe(self, digest: RequestDigest, now: float) -> ListedSuspect:
        """Describe one request."""
        suspect = self.suspects[digest]
        held = self.is_held(digest)
        left_seconds = suspect.held_until(digest, self.config) - now if held else 0.0
        age = now - suspect.last_event_at()
        return ListedSuspect(
            digest, suspect.upstreams(), held, age, max(0.0, left_seconds)
        )

    def evict_excess(self) -> None:
        """Remove the requests with the fewest open exits, the oldest first.

        A customer that sends many requests during which one upstream exits must not
        evict a request during which more have exited.
        """
        while len(self.suspects) > self.config.max_suspects:
            del self.suspects[min(self.suspects, key=self.suspicion)]

    def suspicion(self, digest: RequestDigest) -> tuple[int, float]:
        """Return the sort key of a request: its open exits, then its last change."""
        return self.exit_count(digest), self.suspects[digest].changed_at
