"""Check which route a request matches, and which configurations are invalid."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.gateway_samples import configuration, route
from cowslipshelf_core.gateway import (
    GatewayCustomer,
    RouteTable,
    WeightedService,
    choose_service,
    configuration_problem,
)

SEGMENTS = st.lists(st.sampled_from(["a", "b", "c"]), max_size=4)


def prefix_of(segments: list[str]) -> str:
    return "/" + "".join(f"{segment}/" for segment in segments)


@given(st.lists(SEGMENTS, max_size=8), SEGMENTS, st.sampled_from(["", "x", "x?q=/a/"]))
def test_the_route_with_the_longest_matching_prefix_wins(prefixes, path, rest):
    routes = {prefix_of(segments) for segments in prefixes}
    table = RouteTable.from_configuration(
        configuration(*(route(name=prefix, prefix=prefix) for prefix in routes))
    )
    requested = prefix_of(path) + rest.partition("?")[0]
    matching = [prefix for prefix in routes if requested.startswith(prefix)]
    found = table.route_of("Host.Example", requested)
    assert (found and found.prefix) == max(matching, key=len, default=None)


def test_a_path_does_not_match_on_another_host():
    table = RouteTable.from_configuration(configuration(route(prefix="/a/")))
    assert table.route_of("other.example", "/a/x") is None


@pytest.mark.parametrize(
    ("invalid", "expected"),
    [
        (configuration(route(services=(WeightedService("nobody", 1),))), "unknown"),
        (configuration(route(name="a"), route(name="b")), "taken"),
        (
            configuration(route(name="a", host="A.example"), route(host="a.example")),
            "taken",
        ),
        (configuration(route(services=(WeightedService("s", 0),))), "zero"),
        (configuration(route(services=())), "zero"),
        (configuration(route(services=(WeightedService("s", -1),))), "below"),
        (configuration(route(timeout_seconds=0.0)), "timeout"),
        (configuration(route(prefix="/a")), "slash"),
        (
            configuration(
                customers=(GatewayCustomer("a", ("k",)), GatewayCustomer("b", ("k",)))
            ),
            "share",
        ),
    ],
)
def test_an_invalid_configuration_is_refused_with_the_reason(invalid, expected):
    assert expected in configuration_problem(invalid)


def test_the_reason_does_not_contain_the_shared_key():
    invalid = configuration(
        customers=(GatewayCustomer("a", ("secret",)), GatewayCustomer("b", ("secret",)))
    )
    assert "secret" not in configuration_problem(invalid)


def test_a_customer_may_list_a_key_twice():
    assert (
        configuration_problem(
            configuration(customers=(GatewayCustomer("a", ("k", "k")),))
        )
        is None
    )


def test_a_service_without_weight_gets_nothing():
    split = route(services=(WeightedService("s", 1), WeightedService("none", 0)))
    random = Random(1)
    assert {choose_service(split, random) for _ in range(200)} == {"s"}
