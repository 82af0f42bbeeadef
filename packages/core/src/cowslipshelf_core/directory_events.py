"""Define what the directory tells the router about upstreams."""

from dataclasses import dataclass
from enum import StrEnum

from cowslipshelf_core.identifiers import Epoch, UpstreamId
from cowslipshelf_core.upstream import LoadReport, UpstreamDescription


class UnavailableReason(StrEnum):
    """Name why an upstream gets no new work."""

    SUSPECTED = "suspected"
    """Silent here; it is back in use with its next announcement."""
    REMOVED = "removed"
    """Silent for good, or withdrawn."""
    RESTARTED = "restarted"
    """Its sidecar started anew: attempts at the earlier start are lost."""
    LEAVING = "leaving"
    DRAINING = "draining"
    HELD_BACK = "held_back"
    """Back again, but it comes and goes too often, or many come back at once."""


RETURNING_REASONS = frozenset(
    {
        UnavailableReason.SUSPECTED,
        UnavailableReason.RESTARTED,
        UnavailableReason.HELD_BACK,
    }
)
"""Reasons after which the same upstream is expected to take work again."""


@dataclass(frozen=True, slots=True)
class UpstreamAvailable:
    """Say that an upstream may be given work, under this start of its sidecar."""

    description: UpstreamDescription
    epoch: Epoch
    load: LoadReport
    doubtful: bool = False
    """Silent, and kept only because most upstreams fell silent together."""


@dataclass(frozen=True, slots=True)
class UpstreamUnavailable:
    """Say that an upstream must not be given new work."""

    upstream_id: UpstreamId
    reason: UnavailableReason


@dataclass(frozen=True, slots=True)
class LoadUpdated:
    """Carry a newer load report of an available upstream."""

    upstream_id: UpstreamId
    epoch: Epoch
    load: LoadReport
