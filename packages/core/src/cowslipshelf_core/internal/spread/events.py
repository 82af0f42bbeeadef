"""Define the events that a spread hand-over handles."""

from dataclasses import dataclass

from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.messages import AttemptRefused
from cowslipshelf_core.prompt_parts import KvReference


@dataclass(frozen=True, slots=True)
class SpreadStarted:
    """Start the hand-over; the first event, sent once."""


@dataclass(frozen=True, slots=True)
class PartRefused:
    """Report that a sidecar refused a part."""

    attempt_id: AttemptId
    refused: AttemptRefused


@dataclass(frozen=True, slots=True)
class PartUnanswered:
    """Report that the hand-over of a part got no answer."""

    attempt_id: AttemptId
    may_have_arrived: bool
    detail: str


@dataclass(frozen=True, slots=True)
class PartReserved:
    """Report that memory is reserved for a part."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class PartFilled:
    """Report that an engine has prefilled its part and holds the KV cache."""

    attempt_id: AttemptId
    part: KvReference


@dataclass(frozen=True, slots=True)
class PartLost:
    """Report that an accepted part ended early or that its stream was lost."""

    attempt_id: AttemptId
    refusal: Refusal | None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class BeginAnswered:
    """Report whether a sidecar acknowledged the call to begin a part."""

    attempt_id: AttemptId
    acknowledged: bool


@dataclass(frozen=True, slots=True)
class LastRevoked:
    """Report whether the sidecar guarantees that the last part never runs."""

    promised: bool


@dataclass(frozen=True, slots=True)
class BackoffElapsed:
    """Report that the requested wait is over."""


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Report that time has passed; sent with every heartbeat of a sidecar."""


@dataclass(frozen=True, slots=True)
class NoLongerWanted:
    """Report that the caller disconnected or its deadline passed."""


SpreadEvent = (
    SpreadStarted
    | PartRefused
    | PartUnanswered
    | PartReserved
    | PartFilled
    | PartLost
    | BeginAnswered
    | LastRevoked
    | BackoffElapsed
    | TimePassed
    | NoLongerWanted
)
