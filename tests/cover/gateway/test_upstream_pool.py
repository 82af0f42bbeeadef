"""Check which connections to upstreams are pooled."""

import asyncio

import pytest

from common.gateway_samples import GATEWAY_SETTINGS, configuration, heartbeat, route
from cowslipshelf_core.messages import RoutesDocument
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.upstream_pool import (
    MAX_IDLE_CONNECTIONS,
    UpstreamPool,
)
from cowslipshelf_host.metrics import Metrics


class IdleConnection:
    """Imitate a connection whose exchange is complete."""

    keep_alive_seconds = 30.0
    idle_since = 0.0
    address = "10.0.0.1:80"
    aborted = False

    def can_be_reused(self) -> bool:
        return True

    def is_quiet(self) -> bool:
        return True

    def prepare_next(self) -> None:
        return None

    def abort(self) -> None:
        self.aborted = True


@pytest.mark.parametrize("room", [1, 3, MAX_IDLE_CONNECTIONS + 5])
def test_no_more_idle_connections_are_kept_than_the_upstream_leaves_room_for(room):
    async def keep() -> list[IdleConnection]:
        pool = UpstreamPool(Metrics(), lambda _upstream_id: room)
        used = [IdleConnection() for _ in range(MAX_IDLE_CONNECTIONS + 3)]
        for connection in used:
            pool.release("u-1", connection)
        return used

    kept = [each for each in asyncio.run(keep()) if not each.aborted]
    assert len(kept) == min(room, MAX_IDLE_CONNECTIONS)


def test_a_connection_is_used_again_and_counted_as_such():
    async def use_again() -> tuple[object, object, str]:
        metrics = Metrics()
        pool = UpstreamPool(metrics, lambda _upstream_id: 2)
        connection = IdleConnection()
        pool.release("u-1", connection)
        again = await pool.acquire("u-1", connection.address, fresh=False)
        return connection, again, metrics.prometheus_text()

    connection, again, text = asyncio.run(use_again())
    assert again is connection
    assert 'cowslipshelf_upstream_connections_total{way="reused"} 1' in text


def test_all_gateways_together_keep_half_of_an_upstreams_connections_at_most():
    """Guards against an upstream that resets new connections at its limit.

    It accepts 100 connections in total. Two dozen gateways each kept an unlimited
    number of idle ones.
    """
    view = FleetView.from_settings(GATEWAY_SETTINGS)
    view.apply_configuration(RoutesDocument(1, "d", b""), configuration(route()))
    view.record_heartbeat(heartbeat("u-1"), 0.0)
    assert view.idle_connections("u-1") == 50
    assert view.idle_connections("unknown") == 1
