"""Access the attempts of sidecars over HTTP."""

from time import monotonic
from typing import NamedTuple

import msgspec
from urllib3 import BaseHTTPResponse, PoolManager, Timeout
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from cowslipshelf_core.identifiers import AttemptId, Epoch
from cowslipshelf_core.messages import (
    AttemptRefused,
    MayHaveRun,
    NeverRan,
    PartsReady,
)
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_fleet.errors import HandOverFailed
from cowslipshelf_fleet.internal.addresses import parse_address
from cowslipshelf_fleet.internal.attempt_stream import AttemptStream
from cowslipshelf_fleet.internal.attempts_protocol import (
    CONTENT_TYPE,
    STATUS_DONE,
    STATUS_REFUSED,
    STATUS_STREAM,
    TAG_HEADER,
    AttemptsRequest,
    CancelRequest,
    FramesRequest,
    HandOverRequest,
    PartsRequest,
    RevokeBody,
    RevokeRequest,
    attempts_tagger,
    encoder,
    refused_decoder,
    request_tag,
    request_target,
    revoked_decoder,
)
from cowslipshelf_fleet.internal.fresh_connections import FreshConnectionPool

MAX_POOLS = 512
MAX_IDLE_CONNECTIONS = 8
"""Idle connections per sidecar. Only recently used ones are reused, so few are useful,
and one that the sidecar has closed holds a file descriptor until the pool picks it."""

HAND_OVER_STEP = "hand over"


class AttemptsClientConfig(NamedTuple):
    """Configure the timeouts and the key for requests to sidecars."""

    connect_seconds: float
    silence_seconds: float
    """Maximum time without a byte from the sidecar, heartbeats included."""
    cluster_key: bytes


class AttemptsClient:
    """Hand over attempts to sidecars and read their frames; thread-safe.

    The client never retries a request.
    """

    def __init__(self, config: AttemptsClientConfig) -> None:
        self.timeout = Timeout(
            connect=config.connect_seconds, read=config.silence_seconds
        )
        self.tagger = attempts_tagger(config.cluster_key)
        self.pools = PoolManager(num_pools=MAX_POOLS, maxsize=MAX_IDLE_CONNECTIONS)
        self.pools.pool_classes_by_scheme = {"http": FreshConnectionPool}

    @classmethod
    def from_config(cls, config: AttemptsClientConfig) -> "AttemptsClient":
        """Create a client without connections."""
        return cls(config)

    def hand_over(
        self, address: str, hand_over: HandOver
    ) -> AttemptStream | AttemptRefused | HandOverFailed:
        """Send an attempt, once, and return its frames or why there are none."""
        body = encoder.encode(hand_over)
        try:
            response = self.send_request(address, "POST", HandOverRequest(), body)
            return self.parse_hand_over_response(address, response)
        except (NewConnectionError, ConnectTimeoutError) as error:
            # Both are raised only while connecting: no byte of the request was sent.
            return HandOverFailed(False, HAND_OVER_STEP, address, str(error))
        except (HTTPError, OSError, msgspec.MsgspecError) as error:
            return HandOverFailed(True, HAND_OVER_STEP, address, str(error))

    def parse_hand_over_response(
        self, address: str, response: BaseHTTPResponse
    ) -> AttemptStream | AttemptRefused | HandOverFailed:
        """Parse the response of the sidecar to a hand-over."""
        if response.status == STATUS_STREAM:
            return AttemptStream(response, address)
        content = read_body(response)
        if response.status == STATUS_REFUSED:
            return refused_decoder.decode(content)
        detail = f"status {response.status} {content[:200]!r}"
        return HandOverFailed(True, HAND_OVER_STEP, address, detail)

    def resume(
        self, address: str, attempt_id: AttemptId, after_sequence: int
    ) -> AttemptStream | None:
        """Return the frames after a chunk, or None if they are not available."""
        request = FramesRequest(attempt_id, after_sequence)
        try:
            response = self.send_request(address, "GET", request)
            if response.status == STATUS_STREAM:
                return AttemptStream(response, address)
            read_body(response)
        except (HTTPError, OSError):
            return None
        return None

    def revoke(
        self,
        address: str,
        attempt_id: AttemptId,
        epoch: Epoch,
        load_sequence: int = 0,
    ) -> NeverRan | MayHaveRun | None:
        """Ask for the guarantee that an attempt never runs; None if unanswered."""
        body = encoder.encode(RevokeBody(epoch, load_sequence))
        try:
            response = self.send_request(
                address, "POST", RevokeRequest(attempt_id), body
            )
            content = read_body(response)
            if response.status != STATUS_STREAM:
                return None
            return revoked_decoder.decode(content)
        except (HTTPError, OSError, msgspec.MsgspecError):
            return None

    def begin(
        self, address: str, attempt_id: AttemptId, parts: tuple[KvReference, ...]
    ) -> bool:
        """Start a reserved attempt; return whether the sidecar confirmed it."""
        body = encoder.encode(PartsReady(parts))
        try:
            response = self.send_request(
                address, "POST", PartsRequest(attempt_id), body
            )
            read_body(response)
        except (HTTPError, OSError):
            return False
        return response.status == STATUS_DONE

    def cancel(self, address: str, attempt_id: AttemptId) -> bool:
        """Cancel an attempt; return whether the sidecar confirmed it."""
        try:
            response = self.send_request(address, "DELETE", CancelRequest(attempt_id))
            read_body(response)
        except (HTTPError, OSError):
            return False
        return response.status == STATUS_DONE

    def close(self) -> None:
        """Close the connections that are not in use."""
        self.pools.clear()

    def send_request(
        self, address: str, method: str, request: AttemptsRequest, body: bytes = b""
    ) -> BaseHTTPResponse:
        """Send a request once, and return the response with its body unread."""
        target = request_target(request)
        host, port = parse_address(address)
        pool = self.pools.connection_from_host(host, port, "http")
        headers = {
            TAG_HEADER: request_tag(self.tagger, method, target, body),
            "Content-Type": CONTENT_TYPE,
            "Content-Length": str(len(body)),
        }
        return pool.urlopen(
            method,
            target,
            body=body,
            headers=headers,
            retries=False,
            redirect=False,
            timeout=self.timeout,
            preload_content=False,
        )


def read_body(response: BaseHTTPResponse) -> bytes:
    """Read the whole body of a short response and release its connection."""
    connection = response.connection
    content = response.read()
    connection.last_received_at = monotonic()
    response.release_conn()
    return content
