"""Decide which upstreams take long prompts first."""

from dataclasses import dataclass
from hashlib import blake2b
from math import ceil, exp

from cowslipshelf_core.identifiers import ConfigurationVersion, UpstreamId
from cowslipshelf_core.internal.routing.settings import LongPromptPoolConfig

RANK_BYTES = 8
SHRINK_MARGIN_UPSTREAMS = 0.5
"""Upstreams by which demand must fall below the size before the set shrinks."""


def rank(version: ConfigurationVersion, upstream_id: UpstreamId) -> bytes:
    """Return where an upstream stands in the order that all entries share."""
    text = f"{version}:{upstream_id}".encode()
    return blake2b(text, digest_size=RANK_BYTES).digest()


def ranked(
    version: ConfigurationVersion, upstream_ids: list[UpstreamId]
) -> list[UpstreamId]:
    """Order upstreams so that every entry sets apart the same ones first."""
    return sorted(upstream_ids, key=lambda upstream_id: rank(version, upstream_id))


@dataclass(slots=True)
class LongPromptDemand:
    """Measure the share of the work that long prompts bring, and size the set by it.

    Each entry measures its own callers; behind one balancer these are alike. Sets of
    different sizes are prefixes of the same order, so a difference costs its edge only.
    """

    config: LongPromptPoolConfig
    long_seconds: float = 0.0
    all_seconds: float = 0.0
    updated_at: float = 0.0
    size: int = 0

    def add(self, seconds: float, is_long: bool, now: float) -> None:
        """Count the predicted work of a request that was asked for."""
        decay = exp(-max(0.0, now - self.updated_at) / self.config.averaging_seconds)
        self.updated_at = now
        self.long_seconds *= decay
        self.all_seconds *= decay
        self.all_seconds += seconds
        if is_long:
            self.long_seconds += seconds

    def resize(self, upstreams: int) -> int:
        """Return how many upstreams to set apart now."""
        if upstreams < self.config.min_upstreams or self.long_seconds <= 0.0:
            self.size = 0
            return 0
        share = self.long_seconds / self.all_seconds
        wanted = upstreams * share * self.config.headroom
        most = max(1, int(upstreams * self.config.max_share))
        shrinks = wanted < self.size - 1 - SHRINK_MARGIN_UPSTREAMS
        if wanted > self.size or shrinks:
            self.size = ceil(wanted)
        self.size = min(max(self.size, 1), most)
        return self.size
