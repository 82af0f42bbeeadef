"""Load weights from the weight store under a grant."""

from hashlib import sha256
from typing import NamedTuple, Self
from urllib.parse import quote

from urllib3 import HTTPConnectionPool, HTTPResponse, Timeout
from urllib3.exceptions import HTTPError, ProtocolError

from cowslipshelf_core.identifiers import ModelName
from cowslipshelf_weightstore.errors import WeightStoreLostError

LOAD_STEP = "load weights"
READ_BYTES = 1024 * 1024
MAX_DETAIL_BYTES = 2_000
DEFAULT_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 3_600.0
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
OK = 200


class WeightStoreClientConfig(NamedTuple):
    """Configure the address and the timeouts of the client."""

    address: str
    """IP:port."""
    connect_seconds: float = 2.0
    silence_seconds: float = 30.0
    """Timeout between bytes."""


class WeightsLoaded(NamedTuple):
    """Report that the weights were loaded completely."""

    bytes: int
    digest: str
    """Hex SHA-256."""


class LoadLimited(NamedTuple):
    """Report that the rate limit is exceeded, and when to retry."""

    retry_after_seconds: float


class LoadRefused(NamedTuple):
    """Report that the store refuses the load; a retry would be refused too."""

    status: int
    detail: str


LoadResult = WeightsLoaded | LoadLimited | LoadRefused


class WeightStoreClient:
    """Load weights from the weight store, without retries."""

    def __init__(self, config: WeightStoreClientConfig) -> None:
        self.config = config
        host, _, port = config.address.rpartition(":")
        timeout = Timeout(connect=config.connect_seconds, read=config.silence_seconds)
        self.pool = HTTPConnectionPool(
            host,
            int(port),
            timeout=timeout,
            retries=False,
        )

    @classmethod
    def from_config(cls, config: WeightStoreClientConfig) -> Self:
        """Create a client, which connects when it is first used."""
        return cls(config)

    def load(self, model: ModelName, version: str, grant: str) -> LoadResult:
        """Load the weights of a model version under a grant from the control state."""
        path = f"/weights/{quote(model, safe='')}/{quote(version, safe='')}"
        try:
            response = self.pool.request(
                "GET",
                path,
                headers={"X-Load-Grant": grant},
                preload_content=False,
                redirect=False,
            )
            return read_result(response)
        except (HTTPError, OSError) as error:
            raise WeightStoreLostError(
                LOAD_STEP, self.config.address, str(error)
            ) from error

    def close(self) -> None:
        """Close idle connections."""
        self.pool.close()


def read_result(response: HTTPResponse) -> LoadResult:
    """Read an answer to its end and return the result."""
    try:
        if response.status == OK:
            return read_weights(response)
        detail = response.read(MAX_DETAIL_BYTES).decode(errors="replace")
        if response.status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE):
            return LoadLimited(retry_after(response.headers.get("Retry-After", "")))
        return LoadRefused(response.status, detail)
    finally:
        response.close()


def read_weights(response: HTTPResponse) -> WeightsLoaded:
    """Read weights in pieces, as they may exceed the process's memory."""
    # If the connection closes within the head, the length is missing or truncated. The
    # body would then end with the connection, and its truncation go undetected.
    if not response.headers.get("Content-Length", "").isdecimal():
        raise ProtocolError("the weights have no length")
    digest = sha256()
    size = 0
    for piece in response.stream(READ_BYTES, decode_content=False):
        digest.update(piece)
        size += len(piece)
    return WeightsLoaded(size, digest.hexdigest())


def retry_after(text: str) -> float:
    """Return the seconds in a Retry-After header, bounded."""
    try:
        seconds = float(text)
    except ValueError:
        return DEFAULT_RETRY_AFTER_SECONDS
    # False for NaN as well.
    if 0.0 <= seconds <= MAX_RETRY_AFTER_SECONDS:
        return seconds
    return MAX_RETRY_AFTER_SECONDS
