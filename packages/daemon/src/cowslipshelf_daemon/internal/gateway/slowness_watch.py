"""Observe from the events of one stream how slow its engine is."""

from dataclasses import dataclass
from typing import Self

from cowslipshelf_core.gateway import EngineModel, StreamSlowness, UpstreamOutcome
from cowslipshelf_daemon.internal.gateway.attempt_observations import (
    first_event_slowness,
)
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import StreamPace
from cowslipshelf_daemon.internal.gateway.event_stream import count_events
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.placement import Placement

MAX_FIRST_EVENT_SLOWNESS = 1.3
"""Slowness that a late first event counts as at most where gateways share health: a
pass that prefills another prompt may be the cause, and would condemn the engine at all
gateways."""


@dataclass(slots=True)
class SlownessWatch:
    """Hold what is known of the pauses of one stream."""

    view: FleetView
    placement: Placement
    model: EngineModel | None = None
    """Model by which the pauses are judged; None if they are not."""
    begun: bool = False
    """Whether the first event has come."""
    slowness: StreamSlowness | None = None
    """None before the first event, and if the engine is not tracked."""

    @classmethod
    def of(cls, view: FleetView, placement: Placement) -> Self:
        """Begin to watch a stream, if gateways share the health of engines."""
        table = view.table
        if not view.settings.shares_health or table is None or placement.work is None:
            return cls(view, placement)
        service = table.services.get(placement.upstream.service)
        return cls(view, placement, None if service is None else service.engine)

    def record_events(self, pace: StreamPace, data: bytes, now: float) -> None:
        """Record events that arrived now, after `pace` has recorded them."""
        if self.model is None:
            return
        if not self.begun:
            self.begun = True
            self.observe_first_event(pace)
            self.begin(self.model, now)
        elif self.slowness is not None and self.slowness.record_events(
            count_events(data), now
        ):
            self.observe_pauses(self.model, self.slowness, now)

    def record_taken(self, now: float) -> None:
        """Record that the caller has taken the last events."""
        if self.slowness is not None:
            self.slowness.record_taken(now)

    def observe_first_event(self, pace: StreamPace) -> None:
        """Record a late first event, unless it may be due to an engine that helped.

        One in time shows nothing: the slack hides how slow an engine reads a short
        prompt.
        """
        placement = self.placement
        if placement.helpers:
            return
        slowness = first_event_slowness(placement, pace)
        if slowness is not None and slowness > 1.0:
            self.view.observer.observe(
                placement.upstream.upstream_id,
                UpstreamOutcome.ANSWERED,
                min(slowness, MAX_FIRST_EVENT_SLOWNESS),
                running=True,
            )

    def begin(self, model: EngineModel, now: float) -> None:
        """Start to judge pauses at the first event, if the engine is tracked."""
        upstream_id = self.placement.upstream.upstream_id
        seconds = self.view.engines.usual_pass_seconds(upstream_id, model, now)
        if seconds is not None:
            self.slowness = StreamSlowness(seconds, now)

    def observe_pauses(
        self, model: EngineModel, slowness: StreamSlowness, now: float
    ) -> None:
        """Record how slow the engine is, if its pauses show it."""
        upstream_id = self.placement.upstream.upstream_id
        seconds = self.view.engines.decode_pass_seconds(
            upstream_id, model, slowness.last_pause_began, now
        )
        estimate = slowness.estimate(seconds, now)
        if estimate is not None:
            self.view.observer.observe(
                upstream_id, UpstreamOutcome.ANSWERED, estimate, running=True
            )
