"""Match a request to its route and customer, or deny it with the right status."""

import time
from typing import NamedTuple

from cowslipshelf_core.dialect import CallerFacts
from cowslipshelf_core.gateway import GatewayCustomer, Route, RouteTable
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.http_exchange import HttpRequest
from cowslipshelf_host.logs import part_logger

LOG = part_logger("request")

UNKNOWN_KEY = 401
UNKNOWN_ROUTE = 404
NOT_RUN = 503
NOT_READY_RETRY_SECONDS = 1.0
"""Retry-after sent by a gateway that has no configuration yet."""
BEHIND_RETRY_SECONDS = 0.5
"""Retry-after sent by a gateway that waits for a newer configuration: one of 4,450
routes reaches the last of 64 gateways after 0.39 s, on simulated links of 10 Mbit/s."""
STARTUP_WAIT_SECONDS = 1.5
"""Longest wait of a request for a configuration or an upstream. After all processes
were killed at once, these take an election and one upstream heartbeat."""
MAX_WAIT_SHARE = 0.25
"""Largest share of the caller's deadline spent waiting; the rest is for the answer."""


class Admitted(NamedTuple):
    """Hold the route and customer of a request that the configuration allows."""

    route: Route
    customer: GatewayCustomer | None


class Denied(NamedTuple):
    """Hold the status of a request that is denied, or that no configuration covers."""

    status: int
    retry_after_seconds: float | None = None
    """Retry-after in seconds, where a retry may succeed."""


async def admit(
    view: FleetView, request: HttpRequest, facts: CallerFacts
) -> Admitted | Denied:
    """Decide by the configuration in force, or by a newer one that is on its way."""
    seconds = max_wait_seconds(facts)
    known = await view.wait_until(lambda: view.table is not None, seconds)
    if not known:
        LOG.info("No configuration.", request=facts.attempt_id, waited=seconds)
        return Denied(NOT_RUN, NOT_READY_RETRY_SECONDS)
    decided = decide(view.table, request, facts)
    if isinstance(decided, Denied) and view.is_behind():
        decided = await decide_once_caught_up(view, request, facts, seconds)
    if isinstance(decided, Denied):
        LOG.info(
            "Request denied.",
            request=facts.attempt_id,
            status=decided.status,
            host=request.host,
            version=view.document.version,
        )
    return decided


def max_wait_seconds(facts: CallerFacts) -> float:
    """Return how long a request may wait for configuration or upstreams, in seconds."""
    if facts.deadline_seconds is None:
        return STARTUP_WAIT_SECONDS
    return min(STARTUP_WAIT_SECONDS, facts.deadline_seconds * MAX_WAIT_SHARE)


async def decide_once_caught_up(
    view: FleetView, request: HttpRequest, facts: CallerFacts, seconds: float
) -> Admitted | Denied:
    """Wait for the newer configuration that a peer holds before denying.

    It may add the route or key. Without the wait, callers got 404, which they do not
    retry, for routes whose change had been acknowledged seconds before. If it does not
    arrive in time, the answer says that nothing ran and when to retry.
    """
    began = time.monotonic()
    before = view.document.version
    caught_up = await view.wait_until(lambda: not view.is_behind(), seconds)
    LOG.info(
        "Configuration awaited.",
        request=facts.attempt_id,
        before=before,
        version=view.document.version,
        caught_up=caught_up,
        seconds=round(time.monotonic() - began, 3),
    )
    decided = decide(view.table, request, facts)
    if isinstance(decided, Denied) and not caught_up:
        return Denied(NOT_RUN, BEHIND_RETRY_SECONDS)
    return decided


def decide(
    table: RouteTable, request: HttpRequest, facts: CallerFacts
) -> Admitted | Denied:
    """Decide by a given route table."""
    route = table.route_of(request.host, request.path)
    if route is None:
        return Denied(UNKNOWN_ROUTE)
    customer = table.customers.get(facts.key) if facts.key is not None else None
    required = table.configuration.requires_key and not route.public
    if customer is None and required:
        return Denied(UNKNOWN_KEY)
    return Admitted(route, customer)
