"""Define what the sidecar's state wants done."""

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
    """Hand an attempt to the upstream; sent once at most for an attempt id."""

    hand_over: HandOver
    parts: tuple[KvReference, ...] = ()
    """What other engines hold of the prompt."""


@dataclass(frozen=True, slots=True)
class ReportReserved:
    """Tell the owner that memory is reserved for a part of a spread prompt."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class RefuseAttempt:
    """Answer the hand-over being handled with a refusal.

    It ends no frames: of a doubled hand-over, the first copy may still run.
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
    """Ask the upstream to stop an attempt."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class ReleaseAtUpstream:
    """Ask the upstream to free memory that no attempt here claims."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class DropFrames:
    """Drop the frames of a finished attempt: nobody may read them any more."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class AnswerRevoke:
    """Answer the revocation being handled."""

    answer: NeverRan | MayHaveRun


class OrderRefusalReason(StrEnum):
    """Name why an order is not given to the upstream."""

    OLD_NUMBER = "old_number"
    """A newer order is known; the giver may have lost its place."""
    REPEATED = "repeated"
    """This very order was given before."""
    IN_PROGRESS = "in_progress"
    """Another order runs; send this one again later."""
    NOT_CONFIRMED = "not_confirmed"
    """No quorum has told the newest number since the start; send it again later."""
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class RunOrder:
    """Give the upstream an order; `OrderFinished` must follow."""

    order: FencedOrder


@dataclass(frozen=True, slots=True)
class RefuseOrder:
    """Refuse an order, with the newest number known."""

    order: FencedOrder
    reason: OrderRefusalReason
    newest_number: FencingNumber


@dataclass(frozen=True, slots=True)
class RequestFencing:
    """Ask a quorum for the upstream's newest fencing number."""

    upstream_id: UpstreamId


@dataclass(frozen=True, slots=True)
class LeavingFinished:
    """Say that nothing runs here any more and nothing ever will."""


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
