"""Distinguish the starts of one upstream.

An upstream may restart under the same name, and then has lost all of its state. So each
start has an id of its own, and the state that is kept here for one start (its attempts,
memory, health and connections) goes by that id and is never applied to the next.
"""

from typing import NamedTuple, Self

from cowslipshelf_core.identifiers import UpstreamId, UpstreamName

SEPARATOR = "#"
"""Separates the name from the start time; a name in a path cannot contain it."""
START_UNKNOWN = 0
"""Stands for a start time that the upstream did not send."""


class UpstreamStart(NamedTuple):
    """Identify one start of an upstream; starts of one upstream compare by time."""

    name: UpstreamName
    began_ms: int = START_UNKNOWN
    """Milliseconds since 1970, by the clock of the upstream's instance."""

    @classmethod
    def of(cls, upstream_id: UpstreamId) -> Self:
        """Return the start that an id identifies."""
        name, separator, began = upstream_id.rpartition(SEPARATOR)
        if not separator:
            return cls(UpstreamName(upstream_id))
        return cls(UpstreamName(name), int(began))

    @property
    def upstream_id(self) -> UpstreamId:
        """Return the id of this start."""
        if self.began_ms == START_UNKNOWN:
            return UpstreamId(self.name)
        return UpstreamId(f"{self.name}{SEPARATOR}{self.began_ms}")

    @property
    def is_known(self) -> bool:
        """Return whether the upstream sent its start time."""
        return self.began_ms != START_UNKNOWN
