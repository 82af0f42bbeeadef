"""Feed the pauses of one stream to the estimate of link loss."""

from dataclasses import dataclass
from typing import Self

from cowslipshelf_core.gateway import StreamPauses
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.placement import Placement


@dataclass(slots=True)
class LinkWatch:
    """Watch the pauses of one stream."""

    view: FleetView
    upstream_id: UpstreamId
    stream: StreamPauses | None
    """None where link loss does not matter."""

    @classmethod
    def of(cls, view: FleetView, placement: Placement) -> Self:
        """Watch the stream of an attempt, if distance matters and an engine decodes."""
        upstream = placement.upstream
        watched = view.settings.crossing_cost > 0.0 and placement.work is not None
        stream = StreamPauses(upstream.data_centre) if watched else None
        return cls(view, upstream.upstream_id, stream)

    def record_event(self, arrived_at: float, forwarded_at: float) -> None:
        """Record that events have arrived, and when they were forwarded."""
        if self.stream is not None:
            self.view.link_loss.record_event(
                self.stream, arrived_at, forwarded_at, self.has_prefilled
            )

    def has_prefilled(self, since: float, now: float) -> bool:
        """Return whether the engine has prefilled beside its decodes since a time."""
        return self.view.engines.prefilled_since(self.upstream_id, since, now)
