"""Open connections to one upstream and name what goes wrong on them."""

from typing import NamedTuple
from urllib.parse import urlsplit

from urllib3 import HTTPConnectionPool, HTTPHeaderDict, HTTPResponse, Timeout
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from cowslipshelf_upstreams.errors import UpstreamLostError, UpstreamRefusedError

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
MOST_DETAIL_BYTES = 2_000
CONTROL_POOL_SIZE = 4
FIRST_ERROR_STATUS = 400

Headers = tuple[tuple[str, str], ...]


class UpstreamRequest(NamedTuple):
    """Be one HTTP request to an upstream."""

    step: str
    method: str
    path: str
    headers: Headers = ()
    body: bytes = b""


class Connections:
    """Reach one upstream by HTTP, without retries of its own."""

    def __init__(self, base_url: str, connect_seconds: float, pool_size: int) -> None:
        parts = urlsplit(base_url)
        self.host = parts.hostname or ""
        self.port = parts.port or 80
        self.peer = f"{self.host}:{self.port}"
        self.connect_seconds = connect_seconds
        self.pool = self.new_pool(pool_size)

    def new_pool(self, size: int) -> HTTPConnectionPool:
        """Return a pool of connections to the upstream."""
        return HTTPConnectionPool(
            self.host, self.port, maxsize=size, block=False, retries=False
        )

    def open(self, request: UpstreamRequest, read_seconds: float) -> HTTPResponse:
        """Send a request on a connection of its own and wait for the answer's head.

        A pooled connection may have gone silent unnoticed, and a request lost on it
        may have arrived for all that the sender knows. On a new one, an upstream that
        can't be reached shows while connecting, when surely nothing has arrived.
        """
        return self.send(self.new_pool(1), request, read_seconds)

    def ask(self, request: UpstreamRequest, read_seconds: float) -> bytes:
        """Send a request that may be repeated; return the body of its answer."""
        response = self.send(self.pool, request, read_seconds)
        try:
            body = response.read(decode_content=False)
        except (HTTPError, OSError) as error:
            self.drop_idle()
            raise UpstreamLostError(request.step, self.peer, str(error)) from error
        finally:
            response.release_conn()
        if response.status >= FIRST_ERROR_STATUS:
            detail = body[:MOST_DETAIL_BYTES].decode(errors="replace")
            raise UpstreamRefusedError(request.step, self.peer, response.status, detail)
        return body

    def send(
        self, pool: HTTPConnectionPool, request: UpstreamRequest, read_seconds: float
    ) -> HTTPResponse:
        """Send a request over a pool, once, and wait for the answer's head."""
        try:
            return pool.urlopen(
                request.method,
                request.path,
                body=request.body or None,
                headers=HTTPHeaderDict(request.headers),
                timeout=Timeout(connect=self.connect_seconds, read=read_seconds),
                redirect=False,
                retries=False,
                preload_content=False,
                decode_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise UpstreamLostError(
                "connect", self.peer, str(error), may_have_arrived=False
            ) from error
        except (HTTPError, OSError) as error:
            self.drop_idle()
            raise UpstreamLostError(request.step, self.peer, str(error)) from error

    def drop_idle(self) -> None:
        """Close idle connections: what silenced one has probably silenced all."""
        self.pool.close()
        self.pool = self.new_pool(CONTROL_POOL_SIZE)

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()


def end_to_end(headers: Headers, also_dropped: frozenset[str]) -> Headers:
    """Return the headers that are not about one connection only."""
    dropped = HOP_BY_HOP_HEADERS | also_dropped
    return tuple((n, v) for n, v in headers if n.lower() not in dropped)
