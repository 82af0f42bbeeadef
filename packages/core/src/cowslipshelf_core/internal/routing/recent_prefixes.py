"""Remember the last upstream of each prompt prefix."""

from collections import OrderedDict
from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import UpstreamId


@dataclass(slots=True)
class RecentPrefixes:
    """Map prefix hashes to the last upstream that received them; limited in size.

    It only adds an upstream to those considered. Whether the prefix is cached there
    is known from the load report, so a stale entry costs just one more prediction.
    """

    max_size: int
    upstreams: OrderedDict[int, UpstreamId] = field(default_factory=OrderedDict)

    def record(self, prefix_hash: int, upstream_id: UpstreamId) -> None:
        """Record a placement, and evict the oldest one beyond the limit."""
        if prefix_hash == 0:
            return
        self.upstreams[prefix_hash] = upstream_id
        self.upstreams.move_to_end(prefix_hash)
        if len(self.upstreams) > self.max_size:
            self.upstreams.popitem(last=False)

    def last_upstream(self, prefix_hash: int) -> UpstreamId | None:
        """Return the last upstream of a prefix, or None if it is not known."""
        return self.upstreams.get(prefix_hash)
