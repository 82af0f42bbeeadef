"""Open connections to one upstream and map their errors."""

import socket
from contextlib import suppress
from http.client import HTTPException
from time import sleep
from typing import NamedTuple
from urllib.parse import urlsplit

from urllib3 import BaseHTTPResponse, HTTPConnectionPool, HTTPHeaderDict, Timeout
from urllib3.exceptions import HTTPError

from cowslipshelf_upstreams.errors import UpstreamLostError, UpstreamRefusedError
from cowslipshelf_upstreams.internal.complete_heads import CompleteHeadConnection

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
MAX_DETAIL_BYTES = 2_000
CONTROL_POOL_SIZE = 4
FIRST_ERROR_STATUS = 400
PROBE_PAUSES_SECONDS = (0.0, 0.02, 0.05)

Headers = tuple[tuple[str, str], ...]


class UpstreamRequest(NamedTuple):
    """Describe one HTTP request to an upstream."""

    step: str
    method: str
    path: str
    headers: Headers = ()
    body: bytes = b""


class OpenAnswer(NamedTuple):
    """Hold an answer whose head was read, and the connection that carries its body."""

    response: BaseHTTPResponse
    connection: CompleteHeadConnection
    sock: socket.socket

    def close(self) -> None:
        """Close the connection, from any thread; a blocked read ends at once."""
        # Shutdown fails if the peer has closed the connection already.
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.response.close()
        self.connection.close()


class Connections:
    """Send HTTP requests to one upstream, without retries."""

    def __init__(self, base_url: str, connect_seconds: float, pool_size: int) -> None:
        parts = urlsplit(base_url)
        self.host = parts.hostname or ""
        self.port = parts.port or 80
        self.peer = f"{self.host}:{self.port}"
        self.connect_seconds = connect_seconds
        self.pool = self.new_pool(pool_size)

    def new_pool(self, size: int) -> HTTPConnectionPool:
        """Return a pool of connections to the upstream."""
        pool = HTTPConnectionPool(
            self.host, self.port, maxsize=size, block=False, retries=False
        )
        pool.ConnectionCls = CompleteHeadConnection
        return pool

    def open(self, request: UpstreamRequest, read_seconds: float) -> OpenAnswer:
        """Send a request on a new connection and wait for the answer's head.

        A pooled connection may be dead unnoticed, and a request lost on it may have
        arrived as far as the sender can tell. On a new one, an unreachable upstream
        fails the connect, when nothing can have arrived. Besides, the request target
        is sent unchanged, whereas a pool would normalize it.
        """
        connection = self.connect()
        connection.timeout = read_seconds
        try:
            self.send(connection, request)
            sock = connection.sock
            return OpenAnswer(connection.getresponse(), connection, sock)
        except (HTTPError, HTTPException, OSError) as error:
            connection.close()
            raise self.lost(request.step, error) from error
        except UpstreamLostError:
            connection.close()
            raise

    def connect(self) -> CompleteHeadConnection:
        """Return a new connection to the upstream."""
        connection = CompleteHeadConnection(
            self.host, self.port, timeout=self.connect_seconds
        )
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            connection.close()
            raise self.lost("connect", error, may_have_arrived=False) from error
        return connection

    def send(
        self, connection: CompleteHeadConnection, request: UpstreamRequest
    ) -> None:
        """Send a request; the upstream may answer before it has read all of it."""
        try:
            connection.request(
                request.method,
                request.path,
                body=request.body or None,
                headers=HTTPHeaderDict(request.headers),
                preload_content=False,
                decode_content=False,
            )
        except ValueError as error:
            # Header names and values are checked before the first byte is sent.
            raise self.lost(request.step, error, may_have_arrived=False) from error
        except BrokenPipeError:
            return

    def send_pooled(self, request: UpstreamRequest, read_seconds: float) -> bytes:
        """Send a repeatable request on a pooled connection; return the body."""
        try:
            response = self.pool.request(
                request.method,
                request.path,
                body=request.body or None,
                headers=HTTPHeaderDict(request.headers),
                timeout=Timeout(connect=self.connect_seconds, read=read_seconds),
                redirect=False,
                decode_content=False,
            )
        except (HTTPError, OSError) as error:
            self.drop_idle()
            raise self.lost(request.step, error) from error
        if response.status >= FIRST_ERROR_STATUS:
            detail = response.data[:MAX_DETAIL_BYTES].decode(errors="replace")
            raise UpstreamRefusedError(request.step, self.peer, response.status, detail)
        return response.data

    def lost(
        self, step: str, error: Exception, may_have_arrived: bool = True
    ) -> UpstreamLostError:
        """Return the error with the step, the peer and the cause."""
        detail = str(error) or type(error).__name__
        return UpstreamLostError(step, self.peer, detail, may_have_arrived)

    def refuses_connections(self) -> bool:
        """Return whether the upstream's address refuses connections.

        An exiting process closes its sockets one after another, so a probe right after
        a lost connection may still be accepted; it is repeated after short pauses.
        """
        for pause in PROBE_PAUSES_SECONDS:
            sleep(pause)
            try:
                address = (self.host, self.port)
                socket.create_connection(address, self.connect_seconds).close()
            except ConnectionRefusedError:
                return True
            except OSError:
                return False
        return False

    def drop_idle(self) -> None:
        """Close idle connections: what broke one has probably broken all."""
        self.pool.close()
        self.pool = self.new_pool(CONTROL_POOL_SIZE)

    def close(self) -> None:
        """Close idle connections."""
        self.pool.close()


def end_to_end_headers(headers: Headers, also_removed: frozenset[str]) -> Headers:
    """Return the headers without hop-by-hop headers and those in `also_removed`."""
    removed = HOP_BY_HOP_HEADERS | also_removed
    return tuple((n, v) for n, v in headers if n.lower() not in removed)
