"""Define the events that the directory sends to the router."""

from dataclasses import dataclass
from enum import StrEnum

from cowslipshelf_core.identifiers import Epoch, UpstreamId
from cowslipshelf_core.upstream import LoadReport, UpstreamDescription


class UnavailableReason(StrEnum):
    """Define why an upstream receives no new requests."""

    SUSPECTED = "suspected"
    """Silent at this entry; its next announcement brings it back."""
    REMOVED = "removed"
    """Silent for too long, or withdrawn."""
    RESTARTED = "restarted"
    """Its sidecar restarted; attempts of the earlier start are lost."""
    LEAVING = "leaving"
    DRAINING = "draining"
    HELD_BACK = "held_back"
    """Heard again, but it flaps, or many upstreams come back at once."""


RETURNING_REASONS = frozenset(
    {
        UnavailableReason.SUSPECTED,
        UnavailableReason.RESTARTED,
        UnavailableReason.HELD_BACK,
    }
)
"""Reasons after which the same upstream is expected to come back."""


@dataclass(frozen=True, slots=True)
class UpstreamAvailable:
    """Report that an upstream may receive requests, with its sidecar's epoch."""

    description: UpstreamDescription
    epoch: Epoch
    load: LoadReport
    doubtful: bool = False
    """Whether it is silent, but kept because most upstreams fell silent together."""


@dataclass(frozen=True, slots=True)
class UpstreamUnavailable:
    """Report that an upstream must not receive new requests."""

    upstream_id: UpstreamId
    reason: UnavailableReason


@dataclass(frozen=True, slots=True)
class LoadUpdated:
    """Report a newer load report of an available upstream."""

    upstream_id: UpstreamId
    epoch: Epoch
    load: LoadReport
