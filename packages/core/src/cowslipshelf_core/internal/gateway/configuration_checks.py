"""Check that a configuration is valid."""

from collections.abc import Iterator

from cowslipshelf_core.internal.gateway.configuration import (
    Route,
    RouteConfiguration,
)


def configuration_problem(configuration: RouteConfiguration) -> str | None:
    """Return the first problem of a configuration, or None if it is valid."""
    return next(configuration_problems(configuration), None)


def configuration_problems(configuration: RouteConfiguration) -> Iterator[str]:
    """Yield every problem of a configuration."""
    services = {service.name for service in configuration.services}
    places: set[tuple[str, str]] = set()
    for route in configuration.routes:
        yield from route_problems(route)
        for weighted in route.services:
            if weighted.service not in services:
                yield f"route {route.name}: unknown service {weighted.service}"
        place = (route.host.lower(), route.prefix)
        if place in places:
            yield f"route {route.name}: {route.host}{route.prefix} is taken"
        places.add(place)
    yield from key_problems(configuration)


def route_problems(route: Route) -> Iterator[str]:
    """Yield the problems of one route, without regard to others."""
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield f"route {route.name}: the prefix must begin and end with a slash"
    if route.timeout_seconds <= 0:
        yield f"route {route.name}: the timeout must be above zero"
    if any(weighted.weight < 0 for weighted in route.services):
        yield f"route {route.name}: a weight is below zero"
    if sum(weighted.weight for weighted in route.services) <= 0:
        yield f"route {route.name}: the weights add up to zero"


def key_problems(configuration: RouteConfiguration) -> Iterator[str]:
    """Yield the pairs of customers that share a key, without the key itself."""
    holders: dict[str, str] = {}
    for customer in configuration.customers:
        for key in customer.keys:
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                yield f"customers {holder} and {customer.name} share a key"
