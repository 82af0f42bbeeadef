"""Define the configuration of routes, services and customers that operators set."""

from enum import StrEnum
from typing import NamedTuple

from cowslipshelf_core.identifiers import (
    ConfigurationVersion,
    CustomerName,
    ServiceName,
)


class RouteKind(StrEnum):
    """Classify a route by whether its requests may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """Assign a service its share of a route's requests."""

    service: ServiceName
    weight: float


class Route(NamedTuple):
    """Map the requests of a host and path prefix to services."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    kind: RouteKind
    timeout_seconds: float
    objective_seconds: float
    """Latency objective: time to the answer, or to a stream's first event.

    An answer within it counts in full; a later one has lost most of its value.
    """
    services: tuple[WeightedService, ...]
    priority: int = 0
    """Zero is the most urgent."""
    max_attempts: int = 1
    """Most upstreams that one request is sent to."""
    public: bool = False
    resumable: bool = False
    pause_seconds: float | None = None
    """Latency objective for the pause between two events of a stream."""

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        streams = self.kind is RouteKind.STREAM and self.resumable
        return streams or self.kind is RouteKind.IDEMPOTENT


class EngineModel(NamedTuple):
    """Model the time that prefill and decode take on the engines of a service."""

    slots: int
    """Requests in one batch."""
    memory_tokens: int
    steps_per_pass: int
    """Token steps of a pass in which at least one request decodes."""
    step_seconds: float
    step_seconds_per_decode: float
    step_seconds_per_context_token: float
    """Added to each step for each token of context of a decoding request."""
    prefill_seconds_per_token: float
    prefill_seconds_per_pair: float
    """Prefill time added for each pair of a prompt token and an earlier one."""
    chunk_tokens: int
    """Most prompt tokens prefilled in one step."""


class ServiceConfiguration(NamedTuple):
    """Describe the upstreams of a service."""

    name: ServiceName
    max_connections: int
    """Connections that one upstream accepts from all gateways together."""
    engine: EngineModel | None = None
    cold_seconds: float = 0.0
    """Time for which an upstream is cold after its start; zero: never cold."""
    cold_requests_per_second: float = 0.0
    """Requests that a cold upstream sustains; zero: no limit."""


class CallerLimits(NamedTuple):
    """Limit what a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class GatewayCustomer(NamedTuple):
    """Identify a customer by the keys that its callers send."""

    name: CustomerName
    keys: tuple[str, ...]
    priority: int | None = None
    """Overrides the priority of the route."""


class RouteConfiguration(NamedTuple):
    """Hold a whole configuration; gateways apply the highest version."""

    version: ConfigurationVersion
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceConfiguration, ...] = ()
    limits: CallerLimits = CallerLimits()
    customers: tuple[GatewayCustomer, ...] = ()
    lists_customers: bool = False
    """Whether operators list customers, even if there is none left."""

    @property
    def requires_key(self) -> bool:
        """Return whether callers need a key on routes that aren't public.

        Customers whose last key was taken away are still customers.
        """
        return self.lists_customers or bool(self.customers)
