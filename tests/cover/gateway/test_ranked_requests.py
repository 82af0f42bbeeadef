"""Check how a gateway places and refuses requests of services with ranked routes."""

import pytest

from common.gateway_requests import GatewayWithFakeRunner
from common.gateway_samples import ENGINE, configuration, route
from cowslipshelf_core.dialect import CallerFacts
from cowslipshelf_core.gateway import (
    GatewayCustomer,
    PromptSize,
    RouteConfiguration,
    RouteKind,
    ServiceConfiguration,
)
from cowslipshelf_core.messages import EvacuationState, RoutesDocument
from cowslipshelf_daemon.internal.gateway import request_handler
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import NotRun

CUSTOMERS = (GatewayCustomer("first", ("a",), 0), GatewayCustomer("usual", ("b",), 1))
FULL = [NotRun(503)] * 3


def ranked(*priorities: int) -> RouteConfiguration:
    """Create a configuration whose first route is the one that is asked."""
    routes = [
        route(
            name=f"r-{number}",
            prefix=f"/{number}/" if number else "/",
            priority=priority,
            public=True,
            max_attempts=3,
            kind=RouteKind.STREAM,
            resumable=True,
        )
        for number, priority in enumerate(priorities)
    ]
    services = (ServiceConfiguration("s", 100, ENGINE),)
    return configuration(*routes, services=services, customers=CUSTOMERS)


def refused(*priorities: int) -> GatewayWithFakeRunner:
    """Ask the first route, whose upstreams are all full."""
    gateway = GatewayWithFakeRunner(*FULL)
    gateway.view.apply_configuration(RoutesDocument(2, "", b""), ranked(*priorities))
    return gateway


@pytest.mark.parametrize(
    ("priorities", "least", "most"),
    [((0, 1, 2), 0.2, 0.24), ((1, 0, 2), 0.3, 0.36), ((2, 0, 1), 0.4, 0.48)],
)
def test_a_refusal_for_lack_of_capacity_tells_higher_ranks_to_return_first(
    priorities, least, most
):
    """Guards against callers of all ranks that return to full upstreams at once."""
    gateway = refused(*priorities)
    answer = gateway.ask()
    assert answer.status == 503
    assert least <= float(answer.headers[b"retry-after"]) <= most
    assert gateway.runner.sent == 3


def test_without_ranks_a_refusal_tells_what_it_told_before():
    """Guards against changed answers of deployments that have no ranks."""
    answer = refused(1, 1, 1).ask()
    assert answer.headers[b"retry-after"] == b"0.2"


@pytest.mark.parametrize("evacuated", [True, False])
def test_without_an_upstream_to_use_the_retry_after_is_the_same_for_all_ranks(
    evacuated, monkeypatch
):
    """Guards against low ranks that stay away longer after an evacuation ends."""
    monkeypatch.setattr(request_handler, "STARTUP_WAIT_SECONDS", 0.01)
    gateway = refused(2, 0, 1)
    if evacuated:
        gateway.view.apply_evacuations("replica", EvacuationState(1, ("here",)))
    else:
        gateway.view.registry.known.clear()
    answer = gateway.ask()
    assert answer.status == 503
    assert answer.headers[b"retry-after"] == b"1"
    assert gateway.runner.sent == 0
    assert "rank_refusals" not in gateway.handler.metrics.prometheus_text()


@pytest.mark.parametrize(
    ("priorities", "customer", "value", "priority"),
    [
        ((0, 1, 2), "first", 1.5, 3),
        ((0, 1, 2), "usual", 0.75, 4),
        ((2, 0, 1), "usual", 0.1875, 6),
        ((900, 0, 1), None, 1.5 / 64, 9),
        ((1, 1, 1), "usual", 1.5, 3),
    ],
)
def test_value_and_priority_of_a_short_prompt_follow_its_rank(
    priorities, customer, value, priority
):
    """Guards against a rank that is computed and then not used for the attempt."""
    gateway = refused(*priorities)
    facts = CallerFacts("a", None, 3.0, None, PromptSize(5_000, 700))
    gateway.handler.dialect = FixedFacts(
        gateway.handler.dialect, facts._replace(key=key_of(customer))
    )
    gateway.ask()
    assert gateway.runner.sent == 3
    for placement in gateway.runner.placements:
        assert placement.work.value == pytest.approx(value)
        assert placement.priority == priority


def key_of(customer: str | None) -> str | None:
    return next((each.keys[0] for each in CUSTOMERS if each.name == customer), None)


class FixedFacts:
    """Wrap a dialect that reads the same facts from every request."""

    def __init__(self, dialect, facts: CallerFacts) -> None:
        self.dialect = dialect
        self.facts = facts

    def caller_facts(self, _headers) -> CallerFacts:
        return self.facts

    def __getattr__(self, name):
        return getattr(self.dialect, name)
