"""Load weights from the store, under a grant."""

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
    """Say where the weight store is and how long to wait for it."""

    address: str
    """IP:port."""
    connect_seconds: float = 2.0
    silence_seconds: float = 30.0
    """Longest time without a byte."""


class WeightsLoaded(NamedTuple):
    """Say that weights came whole."""

    bytes: int
    digest: str
    """Hex SHA-256."""


class LoadLimited(NamedTuple):
    """Say that the store's rate limit is used up, and when to come back."""

    retry_after_seconds: float


class LoadRefused(NamedTuple):
    """Say that the store refuses this load, now and later."""

    status: int
    detail: str


LoadResult = WeightsLoaded | LoadLimited | LoadRefused


class WeightStoreClient:
    """Ask the weight store for weights; it never asks twice by itself."""

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
        """Make a client; it connects when it is first used."""
        return cls(config)

    def load(self, model: ModelName, version: str, grant: str) -> LoadResult:
        """Load the weights of a version, under a grant of the control state."""
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
    """Read an answer to its end and say what it means."""
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
    """Read weights piece by piece; they are larger than a process's memory."""
    # A connection that closes within the head leaves no length, or part of one; the
    # weights would end with the connection, and nobody would know whether too early.
    if not response.headers.get("Content-Length", "").isdecimal():
        raise ProtocolError("the weights have no length")
    digest = sha256()
    size = 0
    for piece in response.stream(READ_BYTES, decode_content=False):
        digest.update(piece)
        size += len(piece)
    return WeightsLoaded(size, digest.hexdigest())


def retry_after(text: str) -> float:
    """Return the seconds that a header names, within reason."""
    try:
        seconds = float(text)
    except ValueError:
        return DEFAULT_RETRY_AFTER_SECONDS
    # Also false for a value that is not a number, which no comparison admits.
    if 0.0 <= seconds <= MAX_RETRY_AFTER_SECONDS:
        return seconds
    return MAX_RETRY_AFTER_SECONDS
