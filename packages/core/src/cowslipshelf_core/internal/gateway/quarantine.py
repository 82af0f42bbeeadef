"""Hold back requests under which one upstream after the other has ended.

Each gateway notes under which requests an upstream ended and tells the others.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nlargest
from typing import NamedTuple, Self

from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.gateway.messages import SuspectRequestReport
from cowslipshelf_core.internal.gateway.request_digest import RequestDigest
from cowslipshelf_core.internal.gateway.suspect_request import (
    QuarantineConfig,
    SuspectRequest,
)


@dataclass(frozen=True, slots=True)
class Allowed:
    """Let a request run."""


@dataclass(frozen=True, slots=True)
class AllowedAlone:
    """Let a request run at one upstream, once, and at no other meanwhile."""

    probe: bool
    """Whether it had been held back."""


@dataclass(frozen=True, slots=True)
class HeldBack:
    """Refuse a request, which did not run."""

    upstreams: tuple[UpstreamId, ...]
    """Those that ended under it."""
    left_seconds: float
    """Time until it may be tried again."""
    retry_after_seconds: float | None
    """When to come back, where that may help."""


Verdict = Allowed | AllowedAlone | HeldBack


class ListedSuspect(NamedTuple):
    """Describe a request against which something speaks."""

    digest: RequestDigest
    upstreams: tuple[UpstreamId, ...]
    held: bool
    last_event_seconds: float
    """Age of its last end or trial."""
    left_seconds: float
    """Time until it may be tried here; zero where it runs."""


@dataclass(slots=True)
class RequestQuarantine:
    """Hold the requests under which upstreams ended."""

    config: QuarantineConfig
    suspects: dict[RequestDigest, SuspectRequest] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: QuarantineConfig) -> Self:
        """Begin with no suspects."""
        return cls(config)

    def verdict(self, digest: RequestDigest, now: float) -> Verdict:
        """Decide whether a request may run."""
        suspect = self.suspects.get(digest)
        ends = 0 if suspect is None else len(suspect.open_ends())
        if ends < self.config.alone_ends:
            return Allowed()
        held = ends >= self.config.held_ends
        left = suspect.held_until(digest, self.config) - now if held else 0.0
        if left > 0.0:
            return HeldBack(suspect.upstreams(), left, None)
        if suspect.is_tried(now, self.config):
            pause = None if held else self.config.alone_pause_seconds
            return HeldBack(suspect.upstreams(), self.config.trial_seconds, pause)
        return AllowedAlone(held)

    def is_held(self, digest: RequestDigest) -> bool:
        """Tell whether so many upstreams ended that the request is held back."""
        return self.exit_count(digest) >= self.config.held_ends

    def is_urgent(self, digest: RequestDigest) -> bool:
        """Tell whether all gateways must hear of a request at once."""
        suspect = self.suspects.get(digest)
        return suspect is not None and len(suspect.ends) >= self.config.alone_ends

    def exit_count(self, digest: RequestDigest) -> int:
        """Count the ends that speak against a request."""
        suspect = self.suspects.get(digest)
        return 0 if suspect is None else len(suspect.open_ends())

    def exited_upstreams(self, digest: RequestDigest) -> tuple[UpstreamId, ...]:
        """Name the upstreams whose ends speak against a request."""
        suspect = self.suspects.get(digest)
        return () if suspect is None else suspect.upstreams()

    def held_requests(self) -> list[RequestDigest]:
        """List the requests that are held back."""
        return [digest for digest in self.suspects if self.is_held(digest)]

    def record_exit(
        self, digest: RequestDigest, upstream_id: UpstreamId, now: float
    ) -> bool:
        """Note that an upstream ended under a request; return whether it is news."""
        suspect = self.suspects.setdefault(digest, SuspectRequest(now))
        news = suspect.note_end(upstream_id, now)
        if news:
            suspect.changed_at = now
            self.evict_excess()
        return news

    def record_answer(self, digest: RequestDigest, now: float) -> bool:
        """Note a whole answer; return whether it cleared a suspect."""
        suspect = self.suspects.get(digest)
        if suspect is None or not suspect.clear():
            return False
        suspect.changed_at = now
        return True

    def begin_trial(
        self, digest: RequestDigest, verdict: AllowedAlone, now: float
    ) -> None:
        """Note that a request is tried."""
        suspect = self.suspects.get(digest)
        if suspect is not None:
            suspect.begin_trial(verdict.probe, now)
            suspect.changed_at = now

    def end_trial(self, digest: RequestDigest) -> None:
        """Note that a trial is over, whatever came of it."""
        suspect = self.suspects.get(digest)
        if suspect is not None:
            suspect.over = suspect.trials

    def reports(
        self, digests: Iterable[RequestDigest], now: float
    ) -> tuple[SuspectRequestReport, ...]:
        """Write what is known of some requests for other gateways."""
        known = [digest for digest in digests if digest in self.suspects]
        return tuple(self.suspects[digest].told(digest, now) for digest in known)

    def merge_report(self, told: SuspectRequestReport, now: float) -> bool:
        """Take in word of a request; return whether any of it is news."""
        suspect = self.suspects.setdefault(told.digest, SuspectRequest(now))
        news = suspect.take(told, now)
        if news:
            suspect.changed_at = max(suspect.changed_at, suspect.last_event())
            self.evict_excess()
        return news

    def forget_old(self, now: float) -> list[RequestDigest]:
        """Forget what is too old to matter; return what was held back of it."""
        old = [digest for digest in self.suspects if self.is_old(digest, now)]
        held = [digest for digest in old if self.is_held(digest)]
        for digest in old:
            del self.suspects[digest]
        return held

    def is_old(self, digest: RequestDigest, now: float) -> bool:
        """Tell whether a request may be forgotten."""
        config = self.config
        held = self.is_held(digest)
        bound = config.forget_held_seconds if held else config.forget_seconds
        return now - self.suspects[digest].changed_at > bound

    def most_suspect(self, most: int) -> frozenset[RequestDigest]:
        """Name the requests against which most speaks."""
        if len(self.suspects) <= most:
            return frozenset(self.suspects)
        return frozenset(nlargest(most, self.suspects, key=self.weight))

    def listed(self, now: float) -> tuple[ListedSuspect, ...]:
        """List the requests against which something speaks, the worst first."""
        open_ones = [each for each in self.suspects if self.exit_count(each)]
        open_ones.sort(key=self.weight, reverse=True)
        return tuple(self.describe(digest, now) for digest in open_ones)

    def describe(self, digest: RequestDigest, now: float) -> ListedSuspect:
        """Describe one request."""
        suspect = self.suspects[digest]
        held = self.is_held(digest)
        left = suspect.held_until(digest, self.config) - now if held else 0.0
        age = now - suspect.last_event()
        return ListedSuspect(digest, suspect.upstreams(), held, age, max(0.0, left))

    def evict_excess(self) -> None:
        """Forget the requests against which least speaks, the oldest first.

        Who sends many requests that each end one upstream must not make room for one
        that has ended more.
        """
        while len(self.suspects) > self.config.max_suspects:
            del self.suspects[min(self.suspects, key=self.weight)]

    def weight(self, digest: RequestDigest) -> tuple[int, float]:
        """Order requests by what speaks against them."""
        return self.exit_count(digest), self.suspects[digest].changed_at
