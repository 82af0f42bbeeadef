"""Describe upstreams, their load and the requests handed to them."""

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
    """Be what an upstream says of itself when it announces itself."""

    upstream_id: UpstreamId
    data_centre: DataCentre
    service: ServiceName
    kind: ServiceKind
    models: tuple[ModelName, ...]
    memory_tokens: int
    """Tokens of KV cache that fit its memory; zero for a plain service."""
    checks_fencing: bool
    attempts_address: str
    """IP:port where its sidecar takes attempts over HTTP."""


class LoadReport(NamedTuple):
    """Report how full an upstream is; always from its sidecar, never guessed."""

    sequence: int = 0
    running: int = 0
    """Attempts handed to the upstream and not finished."""
    decoding: int = 0
    """Attempts past their first token."""
    prefill_tokens: int = 0
    """Prompt tokens accepted and not yet prefilled."""
    reserved_tokens: int = 0
    memory_tokens: int = 0
    prefill_seconds_per_token: float = 0.0
    prefill_seconds_per_token_squared: float = 0.0
    decode_seconds_per_token: float = 0.0
    hot_prefixes: tuple[int, ...] = ()
    """Hashes of prompt prefixes believed cached; a hint that may be wrong."""


class HandOver(NamedTuple):
    """Carry one attempt of one request from an entry to a sidecar; sent once only."""

    request_id: RequestId
    attempt_id: AttemptId
    owner: InstanceId
    """Entry instance that keeps the attempt's reservation alive."""
    upstream_id: UpstreamId
    sidecar_epoch: Epoch
    """Start of the sidecar that the entry chose; another start refuses."""
    configuration_version: ConfigurationVersion
    customer: CustomerName
    service: ServiceName
    model: ModelName
    non_idempotent: bool
    deadline_seconds: float
    """Time left of the caller's deadline when this was sent."""
    prompt_tokens: int
    max_output_tokens: int
    priority: int
    """Lower is served first."""
    prefix_hash: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    delivered_tokens: int = 0
    """Output tokens that the caller already has from an earlier attempt."""
    load_sequence: int = 0
    """`LoadReport.sequence` of this sidecar on which the entry's choice was based.

    It dates the choice by the sidecar's own count, so that a copy too old to be told
    from a revoked or finished attempt is refused, whatever the clocks say.
    """
    from_token: int = 0
    """First token to prefill here; other engines hold the KV cache of those before."""
    to_token: int | None = None
    """End of the part that is prefilled for another engine; None generates the answer.
    """

    @property
    def is_part(self) -> bool:
        """Tell whether only a part is prefilled here, and nothing generated."""
        return self.to_token is not None

    @property
    def is_spread(self) -> bool:
        """Tell whether the prompt is placed over several engines."""
        return self.is_part or self.from_token > 0

    @property
    def prefill_tokens(self) -> int:
        """Return the tokens of the prompt that are prefilled here."""
        end = self.prompt_tokens if self.to_token is None else self.to_token
        return end - self.from_token
