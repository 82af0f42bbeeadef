"""Check evacuations of data centres on real gateway processes."""

import json
import re

import pytest

from common.gateway_fleet import (
    Fleet,
    GatewayProcess,
    ask,
    document,
    route,
    running_fleet,
    send_heartbeats,
)
from common.polling import wait_for
from common.scripted_upstream import Exchange, ScriptedUpstream, call

IN_FORCE_SECONDS = 5.0
"""Time from the acknowledgement until no connected gateway uses the data centre."""


def say_hello(exchange: Exchange) -> None:
    exchange.answer(200, b"hello")


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path) as fleet:
        fleet.accept(document(1, route("/safe/")))
        yield fleet


@pytest.fixture
def upstreams(fleet):
    here = ScriptedUpstream("u-1", "plain", say_hello)
    there = ScriptedUpstream("u-2", "plain", say_hello, zone="there")
    send_heartbeats(fleet, here, there)
    return here, there


def order(gateways: list[GatewayProcess], method: str, name: str) -> None:
    """Send an order again to one gateway after another until it is acknowledged."""
    turn = iter(range(10_000))
    wait_for(
        lambda: (
            call(
                gateways[next(turn) % len(gateways)].control,
                method,
                f"/api/evac/{name}",
            )[0]
            == 200
        )
    )


def evacuated(gateway: GatewayProcess) -> list[str] | None:
    status, body = call(gateway.control, "GET", "/api/evac")
    return json.loads(body)["zones"] if status == 200 else None


def wait_until_in_force(gateways: list[GatewayProcess], *names: str, seconds=30.0):
    wait_for(lambda: all(evacuated(g) == sorted(names) for g in gateways), seconds)


def answers(fleet: Fleet, count: int = 6) -> set[int]:
    """Return the statuses of some requests to every gateway."""
    return {
        ask(gateway, "/safe/x").status
        for gateway in fleet.gateways
        for _ in range(count)
    }


def leader_of(fleet: Fleet) -> GatewayProcess:
    """Return the gateway whose replica leads, once there is one."""

    def leaders() -> list[GatewayProcess]:
        return [each for each in fleet.gateways if leads(each)]

    wait_for(leaders)
    return leaders()[0]


def leads(gateway: GatewayProcess) -> bool:
    _, text = call(gateway.metrics, "GET", "/metrics")
    return re.search(rb"^cowslipshelf_replica_leads 1", text, re.MULTILINE) is not None


def test_nothing_is_sent_to_an_evacuated_data_centre_until_it_is_withdrawn(
    fleet, upstreams
):
    """Guards against requests sent there by a gateway that did not take the order."""
    here, there = upstreams
    assert answers(fleet) == {200}
    order(fleet.gateways[1:], "POST", "there")
    wait_until_in_force(fleet.gateways, "there", seconds=IN_FORCE_SECONDS)
    before = len(there.seen)
    assert answers(fleet) == {200}
    assert len(there.seen) == before
    order(fleet.gateways, "POST", "here")
    wait_until_in_force(fleet.gateways, "here", "there", seconds=IN_FORCE_SECONDS)
    before = len(here.seen) + len(there.seen)
    assert answers(fleet, 1) == {503}
    assert len(here.seen) + len(there.seen) == before
    order(fleet.gateways, "DELETE", "here")
    order(fleet.gateways, "DELETE", "there")
    wait_until_in_force(fleet.gateways, seconds=IN_FORCE_SECONDS)
    before = len(there.seen)
    wait_for(lambda: answers(fleet) == {200} and len(there.seen) > before)


def test_an_acknowledged_evacuation_outlives_the_leader_and_a_wiped_disk(
    fleet, upstreams
):
    """Guards against an order that only the ended leader knew.

    The order is then sent again to the others, as after an answer that was lost.
    """
    leader = leader_of(fleet)
    others = [each for each in fleet.gateways if each is not leader]
    order([leader], "POST", "there")
    leader.kill()
    wait_until_in_force(others, "there", seconds=IN_FORCE_SECONDS)
    order(others, "POST", "there")
    wait_until_in_force(others, "there", seconds=IN_FORCE_SECONDS)
    leader.wipe()
    leader.start(first=False)
    wait_until_in_force(fleet.gateways, "there")


def test_an_acknowledged_evacuation_outlives_a_loss_of_all_power(fleet, upstreams):
    """Guards against a restart that uses an evacuated data centre again."""
    order(fleet.gateways, "POST", "there")
    for gateway in fleet.gateways:
        gateway.kill()
    for gateway in fleet.gateways:
        gateway.start(first=False)
    for gateway in fleet.gateways:
        wait_for(gateway.is_ready)
    wait_until_in_force(fleet.gateways, "there")
    send_heartbeats(fleet, *upstreams)
    before = len(upstreams[1].seen)
    assert answers(fleet) == {200}
    assert len(upstreams[1].seen) == before
