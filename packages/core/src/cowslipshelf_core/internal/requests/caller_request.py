"""Describe a caller's request and the limits under which it is carried."""

from typing import NamedTuple

from cowslipshelf_core.configuration import ServiceKind
from cowslipshelf_core.identifiers import (
    ConfigurationVersion,
    CustomerName,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
)


class CallerRequest(NamedTuple):
    """Be one request of a caller, as the entry instance took it in."""

    request_id: RequestId
    owner: InstanceId
    """The entry instance that carries the request."""
    configuration_version: ConfigurationVersion
    customer: CustomerName
    service: ServiceName
    kind: ServiceKind
    model: ModelName
    """Empty for a plain service."""
    idempotency_key: str | None
    service_is_idempotent: bool
    streamed: bool
    """Whether the caller wants pieces as they come, not the whole at the end."""
    deadline_seconds: float
    """Time that the caller gives, from the first event on."""
    prompt_tokens: int
    most_output_tokens: int
    prefix_hash: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_digest: str
    """Hex digest that tells a resend from another body under the same key."""

    def is_non_idempotent(self) -> bool:
        """Tell whether the request must run at most once."""
        return self.has_key() or not self.service_is_idempotent

    def has_key(self) -> bool:
        """Tell whether a claim guards the request; an empty key is none."""
        return bool(self.idempotency_key)

    def can_be_continued(self) -> bool:
        """Tell whether another upstream can go on where one stopped.

        Only an engine knows how to skip tokens that the caller already has.
        """
        return self.kind == "model" and self.streamed and not self.is_non_idempotent()


class RequestConfig(NamedTuple):
    """Bound what one request may cost."""

    max_attempts: int = 4
    """Placements of one request that may be handed over."""
    max_resumes: int = 3
    """Resumes in a row that brought no new piece."""
    max_revokes: int = 3
    """Questions to one sidecar whether an attempt can still be revoked."""
    backoff_base_seconds: float = 0.01
    backoff_cap_seconds: float = 1.0
    max_stored_answer_bytes: int = 65_536
    """Longest answer that is stored for resends under the same key."""
    max_buffered_bytes: int = 131_072
    """Longest part of an answer that is held back so that it can be retried."""
    store_answer_seconds: float = 2.0
    """How long a whole answer waits to be stored before its caller has its end."""
    still_running_retry_seconds: float = 1.0
    """When a resend is told to ask again while the first is running."""
