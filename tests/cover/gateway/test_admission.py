"""Check which callers a gateway admits by their keys."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.gateway_samples import configuration, route
from cowslipshelf_adapter.wire import MachinesDialect
from cowslipshelf_core.gateway import (
    GatewayCustomer,
    RouteConfiguration,
    RouteTable,
    configuration_problem,
)
from cowslipshelf_daemon.internal.gateway.admission import (
    UNKNOWN_KEY,
    Admitted,
    Denied,
    decide,
)
from cowslipshelf_daemon.internal.gateway.http_server import HttpRequest

KEYS = st.sampled_from(["key-1", "key-2", "key-3"])
CUSTOMERS = st.lists(st.frozensets(KEYS), max_size=3)


def ask(configured: RouteConfiguration, key: str | None) -> Admitted | Denied:
    """Decide on a request with a key, or without one."""
    headers = [] if key is None else [(b"authorization", f"Token {key}".encode())]
    request = HttpRequest("GET", "/a/x", headers, b"", "host.example", "caller")
    facts = MachinesDialect().caller_facts(headers)
    return decide(RouteTable.from_configuration(configured), request, facts)


def customers_with(keys_of_each: list[frozenset[str]]) -> tuple[GatewayCustomer, ...]:
    """Return customers with the given keys; only the first holds a shared one."""
    taken: set[str] = set()
    customers = []
    for number, keys in enumerate(keys_of_each):
        own = tuple(sorted(keys - taken))
        taken |= keys
        customers.append(GatewayCustomer(f"c-{number}", own))
    return tuple(customers)


@given(CUSTOMERS, st.none() | KEYS)
def test_only_callers_with_a_key_of_a_customer_are_admitted(keys_of_each, key):
    """Everybody is admitted once the last key of all customers is taken away."""
    customers = customers_with(keys_of_each)
    configured = configuration(
        route(prefix="/a/"), customers=customers, lists_customers=True
    )
    assert configuration_problem(configured) is None
    decided = ask(configured, key)
    holders = [each for each in customers if key in each.keys]
    if holders:
        assert decided == Admitted(configured.routes[0], holders[0])
    else:
        assert decided == Denied(UNKNOWN_KEY)


@pytest.mark.parametrize("key", [None, "key-1", "revoked"])
@pytest.mark.parametrize("keys", [(), ("key-1",)])
def test_public_routes_need_no_key(key, keys):
    """Public routes are closed to callers when customers lose their keys."""
    customers = (GatewayCustomer("c", keys),)
    configured = configuration(route(prefix="/a/", public=True), customers=customers)
    assert isinstance(ask(configured, key), Admitted)


@pytest.mark.parametrize("key", [None, "key-1"])
def test_a_fleet_without_customers_admits_everybody(key):
    """Fleets whose operators list no customers refuse all callers."""
    assert isinstance(ask(configuration(route(prefix="/a/")), key), Admitted)
