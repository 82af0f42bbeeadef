"""Define the events that the directory handles, and its effects."""

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
    """Report a received announcement."""

    announce: Announce
    sender: InstanceId
    sender_address: str


@dataclass(frozen=True, slots=True)
class WithdrawArrived:
    """Report a received withdrawal."""

    withdraw: Withdraw


@dataclass(frozen=True, slots=True)
class SuspectArrived:
    """Report a suspicion received from another entry."""

    sender: InstanceId
    suspect: Suspect


@dataclass(frozen=True, slots=True)
class ObserversChanged:
    """Report which other entry instances are alive."""

    other_entries: frozenset[InstanceId]


@dataclass(frozen=True, slots=True)
class DrainingChanged:
    """Report which upstreams the configuration drains."""

    draining: frozenset[UpstreamId]


@dataclass(frozen=True, slots=True)
class TickElapsed:
    """Report that time has passed; sent at least once a second."""


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
    """Report that most upstreams fell silent together: probably a fault here."""

    silent: int
    known: int


@dataclass(frozen=True, slots=True)
class MassLossEnded:
    """Report that most upstreams are heard again."""

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
