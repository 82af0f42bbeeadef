"""Define what the sidecar's state is told."""

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.identifiers import AttemptId, Epoch, FencingNumber, InstanceId
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.upstream import HandOver


class FencedOrder(Protocol):
    """Be an order to the upstream, with its place among all orders."""

    @property
    def fencing(self) -> FencingNumber:
        """Return the index in the replicated log of the order."""


class HeldMemory(NamedTuple):
    """Be memory that the engine says it holds for an attempt."""

    attempt_id: AttemptId
    tokens: int


@dataclass(frozen=True, slots=True)
class HandOverArrived:
    """Ask to run an attempt; it is accepted unless `RefuseAttempt` follows."""

    hand_over: HandOver


@dataclass(frozen=True, slots=True)
class UpstreamAccepted:
    """Say that the upstream took an attempt."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class FirstTokenArrived:
    """Say that an attempt's prompt is prefilled."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class UpstreamUnreachable:
    """Say that nothing takes connections at the upstream's address."""


@dataclass(frozen=True, slots=True)
class UpstreamFinished:
    """Say that the upstream's answer ended, whole or not, or can't be had."""

    attempt_id: AttemptId
    whole: bool
    output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class PartsArrived:
    """Say that the parts before a reserved attempt's own are prefilled."""

    attempt_id: AttemptId
    parts: tuple[KvReference, ...]


@dataclass(frozen=True, slots=True)
class RevokeArrived:
    """Ask for the promise that an attempt never ran and never will."""

    attempt_id: AttemptId
    epoch: Epoch
    load_sequence: int = 0
    """`HandOver.load_sequence` of the attempt, where the asker knows it."""


@dataclass(frozen=True, slots=True)
class CancelArrived:
    """Say that nobody wants an attempt's answer any more."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class OwnerSeen:
    """Renew an owner's lease: it sent a message or reads a stream."""

    owner: InstanceId


@dataclass(frozen=True, slots=True)
class InventoryRead:
    """Tell all the memory that the engine holds for attempts."""

    held: tuple[HeldMemory, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """Say that a configuration is now in force in this process."""

    configuration: FleetConfiguration


@dataclass(frozen=True, slots=True)
class LeavingStarted:
    """Begin to leave for good: no new work, running work finishes."""


@dataclass(frozen=True, slots=True)
class OrderArrived:
    """Ask to give the upstream an order."""

    order: FencedOrder


@dataclass(frozen=True, slots=True)
class FencingConfirmed:
    """Tell the upstream's newest fencing number, as a quorum has it.

    The question must have been asked after this sidecar started.
    """

    number: FencingNumber


@dataclass(frozen=True, slots=True)
class OrderFinished:
    """Say that the upstream carried an order out, or that it can't."""

    number: FencingNumber
    succeeded: bool


@dataclass(frozen=True, slots=True)
class TickElapsed:
    """Say that time has passed; sent at least once a second."""


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
