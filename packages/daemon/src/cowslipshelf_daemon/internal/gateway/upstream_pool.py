"""Keep idle connections to upstreams for the next request."""

import asyncio
from collections.abc import Callable

from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_daemon.internal.gateway.upstream_connection import (
    UpstreamConnection,
)
from cowslipshelf_host.metrics import Metrics

CONNECT_SECONDS = 0.6
"""Time for a new connection: several round trips within a region, and less than the
second after which a lost opening packet is sent again, so that another upstream is
tried instead."""
KEEP_ALIVE_SHARE = 0.4
"""Part of the announced idle time for which a connection is used again: a request
that crosses the upstream's close may or may not have run."""
DEFAULT_IDLE_SECONDS = 1.0
"""Idle time for which a connection is used again where none is announced."""
MAX_IDLE_CONNECTIONS = 8
"""Idle connections kept for one upstream, where its bound on all callers' connections
leaves room for so many."""
CONNECTIONS_METRIC = "cowslipshelf_upstream_connections_total"


class UpstreamPool:
    """Hold the idle connections of each upstream."""

    def __init__(self, metrics: Metrics, max_idle: Callable[[UpstreamId], int]) -> None:
        self.idle: dict[UpstreamId, list[UpstreamConnection]] = {}
        self.metrics = metrics
        self.max_idle = max_idle
        """Tells how many idle connections an upstream leaves to this gateway."""

    async def acquire(
        self, upstream_id: UpstreamId, address: str, fresh: bool
    ) -> UpstreamConnection:
        """Return a connection, a new one where a request must not meet a stale one."""
        while not fresh and self.idle.get(upstream_id):
            connection = self.idle[upstream_id].pop()
            if is_usable(connection) and connection.address == address:
                connection.prepare_next()
                self.metrics.count(CONNECTIONS_METRIC, way="reused")
                return connection
            connection.abort()
        self.metrics.count(CONNECTIONS_METRIC, way="opened")
        return await UpstreamConnection.connect(address, CONNECT_SECONDS)

    def release(self, upstream_id: UpstreamId, connection: UpstreamConnection) -> None:
        """Keep a connection whose exchange is over, or close it."""
        idle = self.idle.setdefault(upstream_id, [])
        most = min(MAX_IDLE_CONNECTIONS, self.max_idle(upstream_id))
        if not connection.can_be_reused() or len(idle) >= most:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle.append(connection)

    def close_stale(self) -> None:
        """Close the connections that would not be used again."""
        for idle in self.idle.values():
            for connection in [each for each in idle if not is_usable(each)]:
                idle.remove(connection)
                connection.abort()

    def forget(self, upstream_id: UpstreamId) -> None:
        """Close all connections to an upstream that has gone."""
        for connection in self.idle.pop(upstream_id, ()):
            connection.abort()

    def close_all(self) -> None:
        """Close every idle connection."""
        for upstream_id in list(self.idle):
            self.forget(upstream_id)


def is_usable(connection: UpstreamConnection) -> bool:
    """Tell whether an idle connection is still as it was left, and young enough."""
    announced = connection.keep_alive_seconds
    longest = (
        DEFAULT_IDLE_SECONDS if announced is None else announced * KEEP_ALIVE_SHARE
    )
    idle = asyncio.get_running_loop().time() - connection.idle_since
    return idle < longest and connection.is_quiet()
