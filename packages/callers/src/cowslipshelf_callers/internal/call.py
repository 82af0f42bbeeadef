"""Describe a call as it was parsed, before anybody decided about it."""

from typing import NamedTuple

from cowslipshelf_core.configuration import ServiceKind
from cowslipshelf_core.identifiers import ModelName, RequestId, ServiceName


class CallerCall(NamedTuple):
    """Be one call of a caller; its key is not checked yet."""

    request_id: RequestId
    customer_key: str
    """The key as it was sent; compare its hash, and never log it."""
    service: ServiceName | None
    """None where neither the path nor a header names one."""
    kind: ServiceKind
    model: ModelName
    """Empty for a plain service."""
    method: str
    path: str
    """Path and query for the upstream."""
    headers: tuple[tuple[str, str], ...]
    """Headers for the upstream; the customer's key is not among them."""
    body: bytes
    body_digest: str
    """Hex BLAKE2b of method, service, path and body."""
    streamed: bool
    prompt_tokens: int
    """Estimated from the prompt's size; zero for a plain service."""
    max_output_tokens: int
    prefix_hash: int
    """Stable 64-bit hash of the start of the prompt; zero without one."""
    idempotency_key: str | None
    deadline_seconds: float | None
    """None where the service's default holds."""
    peer: str
    """Address of the caller."""


class ServedModel(NamedTuple):
    """Name a model that a customer may use, and the service that serves it."""

    model: ModelName
    service: ServiceName
