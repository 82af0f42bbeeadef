"""Define what can happen to a request."""

from dataclasses import dataclass

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.messages import (
    AttemptRefused,
    ClaimAbsent,
    ClaimGranted,
    ClaimHeld,
    ClaimRefused,
    Frame,
    MayHaveRun,
    NeverRan,
)


@dataclass(frozen=True, slots=True)
class Started:
    """Begin; the caller's deadline counts from here."""


@dataclass(frozen=True, slots=True)
class Placed:
    """Learn the upstream that the router chose."""

    chosen: ChosenUpstream


@dataclass(frozen=True, slots=True)
class PlacementRefused:
    """Learn that the router has no upstream for the request."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """Learn the committed answer to a claim asked for, moved or looked up."""

    answer: ClaimGranted | ClaimHeld | ClaimRefused | ClaimAbsent
    owner_gone: bool = False
    """Whether the entry instance that holds the key is known to be gone."""


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """Learn that nobody can say in time whether the claim was committed."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class HandOverAnswered:
    """Learn that the sidecar took the attempt (None) or refused it."""

    refused: AttemptRefused | None
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class HandOverLost:
    """Learn that no answer came to a hand-over."""

    may_have_arrived: bool
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class FrameArrived:
    """Receive the next frame on the stream of an attempt."""

    frame: Frame
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class StreamLost:
    """Learn that the stream of an attempt was cut or fell silent."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class ResumeAnswered:
    """Learn whether the sidecar reads on from the asked sequence."""

    resumed: bool
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class RevokeAnswered:
    """Learn what the sidecar promised; None where it could not be asked."""

    answer: NeverRan | MayHaveRun | None
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class RetryAnswered:
    """Learn whether the process may spend a retry."""

    allowed: bool
    jitter: float
    """Drawn evenly from [0, 1) by the asker; scales the backoff."""


@dataclass(frozen=True, slots=True)
class WaitElapsed:
    """Learn that the asked wait is over."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """Learn that the caller's deadline is over."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """Learn that the caller has closed its connection."""


RequestEvent = (
    Started
    | Placed
    | PlacementRefused
    | ClaimAnswered
    | ClaimUnavailable
    | HandOverAnswered
    | HandOverLost
    | FrameArrived
    | StreamLost
    | ResumeAnswered
    | RevokeAnswered
    | RetryAnswered
    | WaitElapsed
    | DeadlinePassed
    | CallerGone
)
