"""Define the shared state of a request's attempts, and their outcomes."""

from dataclasses import dataclass
from typing import NamedTuple

from cowslipshelf_core.dialect import CallerFacts
from cowslipshelf_core.gateway import Route, UpstreamStart
from cowslipshelf_core.identifiers import AttemptId, CustomerName, UpstreamId
from cowslipshelf_daemon.internal.gateway.http_exchange import HttpRequest, Responder
from cowslipshelf_daemon.internal.gateway.upstream_connection import (
    BodyFraming,
    UpstreamConnection,
    UpstreamHead,
)
from cowslipshelf_daemon.internal.suspect_requests import RequestIdentity


@dataclass(slots=True)
class StreamPace:
    """Measure the timing of a stream's events, in seconds."""

    began: float
    first: float | None = None
    longest_pause: float = 0.0
    last_at: float = 0.0

    def record_event(self, now: float) -> None:
        """Record that events have arrived."""
        if self.first is None:
            self.first = now - self.began
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_at)
        self.last_at = now


@dataclass(frozen=True, slots=True)
class Answered:
    """Report that an upstream's complete answer was sent to the caller."""

    status: int
    pace: StreamPace | None = None
    framing: BodyFraming | None = None


@dataclass(frozen=True, slots=True)
class NotReached:
    """Report that no byte of the request reached the upstream."""

    detail: str
    withheld: bool = False
    """Whether this gateway did not send it, for an evacuation or a limit."""


@dataclass(frozen=True, slots=True)
class NotReserved:
    """Report that engines reserved no memory, so that no request was sent."""

    silent: frozenset[UpstreamId]
    """Engines that gave no answer."""
    refused: frozenset[UpstreamId]
    """Engines without free memory."""

    @property
    def detail(self) -> str:
        """Name the engines."""
        return f"silent: {sorted(self.silent)}, refused: {sorted(self.refused)}"


@dataclass(frozen=True, slots=True)
class NotRun:
    """Report that the upstream guarantees that it did not run the request."""

    status: int
    at_fault: UpstreamId | None = None
    """Upstream that is the reason, if the answer names one that is known."""

    @property
    def detail(self) -> str:
        """Name the upstream at fault."""
        return "" if self.at_fault is None else f"at fault: {self.at_fault}"


@dataclass(frozen=True, slots=True)
class FailedThere:
    """Report that the upstream ran the request and answered with a server error."""

    head: UpstreamHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Broken:
    """Report that the upstream was lost after it may have run the request."""

    step: str
    detail: str
    upstream_exited: bool = False
    """Whether the upstream closed the connection, as a process that exits does."""
    replaced: UpstreamId | None = None
    """Start of an upstream whose replacement ended the attempt, if that was the reason.
    It may have prefilled for the upstream that answers."""


AttemptOutcome = Answered | NotReached | NotReserved | NotRun | FailedThere | Broken


@dataclass(slots=True)
class DeliveryProgress:
    """Hold how much of the answer the caller has received, over all attempts."""

    last_event_id: str | None


class AttemptTask(NamedTuple):
    """Hold what all attempts of one request share."""

    request: HttpRequest
    facts: CallerFacts
    route: Route
    customer: CustomerName | None
    responder: Responder
    delivery: DeliveryProgress
    deadline: float
    identity: RequestIdentity


@dataclass(eq=False, slots=True)
class OpenAttempt:
    """Hold an attempt whose answer is pending."""

    request: str
    upstream_ids: frozenset[UpstreamId]
    """The upstream that answers, and those that prefill for it."""
    lasting_ids: frozenset[UpstreamId]
    """Those still needed after the first event: the upstream that answers, and helpers
    that hold memory for it."""
    connection: UpstreamConnection
    opened_ms: int
    """Unix time in milliseconds."""
    work_id: AttemptId | None = None
    replaced: UpstreamId | None = None
    """Replaced start because of which the attempt was dropped, if it was."""

    def needs_replaced_start(
        self, former: UpstreamStart, later: UpstreamStart, has_first_event: bool
    ) -> bool:
        """Return whether it uses a start of an upstream that a later one replaced."""
        needed = self.lasting_ids if has_first_event else self.upstream_ids
        return former.upstream_id in needed and self.opened_ms < later.began_ms
