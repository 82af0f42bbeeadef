"""Define what operators configure for requests that are served by route."""

from enum import StrEnum
from typing import NamedTuple

from cowslipshelf_core.identifiers import (
    ConfigurationVersion,
    CustomerName,
    ServiceName,
)


class RouteKind(StrEnum):
    """Say what may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """Give a service its share of a route's requests."""

    service: ServiceName
    weight: float


class Route(NamedTuple):
    """Say which requests go to which services, and on what terms."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    kind: RouteKind
    timeout_seconds: float
    objective_seconds: float
    """Time to the answer, or to a stream's first event, that earns full credit."""
    services: tuple[WeightedService, ...]
    priority: int = 0
    """Zero is the most urgent."""
    max_attempts: int = 1
    """Upstreams that one request may be sent to."""
    public: bool = False
    resumable: bool = False
    pause_seconds: float | None = None
    """Longest pause between two events of a stream that is still on time."""

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        streams = self.kind is RouteKind.STREAM and self.resumable
        return streams or self.kind is RouteKind.IDEMPOTENT


class EngineModel(NamedTuple):
    """Say what work costs on the engines of a service."""

    slots: int
    """Requests in one batch."""
    memory_tokens: int
    steps_per_pass: int
    """Token steps of a pass in which at least one request writes."""
    step_seconds: float
    step_seconds_per_decode: float
    step_seconds_per_context_token: float
    """Added to each step for each token of context of a request that writes."""
    prefill_seconds_per_token: float
    prefill_seconds_per_pair: float
    """Added for each pair of a prompt token and an earlier one."""
    chunk_tokens: int
    """Most prompt tokens read in one step."""


class ServiceConfiguration(NamedTuple):
    """Describe the upstreams of a service."""

    name: ServiceName
    max_connections: int
    """Connections that one upstream accepts from all callers together."""
    engine: EngineModel | None = None


class CallerLimits(NamedTuple):
    """Bound what a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class GatewayCustomer(NamedTuple):
    """Name a customer with the keys that its callers send."""

    name: CustomerName
    keys: tuple[str, ...]
    priority: int | None = None
    """Goes before the priority of the route."""


class RouteConfiguration(NamedTuple):
    """Be one whole configuration; the highest version is in force."""

    version: ConfigurationVersion
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceConfiguration, ...] = ()
    limits: CallerLimits = CallerLimits()
    customers: tuple[GatewayCustomer, ...] = ()
