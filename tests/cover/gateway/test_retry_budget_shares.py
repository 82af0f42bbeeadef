"""Check how gateways divide the retry budget that they have together."""

import time

from common.gateway_requests import GatewayWithFakeRunner
from cowslipshelf_core.messages import PeerAlive

HALF_SECONDS = 20.0
"""Longer than the silence after which a gateway counts as dead."""


def test_each_half_of_a_partition_keeps_its_share_of_the_retries():
    """Guards against gateways that divide the budget by those that they still hear."""
    gateway = GatewayWithFakeRunner()
    view, later = gateway.view, time.monotonic()
    now = later - HALF_SECONDS
    view.retry_budget.config = view.retry_budget.config._replace(slack=100.0)
    alive = PeerAlive("e", "here", False, 0, ())
    for number in range(2, 9):
        view.peers.record_alive(f"10.0.0.{number}", alive, now)
    view.limits.gateways.update(view.peers.alive(now), now)
    for number in range(2, 5):
        view.peers.record_alive(f"10.0.0.{number}", alive, later)
    view.limits.gateways.update(view.peers.alive(later), later)
    assert len(view.peers.alive(later)) == 3
    spent = 0
    while gateway.handler.may_retry("s"):
        spent += 1
    assert 1 <= spent <= 100 / 8
