"""Reuse idle connections only while they are almost certainly alive."""

from time import monotonic

from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection

from cowslipshelf_fleet.internal.pause_tolerant_socket import PauseTolerantSocket

MAX_IDLE_SECONDS = 2.0
SEND_TIMEOUT_SECONDS = 30.0
"""Timeout for sending the body of a request."""


class FreshConnection(HTTPConnection):
    """Count as disconnected after a short time without use.

    A hand-over is never retried, so a dead connection fails the request: the sidecar
    closed it before the bytes arrived, or a device on the path dropped its state while
    it was idle, and the bytes are lost. The pool closes connections that count as
    disconnected and dials again, which costs one round trip. `MAX_IDLE_SECONDS` is far
    below the time for which a sidecar keeps an idle connection, and below the idle
    timeouts of networks. The remaining case, a sidecar that dies within this time, is
    reported as "may have arrived", which is always safe. A connection that the peer has
    visibly closed is never used.
    """

    last_received_at = 0.0
    """Monotonic time in seconds at which the last bytes of the peer were read."""

    def connect(self) -> None:
        """Connect; large bodies then get a longer timeout than connecting."""
        super().connect()
        self.sock = PauseTolerantSocket.from_connected(self.sock)
        self.sock.settimeout(SEND_TIMEOUT_SECONDS)

    @property
    def is_connected(self) -> bool:
        """Return whether the connection can be used for another request."""
        if monotonic() - self.last_received_at > MAX_IDLE_SECONDS:
            return False
        return super().is_connected


class FreshConnectionPool(HTTPConnectionPool):
    """Keep idle connections that are reused only while fresh."""

    ConnectionCls = FreshConnection
