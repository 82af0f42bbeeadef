"""Record what an attempt showed about the upstreams that it used."""

import time
from http import HTTPStatus

from cowslipshelf_core.gateway import UpstreamHeartbeat, UpstreamOutcome
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import (
    Answered,
    AttemptOutcome,
    AttemptTask,
    Broken,
    FailedThere,
    NotReached,
    NotReserved,
    NotRun,
    StreamPace,
)
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.placement import Placement
from cowslipshelf_host.logs import part_logger

LOG = part_logger("attempt")

FIRST_TOKEN_SLACK_SECONDS = 0.4
"""Delay of a first token that is not counted as slowness: a prefill pass for another
prompt placed in the same milliseconds. When it counted, prompts avoided engines that
were as fast as the others."""


class AttemptObservations:
    """Record the outcomes of attempts as observations of upstreams."""

    def __init__(self, view: FleetView) -> None:
        self.view = view

    def record_silence(
        self, task: AttemptTask, placement: Placement, began: float
    ) -> None:
        """Record an upstream that stayed silent until the caller's deadline.

        For requests that may not be retried, nothing else detects an upstream that
        hangs while its heartbeats go on. Routes that no upstream ever answered are
        exempt: their work takes longer than callers wait, and healthy upstreams were
        avoided for it, one of three at some gateway in most seconds of a simulated day.
        """
        upstream = placement.upstream
        now = time.monotonic()
        usual = self.view.answer_times.answer_timeout(upstream.service)
        if placement.first_token_seconds is not None or usual is None:
            return
        if task.route.name not in self.view.answer_times.answered_routes:
            return
        if now - began > usual:
            LOG.info(
                "Upstream silent.",
                request=task.facts.attempt_id,
                upstream=upstream.upstream_id,
                seconds=round(now - began, 3),
                usual=round(usual, 3),
            )
            self.view.observer.observe(upstream.upstream_id, UpstreamOutcome.LOST)

    def record_outcome(
        self, placement: Placement, outcome: AttemptOutcome, seconds: float
    ) -> None:
        """Update the health of the upstream by the outcome of an attempt."""
        upstream_id = placement.upstream.upstream_id
        match outcome:
            case NotReached(withheld=True):
                pass
            case Broken(replaced=str(replaced)):
                # The upstream that answers is healthy if a helper was replaced. A
                # replaced start is usually gone, and then there is nothing to avoid.
                if replaced in self.view.registry.known:
                    self.view.observer.observe(replaced, UpstreamOutcome.LOST)
            case Broken(upstream_exited=False) if self.is_engine(placement.upstream):
                # It was given up by this gateway's forecast. Engines that are slow or
                # read for others are silent too, several of them at a time.
                self.view.observer.observe(
                    upstream_id, UpstreamOutcome.LOST, local_only=True
                )
            case NotReached() | Broken():
                self.view.observer.observe(upstream_id, UpstreamOutcome.LOST)
            case NotRun(HTTPStatus.MISDIRECTED_REQUEST, at_fault):
                self.view.observer.observe(
                    at_fault or upstream_id, UpstreamOutcome.LOST
                )
            case NotReserved(silent=silent):
                for engine in silent:
                    self.view.observer.observe(engine, UpstreamOutcome.LOST)
            case NotRun(_, at_fault):
                # Told of a full queue, all gateways would leave the engine together,
                # and fill the queues of others.
                by_other = at_fault not in (None, upstream_id)
                self.view.observer.observe(
                    at_fault or upstream_id,
                    UpstreamOutcome.FAILED,
                    local_only=self.is_engine(placement.upstream) and not by_other,
                )
            case FailedThere():
                self.view.observer.observe(upstream_id, UpstreamOutcome.FAILED)
            case Answered(pace=pace):
                slowness = self.slowness_of(placement, pace, seconds)
                self.view.observer.observe(
                    upstream_id, UpstreamOutcome.ANSWERED, slowness
                )

    def is_engine(self, upstream: UpstreamHeartbeat) -> bool:
        """Return whether an upstream's service is one of engines.

        Requests without a known prompt size are placed there without engine work.
        """
        table = self.view.table
        service = None if table is None else table.services.get(upstream.service)
        return service is not None and service.engine is not None

    def slowness_of(
        self, placement: Placement, pace: StreamPace | None, seconds: float
    ) -> float | None:
        """Return how many times longer than predicted an answer took, if known."""
        shares_health = self.view.settings.shares_health
        if pace is None:
            service, times = placement.upstream.service, self.view.answer_times
            slowness = times.slowness(service, seconds)
            if shares_health and slowness is not None:
                # Where durations vary, every other answer would be reported as slow.
                usual = times.is_usual(service, seconds)
                slowness = min(1.0, slowness) if usual else slowness
            times.add(service, seconds)
            return slowness
        if shares_health:
            # Recorded while the stream ran.
            return None
        return first_event_slowness(placement, pace)


def first_event_slowness(placement: Placement, pace: StreamPace) -> float | None:
    """Return how many times longer than predicted the first event took, if known."""
    predicted = placement.first_token_seconds
    if predicted is None or pace.first is None:
        return None
    return max(0.0, pace.first - FIRST_TOKEN_SLACK_SECONDS) / predicted
