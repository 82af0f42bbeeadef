"""Define the parts of a prompt that is prefilled on several engines."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import Epoch, UpstreamId


class KvReference(NamedTuple):
    """Refer to the KV cache that an engine holds for a token range of one prompt."""

    handle: str
    prompt_seed: int
    """Identifies the prompt; an engine refuses a part of another prompt."""
    from_token: int
    to_token: int


class PartAssignment(NamedTuple):
    """Describe which engine prefills a part of a prompt for another engine."""

    upstream_id: UpstreamId
    epoch: Epoch
    """Start of the sidecar that was chosen; any other start refuses the part."""
    attempts_address: str
    """IP:port where the sidecar accepts attempts over HTTP."""
    load_sequence: int
    """`LoadReport.sequence` on which the choice was based; see `HandOver`."""
    from_token: int
    to_token: int
