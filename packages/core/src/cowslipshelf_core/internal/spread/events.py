"""Define what a spread hand-over is told."""

from dataclasses import dataclass

from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.messages import AttemptRefused
from cowslipshelf_core.prompt_parts import KvReference


@dataclass(frozen=True, slots=True)
class SpreadStarted:
    """Begin; the first event, once."""


@dataclass(frozen=True, slots=True)
class PartRefused:
    """Say that a sidecar refused a part."""

    attempt_id: AttemptId
    refused: AttemptRefused


@dataclass(frozen=True, slots=True)
class PartUnanswered:
    """Say that the hand-over of a part got no answer."""

    attempt_id: AttemptId
    may_have_arrived: bool
    detail: str


@dataclass(frozen=True, slots=True)
class PartReserved:
    """Say that memory is reserved for a part."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class PartFilled:
    """Say that an engine holds the KV cache of its part."""

    attempt_id: AttemptId
    part: KvReference


@dataclass(frozen=True, slots=True)
class PartLost:
    """Say that an accepted part ended, or that its stream was lost."""

    attempt_id: AttemptId
    refusal: Refusal | None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class BeginAnswered:
    """Say whether a sidecar is known to have heard that a part may begin."""

    attempt_id: AttemptId
    acknowledged: bool


@dataclass(frozen=True, slots=True)
class LastRevoked:
    """Say whether the last part was promised never to run."""

    promised: bool


@dataclass(frozen=True, slots=True)
class BackoffElapsed:
    """Say that the wait before the next try is over."""


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Say that time has passed; sent with every heartbeat of a sidecar."""


@dataclass(frozen=True, slots=True)
class NoLongerWanted:
    """Say that the caller went away or its deadline passed."""


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
