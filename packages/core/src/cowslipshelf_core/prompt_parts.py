"""Describe the parts of a prompt that is placed over several engines."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import Epoch, UpstreamId


class KvReference(NamedTuple):
    """Refer to the KV cache that an engine holds of some tokens of one prompt."""

    handle: str
    prompt_seed: int
    """Tells the engines' prompts apart; an engine refuses another prompt's part."""
    from_token: int
    to_token: int


class PartAssignment(NamedTuple):
    """Tell which engine prefills a part of a prompt for another engine."""

    upstream_id: UpstreamId
    epoch: Epoch
    """Start of the sidecar that was meant; another start refuses the part."""
    attempts_address: str
    """IP:port where the sidecar takes attempts over HTTP."""
    load_sequence: int
    """`LoadReport.sequence` on which the choice was based; see `HandOver`."""
    from_token: int
    to_token: int
