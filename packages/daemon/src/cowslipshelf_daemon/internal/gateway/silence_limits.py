"""Say how long an attempt may be silent before another upstream is tried."""

from cowslipshelf_core.gateway import AnswerTimes, Route, RouteKind
from cowslipshelf_core.identifiers import ServiceName
from cowslipshelf_daemon.internal.gateway.placement import Placement, SilenceLimits

FIRST_EVENT_FACTOR = 2.0
FIRST_EVENT_MARGIN_SECONDS = 1.0
"""Beyond twice the predicted time to a first event, an engine is taken for silent:
predictions are within 0.3 s for nine prompts in ten."""
MIN_BETWEEN_SECONDS = 1.7
"""Shortest silence in a stream that counts, since callers leave after two seconds. An
engine that reads for others is excused: its passes take as long, and a stream that
goes on elsewhere would be read again there."""
PAUSE_FACTOR = 4.0
"""Allowed pauses that a stream may be silent for, where that is longer."""


def silence_limits(
    route: Route,
    service: ServiceName,
    placement: Placement,
    times: AnswerTimes,
    may_retry: bool,
) -> SilenceLimits:
    """Return how long to wait; without end where nobody else may be asked."""
    if not may_retry:
        return SilenceLimits()
    if placement.first_token_seconds is not None:
        pause = route.pause_seconds or 0.0
        return SilenceLimits(
            FIRST_EVENT_FACTOR * placement.first_token_seconds
            + FIRST_EVENT_MARGIN_SECONDS,
            max(MIN_BETWEEN_SECONDS, PAUSE_FACTOR * pause),
        )
    if route.kind is RouteKind.STREAM:
        return SilenceLimits()
    return SilenceLimits(first_event_seconds=times.answer_timeout(service))
