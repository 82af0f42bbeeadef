"""Name the upstream that a router chose for one attempt."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId, Epoch, UpstreamId
from cowslipshelf_core.prompt_parts import PartAssignment


class ChosenUpstream(NamedTuple):
    """Tell where one attempt of a request is to be handed over."""

    attempt_id: AttemptId
    """The fresh id that the asker passed in; it names this attempt for good."""
    upstream_id: UpstreamId
    epoch: Epoch
    """Start of the sidecar that was meant; another start refuses the attempt."""
    attempts_address: str
    """IP:port where the sidecar takes attempts over HTTP."""
    priority: int
    """Lower is served first."""
    load_sequence: int = 0
    """`LoadReport.sequence` on which the choice was based; see `HandOver`."""
    helpers: tuple[PartAssignment, ...] = ()
    """Who prefills the prompt before `from_token`, in token order.

    That is also the order of their upstream ids, and this upstream's comes last.
    """
    from_token: int = 0
    """First token of the prompt that this upstream prefills itself."""
