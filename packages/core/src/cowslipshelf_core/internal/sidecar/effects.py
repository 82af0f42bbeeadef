"""Define the effects that the sidecar's state machine requests from its caller."""

from dataclasses import dataclass
from enum import StrEnum

from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import AttemptId, FencingNumber, UpstreamId
from cowslipshelf_core.internal.sidecar.events import FencedOrder
from cowslipshelf_core.messages import AttemptRefused, MayHaveRun, NeverRan
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.upstream import HandOver


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Hand an attempt to the upstream; requested at most once per attempt id."""

    hand_over: HandOver
    parts: tuple[KvReference, ...] = ()
    """KV cache that other engines hold of the prompt's earlier parts."""


@dataclass(frozen=True, slots=True)
class ReportReserved:
    """Tell the owner that memory is reserved for a part of a spread prompt.

    A spread prompt is prefilled on several engines.
    """

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class RefuseAttempt:
    """Answer the hand-over that is being handled with a refusal.

    It does not end the frames of the attempt id: if the hand-over is a duplicate, the
    first copy may still run.
    """

    attempt_id: AttemptId
    refused: AttemptRefused


@dataclass(frozen=True, slots=True)
class EndAttempt:
    """End the frames of an accepted attempt with a refusal."""

    attempt_id: AttemptId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class CancelAtUpstream:
    """Cancel an attempt at the upstream."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class ReleaseAtUpstream:
    """Release memory at the upstream that has no reservation here."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class DropFrames:
    """Drop the frames of a finished attempt; they can no longer be read."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class AnswerRevoke:
    """Answer the revocation that is being handled."""

    answer: NeverRan | MayHaveRun


class OrderRefusalReason(StrEnum):
    """Define why an order is not passed to the upstream."""

    OLD_NUMBER = "old_number"
    """A newer order is known; the sender may no longer be the leader."""
    REPEATED = "repeated"
    """This order was already passed on."""
    IN_PROGRESS = "in_progress"
    """Another order is running; the sender retries later."""
    NOT_CONFIRMED = "not_confirmed"
    """No quorum has confirmed the newest number since the start; retry later."""
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class RunOrder:
    """Run an order at the upstream; `OrderFinished` must follow."""

    order: FencedOrder


@dataclass(frozen=True, slots=True)
class RefuseOrder:
    """Refuse an order, and report the newest known fencing number."""

    order: FencedOrder
    reason: OrderRefusalReason
    newest_number: FencingNumber


@dataclass(frozen=True, slots=True)
class RequestFencing:
    """Request the upstream's newest fencing number from a quorum."""

    upstream_id: UpstreamId


@dataclass(frozen=True, slots=True)
class LeavingFinished:
    """Report that the sidecar has left: nothing runs and nothing will be accepted."""


SidecarEffect = (
    StartAttempt
    | ReportReserved
    | RefuseAttempt
    | EndAttempt
    | CancelAtUpstream
    | ReleaseAtUpstream
    | DropFrames
    | AnswerRevoke
    | RunOrder
    | RefuseOrder
    | RequestFencing
    | LeavingFinished
)
