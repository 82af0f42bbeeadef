"""Accept connections, and refuse unread those that a busy gateway can't serve."""

import asyncio
import socket
import struct
import time
from collections.abc import Callable, Collection

from cowslipshelf_core.gateway import (
    AcceptThrottle,
    AcceptThrottleConfig,
    WaitingConnection,
)
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("throttled_listener")

REFUSED = "cowslipshelf_connections_refused_total"
WAIT = "cowslipshelf_connection_wait_seconds"
HELPS = {
    REFUSED: "Connections that were closed before anything was read from them.",
    WAIT: "Time from accepting a connection until reading from it.",
}
MAX_ACCEPTS_PER_TURN = 64
"""Most connections that are taken from the kernel's queue at once."""
ACCEPT_PAUSE_SECONDS = 0.2
CALM_SECONDS = 1.0
"""Time without a refusal after which refusing counts as over."""
RESET = struct.pack("ii", 1, 0)


class ThrottledListener:
    """Accept connections on a socket, and pass on as many as the event loop can serve.

    The others are reset unread: their callers may try another gateway at once, and a
    reset leaves no state in the kernel.
    """

    def __init__(
        self,
        listener: socket.socket,
        admit: Callable[[socket.socket], None],
        has_room: Callable[[int], bool],
        metrics: Metrics,
    ) -> None:
        self.listener = listener
        self.admit = admit
        self.has_room = has_room
        """Whether so many connections may be open besides those admitted."""
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.throttle: AcceptThrottle[socket.socket] = AcceptThrottle.from_config(
            AcceptThrottleConfig()
        )
        self.deciding = False
        self.refused_since_calm = 0
        self.refused_at = 0.0
        """Time of the last refusal, by the clock of the loop."""
        self.calm_timer: asyncio.TimerHandle | None = None
        for name, text in HELPS.items():
            metrics.describe(name, text)
        self.resume_accepting()

    def accept(self) -> None:
        """Queue the connections that have come."""
        now = time.monotonic()
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                connection, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                break
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self.pause_accepting(error)
                break
            connection.setblocking(False)
            if self.has_room(len(self.throttle.waiting) + 1):
                self.throttle.add(connection, now)
            else:
                self.refuse([WaitingConnection(connection, now)], "descriptors", 0.0)
        self.decide_soon()

    def pause_accepting(self, error: OSError) -> None:
        """Accept nothing for a while, as the process has no descriptor or memory left.

        The socket stays readable meanwhile, and would keep the event loop busy.
        """
        LOG.warning("Connection not accepted.", error=str(error))
        self.loop.remove_reader(self.listener)
        self.loop.call_later(ACCEPT_PAUSE_SECONDS, self.resume_accepting)

    def resume_accepting(self) -> None:
        """Accept connections again, unless the socket was closed meanwhile."""
        if self.listener.fileno() >= 0:
            self.loop.add_reader(self.listener, self.accept)

    def decide_soon(self) -> None:
        """Decide in the next turn of the event loop, if any connection waits."""
        if self.throttle.waiting and not self.deciding:
            self.deciding = True
            self.loop.call_soon(self.decide)

    def decide(self) -> None:
        """Admit and refuse connections in one turn of the event loop."""
        self.deciding = False
        now = time.monotonic()
        turn_seconds = self.throttle.turn_seconds(now)
        decision = self.throttle.decide(now)
        self.refuse(decision.refused, "busy", turn_seconds)
        for connection, since in decision.admitted:
            self.metrics.record_seconds(WAIT, now - since)
            self.admit(connection)
        self.decide_soon()

    def refuse(
        self,
        refused: Collection[WaitingConnection[socket.socket]],
        reason: str,
        turn_seconds: float,
    ) -> None:
        """Reset connections unread; log when that begins and when it is over."""
        if not refused:
            return
        for connection, _ in refused:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            connection.close()
        self.metrics.count(REFUSED, len(refused), reason=reason)
        self.refused_since_calm += len(refused)
        self.refused_at = self.loop.time()
        if self.calm_timer is not None:
            return
        LOG.warning(
            "Refusing connections.",
            reason=reason,
            turn_seconds=round(turn_seconds, 4),
            waiting=len(self.throttle.waiting),
        )
        self.calm_timer = self.loop.call_later(CALM_SECONDS, self.check_calm)

    def check_calm(self) -> None:
        """Log that no connection was refused for a while, or look again later."""
        left = self.refused_at + CALM_SECONDS - self.loop.time()
        if left > 0.0:
            self.calm_timer = self.loop.call_later(left, self.check_calm)
            return
        LOG.info("Refusing no connections.", refused=self.refused_since_calm)
        self.refused_since_calm = 0
        self.calm_timer = None

    def close(self) -> None:
        """Accept no more connections; those that wait are still decided on."""
        if self.listener.fileno() >= 0:
            self.loop.remove_reader(self.listener)
            self.listener.close()
