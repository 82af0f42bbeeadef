"""Define the events that the sidecar's state machine handles."""

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.identifiers import AttemptId, Epoch, FencingNumber, InstanceId
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.upstream import HandOver


class FencedOrder(Protocol):
    """Define an order to the upstream with its fencing number."""

    @property
    def fencing(self) -> FencingNumber:
        """Return the index of the order in the replicated log."""


class HeldMemory(NamedTuple):
    """Hold the memory that the engine reports for an attempt."""

    attempt_id: AttemptId
    tokens: int


@dataclass(frozen=True, slots=True)
class HandOverArrived:
    """Submit an attempt; it is accepted unless `RefuseAttempt` is returned."""

    hand_over: HandOver


@dataclass(frozen=True, slots=True)
class UpstreamAccepted:
    """Report that the upstream accepted an attempt."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class FirstTokenArrived:
    """Report that the prompt of an attempt is prefilled."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class UpstreamUnreachable:
    """Report that the upstream's address accepts no connections."""


@dataclass(frozen=True, slots=True)
class UpstreamFinished:
    """Report that the upstream's answer has ended, completely or not, or failed."""

    attempt_id: AttemptId
    whole: bool
    output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class PartsArrived:
    """Report that the earlier prompt parts of a reserved attempt are prefilled."""

    attempt_id: AttemptId
    parts: tuple[KvReference, ...]


@dataclass(frozen=True, slots=True)
class RevokeArrived:
    """Request the guarantee that an attempt never ran and never will."""

    attempt_id: AttemptId
    epoch: Epoch
    load_sequence: int = 0
    """`HandOver.load_sequence` of the attempt; zero if the sender does not know it."""


@dataclass(frozen=True, slots=True)
class CancelArrived:
    """Cancel an attempt whose answer is no longer wanted."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class OwnerSeen:
    """Renew an owner's lease, because it sent a message or reads a stream."""

    owner: InstanceId


@dataclass(frozen=True, slots=True)
class InventoryRead:
    """Report all memory that the engine holds for attempts."""

    held: tuple[HeldMemory, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """Report that a configuration is now in force in this process."""

    configuration: FleetConfiguration


@dataclass(frozen=True, slots=True)
class LeavingStarted:
    """Start to leave: refuse new work, and let accepted work finish."""


@dataclass(frozen=True, slots=True)
class OrderArrived:
    """Submit an order for the upstream."""

    order: FencedOrder


@dataclass(frozen=True, slots=True)
class FencingConfirmed:
    """Report the upstream's newest fencing number, confirmed by a quorum.

    It must be the answer to a request from this start of the sidecar.
    """

    number: FencingNumber


@dataclass(frozen=True, slots=True)
class OrderFinished:
    """Report that the upstream has run an order, or can't."""

    number: FencingNumber
    succeeded: bool


@dataclass(frozen=True, slots=True)
class TickElapsed:
    """Report that time has passed; sent at least once a second."""


SidecarEvent = (
    HandOverArrived
    | UpstreamAccepted
    | FirstTokenArrived
    | UpstreamFinished
    | PartsArrived
    | UpstreamUnreachable
    | RevokeArrived
    | CancelArrived
    | OwnerSeen
    | InventoryRead
    | ConfigurationApplied
    | LeavingStarted
    | OrderArrived
    | FencingConfirmed
    | OrderFinished
    | TickElapsed
)
