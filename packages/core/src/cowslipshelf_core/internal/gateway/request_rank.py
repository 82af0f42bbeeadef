"""Weigh requests by the ranks that operators give to routes and customers.

Rank takes effect only for services whose streams differ in it. Operators give all
streams of a service the same priority where they mean none; other routes of a service
often have another one, such as the default, and do not compete for engines.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple, Self

from cowslipshelf_core.identifiers import CustomerName, ServiceName
from cowslipshelf_core.internal.gateway.configuration import (
    GatewayCustomer,
    Route,
    RouteConfiguration,
    RouteKind,
)
from cowslipshelf_core.internal.gateway.prompt_cost import (
    PromptSize,
    admission_priority,
)

STEP_WEIGHT = 0.5
"""Factor on an answer's value for each step of rank below the highest."""
MAX_STEPS = 6
"""Steps beyond these make no difference: a value never falls below 1/64 of its own, so
that a lower rank is not starved, and priorities may be any number."""
LOWEST_ADMISSION_PRIORITY = 9
STEP_RETRY_SHARE = 0.5
"""Growth of the retry-after for each step, as a share of that of the highest rank."""
RETRY_SPREAD = 0.2
"""Largest share by which a retry-after is extended at random."""


class RequestRank(NamedTuple):
    """Hold the rank of a request at one service."""

    steps: int = 0
    """Steps below the highest rank, of the route and the customer together."""
    in_force: bool = False
    """Whether the streams of the service differ in rank."""

    @property
    def weight(self) -> float:
        """Return the factor on the value of an answer."""
        return STEP_WEIGHT**self.steps

    def admission_priority(self, size: PromptSize) -> int:
        """Return a prompt's priority at an engine, from 0 to 9; low goes first."""
        return min(LOWEST_ADMISSION_PRIORITY, admission_priority(size) + self.steps)

    def retry_after_seconds(self, seconds: float, random: Random) -> float:
        """Return when to retry after a refusal for lack of capacity.

        Higher ranks return first, and callers of one rank not all at the same time.
        """
        if not self.in_force:
            return seconds
        spread = 1.0 + RETRY_SPREAD * random.random()
        return seconds * (1.0 + STEP_RETRY_SHARE * self.steps) * spread


UNRANKED = RequestRank()


@dataclass(frozen=True, slots=True)
class RequestRanks:
    """Hold the highest ranks of a configuration."""

    highest: dict[ServiceName, int]
    """Lowest priority number of the streams, by service; only where they differ."""
    customer_steps: dict[CustomerName, int]
    """Steps of each customer below the highest of the customers' ranks."""

    @classmethod
    def from_configuration(cls, configuration: RouteConfiguration) -> Self:
        """Compute the ranks of a configuration."""
        return cls(
            highest_ranks(configuration.routes),
            steps_of_customers(configuration.customers),
        )

    def rank_of(
        self, route: Route, service: ServiceName, customer: CustomerName | None
    ) -> RequestRank:
        """Return the rank of a request."""
        highest = self.highest.get(service)
        if highest is None or route.kind is not RouteKind.STREAM:
            return UNRANKED
        # The route may be one of an earlier configuration, above the highest of this.
        steps = max(0, route.priority - highest)
        steps += 0 if customer is None else self.customer_steps.get(customer, 0)
        return RequestRank(min(MAX_STEPS, steps), in_force=True)


def highest_ranks(routes: Iterable[Route]) -> dict[ServiceName, int]:
    """Return the highest rank of each service whose streams differ in rank."""
    priorities: dict[ServiceName, set[int]] = {}
    for route in routes:
        if route.kind is not RouteKind.STREAM:
            continue
        for weighted in route.services:
            priorities.setdefault(weighted.service, set()).add(route.priority)
    return {
        service: min(found) for service, found in priorities.items() if len(found) > 1
    }


def steps_of_customers(
    customers: Iterable[GatewayCustomer],
) -> dict[CustomerName, int]:
    """Return how far each customer with a rank is below the highest of them."""
    ranked = {
        customer.name: customer.priority
        for customer in customers
        if customer.priority is not None
    }
    highest = min(ranked.values(), default=0)
    return {name: priority - highest for name, priority in ranked.items()}
