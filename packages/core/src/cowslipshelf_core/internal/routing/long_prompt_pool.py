"""Choose the pool of upstreams that prefer long prompts."""

from dataclasses import dataclass
from hashlib import blake2b
from math import ceil, exp

from cowslipshelf_core.identifiers import ConfigurationVersion, UpstreamId
from cowslipshelf_core.internal.routing.settings import LongPromptPoolConfig

RANK_BYTES = 8
SHRINK_MARGIN_UPSTREAMS = 0.5
"""Hysteresis: the pool shrinks once demand is this far below the next smaller size."""


def rank(version: ConfigurationVersion, upstream_id: UpstreamId) -> bytes:
    """Return the sort key of an upstream in the order that all entries share."""
    text = f"{version}:{upstream_id}".encode()
    return blake2b(text, digest_size=RANK_BYTES).digest()


def ranked(
    version: ConfigurationVersion, upstream_ids: list[UpstreamId]
) -> list[UpstreamId]:
    """Order upstreams so that every entry puts the same ones in its pool first."""
    return sorted(upstream_ids, key=lambda upstream_id: rank(version, upstream_id))


@dataclass(slots=True)
class LongPromptDemand:
    """Measure the share of work in long prompts and size the pool by it.

    Each entry measures its own callers; behind one load balancer these are alike. Pools
    of different sizes are prefixes of the same order, so entries that disagree on the
    size differ only in the last upstreams.
    """

    config: LongPromptPoolConfig
    long_seconds: float = 0.0
    all_seconds: float = 0.0
    updated_at: float = 0.0
    size: int = 0

    def add(self, seconds: float, is_long: bool, now: float) -> None:
        """Add the predicted work of a new request, in engine seconds."""
        decay = exp(-max(0.0, now - self.updated_at) / self.config.averaging_seconds)
        self.updated_at = now
        self.long_seconds *= decay
        self.all_seconds *= decay
        self.all_seconds += seconds
        if is_long:
            self.long_seconds += seconds

    def resize(self, upstreams: int) -> int:
        """Update and return the size of the pool for a number of upstreams."""
        if upstreams < self.config.min_upstreams or self.long_seconds <= 0.0:
            self.size = 0
            return 0
        share = self.long_seconds / self.all_seconds
        wanted = upstreams * share * self.config.headroom
        max_size = max(1, int(upstreams * self.config.max_share))
        shrinks = wanted < self.size - 1 - SHRINK_MARGIN_UPSTREAMS
        if wanted > self.size or shrinks:
            self.size = ceil(wanted)
        self.size = min(max(self.size, 1), max_size)
        return self.size
