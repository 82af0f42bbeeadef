"""Define a call as it was parsed, before authentication and admission."""

from typing import NamedTuple

from cowslipshelf_core.configuration import ServiceKind
from cowslipshelf_core.gateway import PartDigest
from cowslipshelf_core.identifiers import ModelName, RequestId, ServiceName


class CallerCall(NamedTuple):
    """Hold one call of a caller; its key has not been checked yet."""

    request_id: RequestId
    customer_key: str
    """The key as sent; compare only its hash, and never log it."""
    service: ServiceName | None
    """None if neither the path nor a header names one."""
    kind: ServiceKind
    model: ModelName
    """Empty for a plain service."""
    method: str
    path: str
    """Path and query for the upstream."""
    headers: tuple[tuple[str, str], ...]
    """Headers for the upstream, without the customer's key."""
    body: bytes
    body_digest: str
    """Hex BLAKE2b of method, service, path and body."""
    streamed: bool
    prompt_tokens: int
    """Estimated from the size of the prompt; zero for a plain service."""
    max_output_tokens: int
    prefix_hash: int
    """Stable 64-bit hash of the start of the prompt; zero without a prompt."""
    idempotency_key: str | None
    deadline_seconds: float | None
    """None for the default of the service."""
    peer: str
    """Address of the caller."""
    shared_parts: tuple[PartDigest, ...] = ()
    """Parts of the prompt that other prompts may share."""


class ServedModel(NamedTuple):
    """Name a model that a customer may use, and the service that serves it."""

    model: ModelName
    service: ServiceName
