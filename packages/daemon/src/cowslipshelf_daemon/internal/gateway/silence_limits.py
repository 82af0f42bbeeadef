"""Define how long an attempt may be silent before another upstream is tried."""

from cowslipshelf_core.gateway import AnswerTimes, FirstEventWait, Route, RouteKind
from cowslipshelf_core.identifiers import ServiceName
from cowslipshelf_daemon.internal.gateway.placement import Placement, SilenceLimits

MIN_BETWEEN_SECONDS = 1.7
"""Shortest limit between events of a stream, since callers disconnect after two
seconds. An engine that prefills other prompts gets longer: its passes take as long, and
another engine would have to prefill the stream's prompt again."""
PAUSE_FACTOR = 4.0
"""Multiple of the route's allowed pause that a stream may be silent, if longer."""


def silence_limits(
    route: Route,
    service: ServiceName,
    placement: Placement,
    times: AnswerTimes,
    may_retry: bool,
) -> SilenceLimits:
    """Return the limits; there are none if no other upstream may be tried."""
    if not may_retry:
        return SilenceLimits()
    if placement.first_token_seconds is not None:
        return engine_limits(route, placement.first_token_seconds)
    if route.kind is RouteKind.STREAM:
        return SilenceLimits()
    return SilenceLimits(first_event_seconds=times.answer_timeout(service))


def engine_limits(route: Route, predicted_seconds: float) -> SilenceLimits:
    """Return the limits for an engine whose first event was predicted."""
    pause = route.pause_seconds or 0.0
    wait = FirstEventWait(route.objective_seconds, pause, predicted_seconds)
    return SilenceLimits(
        wait.first_check_seconds, max(MIN_BETWEEN_SECONDS, PAUSE_FACTOR * pause), wait
    )
