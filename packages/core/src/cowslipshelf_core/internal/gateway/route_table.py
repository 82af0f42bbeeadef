"""Look up the route of a request and the customer of its key."""

from dataclasses import dataclass
from random import Random
from typing import Self

from cowslipshelf_core.identifiers import ServiceName
from cowslipshelf_core.internal.gateway.configuration import (
    GatewayCustomer,
    Route,
    RouteConfiguration,
    ServiceConfiguration,
)
from cowslipshelf_core.internal.gateway.request_rank import RequestRanks


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Index a configuration by host and prefix, key, and service name."""

    configuration: RouteConfiguration
    routes: dict[tuple[str, str], Route]
    customers: dict[str, GatewayCustomer]
    """Customers by key; one without keys isn't found here."""
    services: dict[ServiceName, ServiceConfiguration]
    ranks: RequestRanks

    @classmethod
    def from_configuration(cls, configuration: RouteConfiguration) -> Self:
        """Index a valid configuration."""
        return cls(
            configuration,
            {
                (route.host.lower(), route.prefix): route
                for route in configuration.routes
            },
            {
                key: customer
                for customer in configuration.customers
                for key in customer.keys
            },
            {service.name: service for service in configuration.services},
            RequestRanks.from_configuration(configuration),
        )

    def route_of(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        host = host.lower()
        end = path.rfind("/")
        while end >= 0:
            route = self.routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_service(route: Route, random: Random) -> ServiceName:
    """Choose one of a route's services at random, by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [weighted.weight for weighted in route.services]
    return random.choices(route.services, weights)[0].service
