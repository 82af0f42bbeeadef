"""Use a kept connection again only while it is all but surely alive."""

from time import monotonic

from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection

from cowslipshelf_fleet.internal.pause_tolerant_socket import PauseTolerantSocket

MAX_IDLE_SECONDS = 2.0
SEND_TIMEOUT_SECONDS = 30.0
"""Longest time for sending one request's body."""


class FreshConnection(HTTPConnection):
    """Count as disconnected after a short time without use.

    A hand-over is sent once only, so a connection that turns out dead costs the
    request: the sidecar closed it before the bytes came, or something between the
    ends lost track of it while it idled and the bytes go nowhere. The pool closes
    what counts as disconnected and dials anew, which costs one round trip. The
    time is far below that for which a sidecar keeps an idle connection, and below
    the idle times after which networks drop their records. The rest, a sidecar
    that dies within these seconds, is reported as "may have arrived", which is
    always safe. A connection that the peer has closed visibly is never used.
    """

    last_received_at = 0.0
    """When the peer's last bytes were read, in monotonic seconds."""

    def connect(self) -> None:
        """Connect; then give a large body more time than connecting may take."""
        super().connect()
        self.sock = PauseTolerantSocket.from_connected(self.sock)
        self.sock.settimeout(SEND_TIMEOUT_SECONDS)

    @property
    def is_connected(self) -> bool:
        """Tell whether the connection may carry another request."""
        if monotonic() - self.last_received_at > MAX_IDLE_SECONDS:
            return False
        return super().is_connected


class FreshConnectionPool(HTTPConnectionPool):
    """Keep connections that are used again only while fresh."""

    ConnectionCls = FreshConnection
