"""Pool idle connections to upstreams."""

import asyncio
from collections.abc import Callable

from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_daemon.internal.gateway.upstream_connection import (
    UpstreamConnection,
)
from cowslipshelf_host.metrics import Metrics

CONNECT_SECONDS = 0.6
"""Timeout of a new connection: several round trips within a region, but less than the
second after which a lost SYN is resent, so that another upstream is tried instead."""
KEEP_ALIVE_SHARE = 0.4
"""Share of the announced keep-alive time during which a connection is reused: if the
upstream closes it while a request is sent, it is unknown whether the request ran."""
DEFAULT_IDLE_SECONDS = 1.0
"""Idle time for which a connection is reused if no keep-alive time is announced."""
MAX_IDLE_CONNECTIONS = 8
"""Idle connections kept per upstream, if its limit on connections from all callers
allows as many."""
CONNECTIONS_METRIC = "cowslipshelf_upstream_connections_total"


class UpstreamPool:
    """Hold the idle connections of each upstream."""

    def __init__(self, metrics: Metrics, max_idle: Callable[[UpstreamId], int]) -> None:
        self.idle: dict[UpstreamId, list[UpstreamConnection]] = {}
        self.metrics = metrics
        self.max_idle = max_idle
        """Returns how many idle connections to an upstream this gateway may keep."""

    async def acquire(
        self, upstream_id: UpstreamId, address: str, fresh: bool
    ) -> UpstreamConnection:
        """Return a pooled connection, or a new one if none fits or `fresh` is set.

        Requests that may not be retried need a fresh one: the upstream may close a
        pooled connection just as the request is sent.
        """
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
        """Return a connection to the pool after its exchange, or close it."""
        idle = self.idle.setdefault(upstream_id, [])
        most = min(MAX_IDLE_CONNECTIONS, self.max_idle(upstream_id))
        if not connection.can_be_reused() or len(idle) >= most:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle.append(connection)

    def close_stale(self) -> None:
        """Close the idle connections that are no longer usable."""
        for idle in self.idle.values():
            for connection in [each for each in idle if not is_usable(each)]:
                idle.remove(connection)
                connection.abort()

    def forget(self, upstream_id: UpstreamId) -> None:
        """Close the idle connections to an upstream that is gone."""
        for connection in self.idle.pop(upstream_id, ()):
            connection.abort()

    def close_all(self) -> None:
        """Close every idle connection."""
        for upstream_id in list(self.idle):
            self.forget(upstream_id)


def is_usable(connection: UpstreamConnection) -> bool:
    """Return whether an idle connection is open, silent and not idle for too long."""
    announced = connection.keep_alive_seconds
    longest = (
        DEFAULT_IDLE_SECONDS if announced is None else announced * KEEP_ALIVE_SHARE
    )
    idle = asyncio.get_running_loop().time() - connection.idle_since
    return idle < longest and connection.is_quiet()
