"""Configure the operators' server and client."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import OperatorName

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Enough for a complete wanted state with about ten thousand customers."""
MAX_HEADER_BYTES = 16 * 1024
ANSWER_SECONDS = 30.0
"""Time limit for producing an answer and for the client to read it."""
MAX_AUDIT_PAGE = 1_000
DEFAULT_AUDIT_PAGE = 100


class OperatorKey(NamedTuple):
    """Hold an operator's name and the hash of the operator's key."""

    operator: OperatorName
    key_hash: str
    """Hex SHA-256 of the key; the key itself is never stored."""


class OperatorsServerConfig(NamedTuple):
    """Hold the server's listen address, the keys it accepts and its limits."""

    listen_address: str
    """IP:port; port 0 takes a free port."""
    key_hashes: tuple[OperatorKey, ...]
    max_body_bytes: int = MAX_BODY_BYTES
    max_header_bytes: int = MAX_HEADER_BYTES
    request_seconds: float = 10.0
    """Time limit for receiving a whole request; a slower client is disconnected."""
    threads: int = 8
    max_waiting_connections: int = 64


class OperatorsClientConfig(NamedTuple):
    """Hold the addresses, the key and the timeouts of a client."""

    addresses: tuple[str, ...]
    """IP:port of entry instances; tried in order until one can be reached."""
    key: str
    connect_seconds: float = 2.0
    answer_seconds: float = 15.0

    def __repr__(self) -> str:
        """Omit the key, so that no log or traceback shows it."""
        return f"OperatorsClientConfig(addresses={self.addresses!r})"
