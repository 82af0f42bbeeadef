"""Define a caller's request and the limits on processing it."""

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
from cowslipshelf_core.internal.gateway.request_digest import PartDigest


class CallerRequest(NamedTuple):
    """Describe one caller request as the entry instance received it."""

    request_id: RequestId
    owner: InstanceId
    """The entry instance that processes the request."""
    configuration_version: ConfigurationVersion
    customer: CustomerName
    service: ServiceName
    kind: ServiceKind
    model: ModelName
    """Empty for a plain service."""
    idempotency_key: str | None
    service_is_idempotent: bool
    streamed: bool
    """Whether the caller wants the answer in chunks instead of whole at the end."""
    deadline_seconds: float
    """The caller's timeout in seconds, counted from `Started`."""
    prompt_tokens: int
    max_output_tokens: int
    prefix_hash: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_digest: str
    """Hex digest of the body; tells a resend from a different body under one key."""
    shared_parts: tuple[PartDigest, ...] = ()
    """Parts of the prompt that other prompts may share."""

    def is_non_idempotent(self) -> bool:
        """Return whether the request must run at most once."""
        return self.has_key() or not self.service_is_idempotent

    def has_key(self) -> bool:
        """Return whether the request has an idempotency key; an empty key is none."""
        return bool(self.idempotency_key)

    def can_be_continued(self) -> bool:
        """Return whether another upstream can continue an interrupted stream.

        Only an engine can skip the tokens that the caller already has.
        """
        return self.kind == "model" and self.streamed and not self.is_non_idempotent()


class RequestConfig(NamedTuple):
    """Limit the retries and memory of one request."""

    max_attempts: int = 4
    """Hand-overs of one request."""
    max_resumes: int = 3
    """Consecutive resumes without a new chunk."""
    max_revokes: int = 3
    """Revoke calls to one sidecar for one attempt."""
    backoff_base_seconds: float = 0.01
    backoff_cap_seconds: float = 1.0
    max_stored_answer_bytes: int = 65_536
    """Largest answer that is stored for resends under the same key."""
    max_buffered_bytes: int = 131_072
    """Most bytes of an answer that are buffered so that it can still be retried."""
    store_answer_seconds: float = 2.0
    """How long the end of a complete answer waits for the answer to be stored."""
    still_running_retry_seconds: float = 1.0
    """Retry-after time for a resend while the first request is running."""
