"""Lose gateways of a fleet without disks, and keep its configuration."""

import json

import pytest

from common.gateway_fleet import Fleet, GatewayProcess, document, running_fleet
from common.polling import wait_for
from common.scripted_upstream import call

REPLICAS = 7
"""Gateways of the fleet, all of which come to hold a replica."""
NAMED_REPLICAS = 3
"""Gateways that the settings ask for a replica."""


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path, REPLICAS, in_memory=NAMED_REPLICAS) as fleet:
        fleet.accept(document(1))
        wait_for(lambda: has_voters(fleet, REPLICAS))
        yield fleet


def has_voters(fleet: Fleet, count: int) -> bool:
    """Tell whether every gateway's replica counts so many voters."""
    return all(gateway.voters() == count for gateway in fleet.gateways)


def reads_back(gateway: GatewayProcess, expected: dict) -> bool:
    """Tell whether a gateway returns just this configuration."""
    status, body = call(gateway.control, "GET", "/api/config")
    return status == 200 and json.loads(body) == expected


def test_a_configuration_outlives_the_gateways_that_the_settings_name(fleet):
    """Gateways that live serve by a configuration that none reads back or changes."""
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
