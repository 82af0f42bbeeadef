"""Tell the starts of one upstream apart.

An upstream may start again under the name that it had, and then holds and knows nothing
of before. So each start has an id of its own here, and what is believed of one start is
never believed of the next: its work, memory, health and connections go by that id.
"""

from typing import NamedTuple, Self

from cowslipshelf_core.identifiers import UpstreamId, UpstreamName

MARK = "#"
"""Parts the name from the start; no name that arrives in a path can hold it."""
START_UNKNOWN = 0
"""Stands for the time of a start of which the upstream said nothing."""


class UpstreamStart(NamedTuple):
    """Be one start of an upstream; starts of one upstream compare by their time."""

    name: UpstreamName
    began_ms: int = START_UNKNOWN
    """Milliseconds since 1970, by the clock of the upstream's instance."""

    @classmethod
    def of(cls, upstream_id: UpstreamId) -> Self:
        """Return the start that an id stands for."""
        name, mark, began = upstream_id.rpartition(MARK)
        if not mark:
            return cls(UpstreamName(upstream_id))
        return cls(UpstreamName(name), int(began))

    @property
    def upstream_id(self) -> UpstreamId:
        """Return the id of this start."""
        if self.began_ms == START_UNKNOWN:
            return UpstreamId(self.name)
        return UpstreamId(f"{self.name}{MARK}{self.began_ms}")

    @property
    def is_known(self) -> bool:
        """Tell whether the upstream said when it began."""
        return self.began_ms != START_UNKNOWN
