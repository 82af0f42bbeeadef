"""Define what the directory is told, and what it tells."""

from dataclasses import dataclass

from cowslipshelf_core.directory_events import (
    LoadUpdated,
    UpstreamAvailable,
    UpstreamUnavailable,
)
from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.messages import Announce, Suspect, Withdraw


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


@dataclass(frozen=True, slots=True)
class SendSuspicion:
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
    | SendSuspicion
    | MassLossBegan
    | MassLossEnded
)
