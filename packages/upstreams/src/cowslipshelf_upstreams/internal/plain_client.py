"""Call a plain service over HTTP."""

from typing import NamedTuple, Self

from cowslipshelf_core.upstream import HandOver
from cowslipshelf_upstreams.internal.connections import (
    Connections,
    UpstreamRequest,
    end_to_end_headers,
)
from cowslipshelf_upstreams.internal.stream import UpstreamStream

OWN_HEADERS = frozenset(("x-attempt-id", "x-request-id"))


class PlainClientConfig(NamedTuple):
    """Configure the address and the timeouts of a plain service's client."""

    base_url: str
    connect_seconds: float = 1.0
    silence_seconds: float = 30.0
    """Timeout for the answer's head and between bytes; a later deadline extends it."""


class PlainClient:
    """Send calls to one plain service."""

    def __init__(self, config: PlainClientConfig) -> None:
        self.config = config
        self.connections = Connections(
            config.base_url, config.connect_seconds, pool_size=1
        )

    @classmethod
    def from_config(cls, config: PlainClientConfig) -> Self:
        """Create a client, which connects when it is first used."""
        return cls(config)

    def call(self, hand_over: HandOver) -> UpstreamStream:
        """Call the service once; raise `UpstreamLostError` if no answer begins.

        A service may take until the deadline to answer, and a slow one can't be told
        from a dead one, so the wait doesn't end before the deadline.
        """
        own = (
            ("X-Request-Id", hand_over.request_id),
            ("X-Attempt-Id", hand_over.attempt_id),
        )
        request = UpstreamRequest(
            step="call",
            method=hand_over.method,
            path=hand_over.path,
            headers=(*end_to_end_headers(hand_over.headers, OWN_HEADERS), *own),
            body=hand_over.body,
        )
        wait = max(self.config.silence_seconds, hand_over.deadline_seconds)
        response = self.connections.open(request, wait)
        return UpstreamStream(response, self.connections.peer)

    def refuses_connections(self) -> bool:
        """Return whether the upstream's address refuses connections."""
        return self.connections.refuses_connections()

    def close(self) -> None:
        """Close idle connections; running calls are unaffected."""
        self.connections.close()
