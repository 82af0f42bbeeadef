"""Speak to a plain service."""

from typing import NamedTuple, Self

from cowslipshelf_core.upstream import HandOver
from cowslipshelf_upstreams.internal.connections import (
    Connections,
    UpstreamRequest,
    end_to_end,
)
from cowslipshelf_upstreams.internal.stream import UpstreamStream

OWN_HEADERS = frozenset(("x-attempt-id", "x-request-id"))


class PlainClientConfig(NamedTuple):
    """Say where a plain service is and how long to wait for it."""

    base_url: str
    connect_seconds: float = 1.0
    silence_seconds: float = 30.0
    """Longest wait where the call's own deadline is shorter still."""


class PlainClient:
    """Call one plain service."""

    def __init__(self, config: PlainClientConfig) -> None:
        self.config = config
        self.connections = Connections(
            config.base_url, config.connect_seconds, pool_size=1
        )

    @classmethod
    def from_config(cls, config: PlainClientConfig) -> Self:
        """Make a client; it connects when it is first used."""
        return cls(config)

    def call(self, hand_over: HandOver) -> UpstreamStream:
        """Call the service, once; raise `UpstreamLostError` if no answer begins.

        A service may think until the deadline, and nothing tells a thinking one from
        a silent one, so the deadline alone bounds the wait for its answer.
        """
        own = (
            ("X-Request-Id", hand_over.request_id),
            ("X-Attempt-Id", hand_over.attempt_id),
        )
        request = UpstreamRequest(
            step="call",
            method=hand_over.method,
            path=hand_over.path,
            headers=(*end_to_end(hand_over.headers, OWN_HEADERS), *own),
            body=hand_over.body,
        )
        wait = max(self.config.silence_seconds, hand_over.deadline_seconds)
        response = self.connections.open(request, wait)
        return UpstreamStream(response, self.connections.peer)

    def refuses_connections(self) -> bool:
        """Tell whether nothing listens at the upstream's address any more."""
        return self.connections.refuses_connections()

    def close(self) -> None:
        """Close idle connections; calls that run are not touched."""
        self.connections.close()
