"""Define the settings of the operators' server and client."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import OperatorName

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Holds a whole wanted state of some ten thousand customers."""
MAX_HEADER_BYTES = 16 * 1024
ANSWER_SECONDS = 30.0
"""Time for an answer to be worked out and taken by the client."""
MAX_AUDIT_PAGE = 1_000
DEFAULT_AUDIT_PAGE = 100


class OperatorKey(NamedTuple):
    """Name the operator whom a key lets in."""

    operator: OperatorName
    key_hash: str
    """Hex SHA-256 of the key; the key itself is never stored."""


class OperatorsServerConfig(NamedTuple):
    """Set where the server listens, whom it lets in and what it bears."""

    listen_address: str
    """IP:port; port 0 lets the kernel choose one."""
    key_hashes: tuple[OperatorKey, ...]
    max_body_bytes: int = MAX_BODY_BYTES
    max_header_bytes: int = MAX_HEADER_BYTES
    request_seconds: float = 10.0
    """Time for a request to arrive whole; a slower client is cut off."""
    threads: int = 8
    max_waiting_connections: int = 64


class OperatorsClientConfig(NamedTuple):
    """Set which addresses the client asks, and how long it waits."""

    addresses: tuple[str, ...]
    """IP:port of entry instances; the next one is asked where one can't be reached."""
    key: str
    connect_seconds: float = 2.0
    answer_seconds: float = 15.0

    def __repr__(self) -> str:
        """Leave the key out, so that no log or traceback ever shows it."""
        return f"OperatorsClientConfig(addresses={self.addresses!r})"
