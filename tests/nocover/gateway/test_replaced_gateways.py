"""Check that gateways that are gone for good leave the others their configuration."""

import pytest

from common.gateway_fleet import Fleet, GatewayProcess, document, running_fleet
from common.polling import wait_for
from common.scripted_upstream import call

NEEDED = 3
"""Voters with which the loss of one machine is tolerated."""


def has_voters(gateways: list[GatewayProcess], count: int) -> bool:
    """Return whether these gateways' replicas count a number of voters."""
    return all(gateway.voters() == count for gateway in gateways)


def reads_back(gateway: GatewayProcess) -> bool:
    """Return whether a gateway reads the configuration from a quorum."""
    return call(gateway.control, "GET", "/api/config")[0] == 200


@pytest.mark.parametrize(("size", "planned"), [(4, True), (4, False), (5, False)])
def test_a_disk_may_be_lost_after_gateways_have_gone_for_good(tmp_path, size, planned):
    """Gateways that were replaced vote for good, and one lost disk ends all changes."""
    with running_fleet(tmp_path, size) as fleet:
        fleet.accept(document(1))
        wait_for(lambda: has_voters(fleet.gateways, size))
        left, gone = fleet.gateways[:NEEDED], fleet.gateways[NEEDED:]
        for gateway in gone:
            gateway.ask_to_end() if planned else gateway.kill()
        wait_for(lambda: has_voters(left, NEEDED))
        if planned:
            assert all(gateway.process.poll() is None for gateway in gone)
        left[1].kill()
        left[1].wipe()
        left[1].start(first=False)
        for gateway in left:
            wait_for(lambda gateway=gateway: reads_back(gateway))
        Fleet(left).accept(document(2))
