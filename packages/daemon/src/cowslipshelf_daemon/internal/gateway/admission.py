"""Find a request's route and customer, or the refusal that is true."""

import time
from typing import NamedTuple

from cowslipshelf_core.dialect import CallerFacts
from cowslipshelf_core.gateway import GatewayCustomer, Route, RouteTable
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.http_server import HttpRequest
from cowslipshelf_host.logs import part_logger

LOG = part_logger("request")

UNKNOWN_KEY = 401
UNKNOWN_ROUTE = 404
NOT_RUN = 503
NOT_READY_RETRY_SECONDS = 1.0
"""Pause told to callers of a gateway that has no configuration yet."""
BEHIND_RETRY_SECONDS = 0.5
"""Pause told to callers of a gateway that waits for a later configuration: one of 4,450
routes is at the last of 64 gateways after 0.39 s, on simulated links of 10 Mbit/s."""
STARTUP_WAIT_SECONDS = 1.5
"""Time for which a request waits for what its gateway has yet to learn: after all
processes were killed at once, an election and a heartbeat of the upstreams."""
MAX_WAIT_SHARE = 0.25
"""Share of the caller's time that is spent so; the rest must do for the answer."""


class Admitted(NamedTuple):
    """Be a request that the configuration in force allows."""

    route: Route
    customer: GatewayCustomer | None


class Denied(NamedTuple):
    """Be a refusal that follows from the configuration, or from having none."""

    status: int
    retry_after_seconds: float | None = None
    """When to come back, where that may help."""


async def admit(
    view: FleetView, request: HttpRequest, facts: CallerFacts
) -> Admitted | Denied:
    """Decide by the configuration in force, or by the one that is on its way."""
    patience = max_wait_seconds(facts)
    known = await view.wait_until(lambda: view.table is not None, patience)
    if not known:
        LOG.info("No configuration.", request=facts.attempt_id, waited=patience)
        return Denied(NOT_RUN, NOT_READY_RETRY_SECONDS)
    decided = decide(view.table, request, facts)
    if isinstance(decided, Denied) and view.is_behind():
        decided = await decide_once_caught_up(view, request, facts, patience)
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
    """Return how long a request may wait for its gateway to learn, in seconds."""
    if facts.deadline_seconds is None:
        return STARTUP_WAIT_SECONDS
    return min(STARTUP_WAIT_SECONDS, facts.deadline_seconds * MAX_WAIT_SHARE)


async def decide_once_caught_up(
    view: FleetView, request: HttpRequest, facts: CallerFacts, patience: float
) -> Admitted | Denied:
    """Wait for the later configuration that is known of before saying no.

    A route or key may have been added by it. Answered at once by the older one,
    callers heard 404, which nobody repeats, of routes whose change had been
    acknowledged for seconds. Where it doesn't come in time, they are told that
    nothing ran and when to come back.
    """
    began = time.monotonic()
    before = view.document.version
    caught_up = await view.wait_until(lambda: not view.is_behind(), patience)
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
    """Decide by one configuration."""
    route = table.route_of(request.host, request.path)
    if route is None:
        return Denied(UNKNOWN_ROUTE)
    customer = table.customers.get(facts.key) if facts.key is not None else None
    if customer is None and not route.public and table.customers:
        return Denied(UNKNOWN_KEY)
    return Admitted(route, customer)
