"""Create routes, engines and upstreams for tests of gateways."""

from cowslipshelf_core.gateway import (
    Route,
    RouteConfiguration,
    RouteKind,
    ServiceConfiguration,
    UpstreamHeartbeat,
    UpstreamPhase,
    WeightedService,
)
from cowslipshelf_daemon.gateway import GatewaySettings
from cowslipshelf_emulator.loads import ENGINE

__all__ = ["ENGINE", "GATEWAY_SETTINGS", "configuration", "heartbeat", "route"]

GATEWAY_SETTINGS = GatewaySettings(
    "10.0.0.1", "g", "here", 7000, (), True, None, 1, None, None, None
)
"""Settings of a single gateway without a disk and without an address to listen on, at
the first start of its fleet."""


def route(**changes) -> Route:
    """Create a route, with changed fields."""
    usual = Route(
        name="r",
        host="host.example",
        prefix="/",
        kind=RouteKind.IDEMPOTENT,
        timeout_seconds=3.0,
        objective_seconds=0.3,
        services=(WeightedService("s", 1.0),),
    )
    return usual._replace(**changes)


def configuration(*routes: Route, **changes) -> RouteConfiguration:
    """Create a configuration with one service."""
    services = (ServiceConfiguration("s", 100),)
    return RouteConfiguration(1, routes, services)._replace(**changes)


def heartbeat(
    upstream_id: str = "u-1",
    sequence: int = 1,
    phase: UpstreamPhase = UpstreamPhase.READY,
    address: str = "10.0.0.1:80",
    service: str = "s",
) -> UpstreamHeartbeat:
    """Create an upstream's heartbeat."""
    return UpstreamHeartbeat(upstream_id, service, address, "here", 6, phase, sequence)
