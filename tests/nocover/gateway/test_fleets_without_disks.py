"""Check that a fleet without disks keeps its configuration as gateways fail."""

import json

import pytest

from common.gateway_fleet import Fleet, GatewayProcess, document, running_fleet
from common.polling import wait_for
from common.scripted_upstream import call

REPLICAS = 7
"""Gateways of the fleet, all of which eventually hold a replica."""
NAMED_REPLICAS = 3
"""Gateways whose settings ask for a replica."""


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path, REPLICAS, in_memory=NAMED_REPLICAS) as fleet:
        fleet.accept(document(1))
        wait_for(lambda: has_voters(fleet, REPLICAS))
        yield fleet


def has_voters(fleet: Fleet, count: int) -> bool:
    """Return whether every gateway's replica counts a number of voters."""
    return all(gateway.voters() == count for gateway in fleet.gateways)


def reads_back(gateway: GatewayProcess, expected: dict) -> bool:
    """Return whether a gateway returns exactly this configuration."""
    status, body = call(gateway.control, "GET", "/api/config")
    return status == 200 and json.loads(body) == expected


def test_a_configuration_outlives_the_gateways_that_the_settings_name(fleet):
    """Guards against a configuration that is served but can't be read or changed."""
    newest = document(5)
    fleet.accept(newest)
    for gateway in fleet.gateways[:NAMED_REPLICAS]:
        gateway.kill()
    for gateway in fleet.gateways[:NAMED_REPLICAS]:
        gateway.start(first=False)
    for gateway in fleet.gateways:
        wait_for(gateway.is_ready)
        wait_for(lambda g=gateway: reads_back(g, newest))
    fleet.accept(document(7))
    wait_for(lambda: has_voters(fleet, REPLICAS))
