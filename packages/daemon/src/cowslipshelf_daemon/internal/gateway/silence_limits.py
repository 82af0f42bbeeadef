"""Define how long an attempt may be silent before another upstream is tried."""

from cowslipshelf_core.gateway import AnswerTimes, Route, RouteKind
from cowslipshelf_core.identifiers import ServiceName
from cowslipshelf_daemon.internal.gateway.placement import Placement, SilenceLimits

FIRST_EVENT_FACTOR = 2.0
FIRST_EVENT_MARGIN_SECONDS = 1.0
"""Added to twice the predicted time to a first event, after which an engine counts as
silent. Nine in ten predictions are within 0.3 s."""
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
        pause = route.pause_seconds or 0.0
        return SilenceLimits(
            FIRST_EVENT_FACTOR * placement.first_token_seconds
            + FIRST_EVENT_MARGIN_SECONDS,
            max(MIN_BETWEEN_SECONDS, PAUSE_FACTOR * pause),
        )
    if route.kind is RouteKind.STREAM:
        return SilenceLimits()
    return SilenceLimits(first_event_seconds=times.answer_timeout(service))
