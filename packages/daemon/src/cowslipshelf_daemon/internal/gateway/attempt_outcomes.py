"""Define what attempts of one request share, and what may come of each."""

from dataclasses import dataclass
from typing import NamedTuple

from cowslipshelf_core.dialect import CallerFacts
from cowslipshelf_core.gateway import Route, UpstreamStart
from cowslipshelf_core.identifiers import CustomerName, UpstreamId
from cowslipshelf_daemon.internal.gateway.http_server import HttpRequest, Responder
from cowslipshelf_daemon.internal.gateway.upstream_connection import (
    UpstreamConnection,
    UpstreamHead,
)
from cowslipshelf_daemon.internal.suspect_requests import RequestIdentity


@dataclass(slots=True)
class StreamPace:
    """Measure how a stream's events came, in seconds."""

    began: float
    first: float | None = None
    longest_pause: float = 0.0
    last_at: float = 0.0

    def record_event(self, now: float) -> None:
        """Note that events have come."""
        if self.first is None:
            self.first = now - self.began
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_at)
        self.last_at = now


@dataclass(frozen=True, slots=True)
class Answered:
    """Say that the caller has got an upstream's answer, whole."""

    status: int
    pace: StreamPace | None = None


@dataclass(frozen=True, slots=True)
class NotReached:
    """Say that no byte of the request reached the upstream."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """Say that the upstream promised not to have run the request."""

    status: int


@dataclass(frozen=True, slots=True)
class FailedThere:
    """Say that the upstream ran the request and answered with a failure."""

    head: UpstreamHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Broken:
    """Say that the upstream was lost when it may have run the request."""

    step: str
    detail: str
    upstream_exited: bool = False
    """Whether the upstream closed the connection, as one that ends does."""


AttemptOutcome = Answered | NotReached | NotRun | FailedThere | Broken


@dataclass(slots=True)
class DeliveryProgress:
    """Hold how far the caller's answer has come, over all attempts."""

    last_event_id: str | None


class AttemptTask(NamedTuple):
    """Be what all attempts of one request share."""

    request: HttpRequest
    facts: CallerFacts
    route: Route
    customer: CustomerName | None
    responder: Responder
    delivery: DeliveryProgress
    deadline: float
    identity: RequestIdentity


class OpenAttempt(NamedTuple):
    """Be an attempt whose answer is awaited."""

    request: str
    upstream_ids: frozenset[UpstreamId]
    """The upstream that answers, and those that read for it."""
    connection: UpstreamConnection
    opened_ms: int
    """Milliseconds since 1970."""

    def needs_replaced_start(self, former: UpstreamStart, later: UpstreamStart) -> bool:
        """Tell whether it needs a start that has given way to a later one."""
        return (
            former.upstream_id in self.upstream_ids and self.opened_ms < later.began_ms
        )
