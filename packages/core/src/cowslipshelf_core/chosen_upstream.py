"""Define the upstream that the router chose for one attempt."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId, Epoch, UpstreamId
from cowslipshelf_core.prompt_parts import PartAssignment


class ChosenUpstream(NamedTuple):
    """Describe where one attempt of a request is to be handed over."""

    attempt_id: AttemptId
    """Id of this attempt, created by the caller of the router."""
    upstream_id: UpstreamId
    epoch: Epoch
    """Start of the sidecar that was chosen; any other start refuses the attempt."""
    attempts_address: str
    """IP:port where the sidecar accepts attempts over HTTP."""
    priority: int
    """Lower values start first."""
    load_sequence: int = 0
    """`LoadReport.sequence` on which the choice was based; see `HandOver`."""
    helpers: tuple[PartAssignment, ...] = ()
    """Upstreams that prefill the prompt before `from_token`, in token order.

    That is also the order of their upstream ids; this upstream's id comes last.
    """
    from_token: int = 0
    """First prompt token that this upstream prefills itself."""
