"""Listen for HTTP/1.1 clients on asyncio, with limits on what they hold in all."""

import asyncio
import math
import socket
import time
from collections.abc import Awaitable, Callable

from cowslipshelf_core.gateway import CallerLimits
from cowslipshelf_daemon.internal.early_listener import BACKLOG, listen
from cowslipshelf_daemon.internal.gateway.client_resources import ClientResources
from cowslipshelf_daemon.internal.gateway.http_connection import HttpConnection
from cowslipshelf_daemon.internal.gateway.http_exchange import HttpRequest, Responder
from cowslipshelf_daemon.internal.gateway.throttled_listener import ThrottledListener
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("http_server")

MAKE_ROOM_SECONDS = 0.05
"""Least time between two searches for unused connections."""
MIN_DROPPED_AT_ONCE = 64
DROPPED_PART = 16
"""Connections that make room at once: one in so many, but not fewer than the least
number."""

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class HttpServer:
    """Listen on one address and pass each request to a handler."""

    def __init__(
        self,
        name: str,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        max_connections: int,
        metrics: Metrics | None = None,
        resources: ClientResources | None = None,
    ) -> None:
        self.name = name
        self.handler = handler
        self.limits = limits
        self.max_connections = max_connections
        self.connections: set[HttpConnection] = set()
        self.closing = False
        self.metrics = metrics
        """Given to a server that refuses connections which it is too busy to serve."""
        self.resources = resources or ClientResources.by_default()
        """Shared by all servers of a process."""
        self.server: asyncio.Server | ThrottledListener | None = None
        self.admitting: set[asyncio.Task] = set()
        self.made_room_at = -math.inf

    async def start(self, address: str, listener: socket.socket | None = None) -> None:
        """Listen on an address, given as IP and port, or on a bound socket."""
        listener = listener or listen(address)
        if self.metrics is not None:
            self.server = ThrottledListener(
                listener, self.admit, self.has_room, self.metrics
            )
            return
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: HttpConnection(self), backlog=BACKLOG, sock=listener
        )

    def admit(self, connection: socket.socket) -> None:
        """Serve an accepted connection."""
        loop = asyncio.get_running_loop()
        connecting = loop.connect_accepted_socket(
            lambda: HttpConnection(self), connection
        )
        task = loop.create_task(connecting)
        self.admitting.add(task)
        task.add_done_callback(self.admitting.discard)

    def has_room(self, more: int) -> bool:
        """Return whether so many connections fit, without the unused ones if needed."""
        if len(self.connections) + more > self.max_connections:
            self.make_room(time.monotonic())
        return len(self.connections) + more <= self.max_connections

    def make_room(self, now: float) -> None:
        """Drop the connections that wait for their clients, and so keep others out.

        Unused and stalled ones go first. One that has carried a request may be about to
        carry the next; if there is no other, those that were idle longest go. Only some
        go at once, since those who come back at once would fill all places again.
        """
        if now < self.made_room_at + MAKE_ROOM_SECONDS:
            return
        self.made_room_at = now
        waiting = [each for each in self.connections if each.is_in_the_way(now)]
        if not waiting:
            waiting = [each for each in self.connections if each.waits_long(now)]
        waiting.sort(key=HttpConnection.waits_since.fget)
        most = max(MIN_DROPPED_AT_ONCE, len(self.connections) // DROPPED_PART)
        dropped = waiting[:most]
        for connection in dropped:
            # The transport reports the loss only in the next turn.
            self.connections.discard(connection)
            connection.abort()
        if dropped:
            LOG.warning(
                "Unused connections dropped.", server=self.name, dropped=len(dropped)
            )

    @property
    def busy(self) -> int:
        """Return the number of requests being answered."""
        return sum(connection.busy for connection in self.connections)

    def stop_listening(self) -> None:
        """Accept no more connections; open ones stay."""
        if self.server is not None:
            self.server.close()

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    def abort_all(self) -> None:
        """Drop all connections."""
        for connection in list(self.connections):
            connection.abort()
