"""Define what the directory is told, and what it tells."""

from dataclasses import dataclass
from enum import StrEnum

from cowslipshelf_core.identifiers import Epoch, InstanceId, UpstreamId
from cowslipshelf_core.messages import Announce, Suspect, Withdraw
from cowslipshelf_core.upstream import LoadReport, UpstreamDescription


@dataclass(frozen=True, slots=True)
class AnnounceArrived:
    """Hand in an announcement."""

    announce: Announce
    sender: InstanceId
    sender_address: str


@dataclass(frozen=True, slots=True)
class WithdrawArrived:
    """Hand in a farewell."""

    withdraw: Withdraw


@dataclass(frozen=True, slots=True)
class SuspectArrived:
    """Hand in another observer's suspicion."""

    sender: InstanceId
    suspect: Suspect


@dataclass(frozen=True, slots=True)
class ObserversChanged:
    """Tell which other entry instances are there."""

    others: frozenset[InstanceId]


@dataclass(frozen=True, slots=True)
class DrainingChanged:
    """Tell which upstreams the configuration drains."""

    draining: frozenset[UpstreamId]


@dataclass(frozen=True, slots=True)
class TickElapsed:
    """Say that time has passed; sent at least once a second."""


DirectoryEvent = (
    AnnounceArrived
    | WithdrawArrived
    | SuspectArrived
    | ObserversChanged
    | DrainingChanged
    | TickElapsed
)


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


@dataclass(frozen=True, slots=True)
class TellEntries:
    """Send a suspicion to all other entry instances."""

    suspect: Suspect


@dataclass(frozen=True, slots=True)
class MassLossBegan:
    """Report that most upstreams fell silent together: a cut on this side."""

    silent: int
    known: int


@dataclass(frozen=True, slots=True)
class MassLossEnded:
    """Report that silence is again a matter of single upstreams."""

    silent: int
    known: int


DirectoryEffect = (
    UpstreamAvailable
    | UpstreamUnavailable
    | LoadUpdated
    | TellEntries
    | MassLossBegan
    | MassLossEnded
)
