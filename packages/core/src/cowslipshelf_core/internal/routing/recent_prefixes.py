"""Remember where prompts with the same prefix went last."""

from collections import OrderedDict
from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import UpstreamId


@dataclass(slots=True)
class RecentPrefixes:
    """Map prefix hashes to the upstream that was given them last; bounded.

    It only adds an upstream to those looked at. Whether the prefix is cached there is
    for its load report to say, so a wrong entry costs one more prediction.
    """

    max_size: int
    upstreams: OrderedDict[int, UpstreamId] = field(default_factory=OrderedDict)

    def record(self, prefix_hash: int, upstream_id: UpstreamId) -> None:
        """Remember a placement, and forget the oldest where there are too many."""
        if prefix_hash == 0:
            return
        self.upstreams[prefix_hash] = upstream_id
        self.upstreams.move_to_end(prefix_hash)
        if len(self.upstreams) > self.max_size:
            self.upstreams.popitem(last=False)

    def last_upstream(self, prefix_hash: int) -> UpstreamId | None:
        """Return where a prefix went last, if that is remembered."""
        return self.upstreams.get(prefix_hash)
