"""Define upstreams, their load and the attempts handed to them."""

from typing import NamedTuple

from cowslipshelf_core.configuration import ServiceKind
from cowslipshelf_core.identifiers import (
    AttemptId,
    ConfigurationVersion,
    CustomerName,
    DataCentre,
    Epoch,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
    UpstreamId,
)


class UpstreamDescription(NamedTuple):
    """Describe an upstream in its announcements."""

    upstream_id: UpstreamId
    data_centre: DataCentre
    service: ServiceName
    kind: ServiceKind
    models: tuple[ModelName, ...]
    memory_tokens: int
    """Capacity of its KV cache in tokens; zero for a plain service."""
    checks_fencing: bool
    attempts_address: str
    """IP:port where its sidecar accepts attempts over HTTP."""


class LoadReport(NamedTuple):
    """Report the load of an upstream, counted by its sidecar and never estimated."""

    sequence: int = 0
    running: int = 0
    """Attempts handed to the upstream that have not ended."""
    decoding: int = 0
    """Attempts that have generated their first token."""
    prefill_tokens: int = 0
    """Prompt tokens that are accepted but not yet prefilled."""
    reserved_tokens: int = 0
    memory_tokens: int = 0
    prefill_seconds_per_token: float = 0.0
    prefill_seconds_per_token_squared: float = 0.0
    decode_seconds_per_token: float = 0.0
    hot_prefixes: tuple[int, ...] = ()
    """Hashes of prompt prefixes that are probably cached; a hint that may be wrong."""


class HandOver(NamedTuple):
    """Transfer one attempt of a request from an entry to a sidecar; sent only once."""

    request_id: RequestId
    attempt_id: AttemptId
    owner: InstanceId
    """Entry instance whose messages keep the attempt and its reservation alive."""
    upstream_id: UpstreamId
    sidecar_epoch: Epoch
    """Start of the sidecar that the entry chose; any other start refuses."""
    configuration_version: ConfigurationVersion
    customer: CustomerName
    service: ServiceName
    model: ModelName
    non_idempotent: bool
    deadline_seconds: float
    """Remaining time until the caller's deadline when this was sent."""
    prompt_tokens: int
    max_output_tokens: int
    priority: int
    """Slack in milliseconds; attempts with less slack start first."""
    prefix_hash: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    delivered_tokens: int = 0
    """Output tokens that the caller already received from an earlier attempt."""
    load_sequence: int = 0
    """`LoadReport.sequence` of this sidecar on which the entry's choice was based.

    It orders hand-overs by the sidecar's own counter. So a late copy of an attempt that
    was revoked or has ended is refused even after the attempt was forgotten,
    independent of clocks.
    """
    from_token: int = 0
    """First token to prefill here; other engines hold the KV cache before it."""
    to_token: int | None = None
    """End of the part to prefill for another engine; None to generate the answer."""

    @property
    def is_part(self) -> bool:
        """Return whether only a part is prefilled here, and no answer generated."""
        return self.to_token is not None

    @property
    def is_spread(self) -> bool:
        """Return whether the prompt is prefilled on several engines."""
        return self.is_part or self.from_token > 0

    @property
    def prefill_tokens(self) -> int:
        """Return the number of prompt tokens to prefill here."""
        end = self.prompt_tokens if self.to_token is None else self.to_token
        return end - self.from_token
