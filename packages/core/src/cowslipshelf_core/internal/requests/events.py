"""Define the events that a request's state machine handles."""

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
    """Start the request and the caller's deadline."""


@dataclass(frozen=True, slots=True)
class Placed:
    """Report the upstream that the router chose."""

    chosen: ChosenUpstream


@dataclass(frozen=True, slots=True)
class PlacementRefused:
    """Report that the router has no upstream for the request."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """Report the committed answer to a claim, a move of a claim or a look-up."""

    answer: ClaimGranted | ClaimHeld | ClaimRefused | ClaimAbsent
    owner_gone: bool = False
    """Whether the entry instance that holds the key is considered dead."""


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """Report that it is unknown whether the claim command was committed."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class HandOverAnswered:
    """Report that the sidecar accepted (`refused` is None) or refused the attempt."""

    refused: AttemptRefused | None
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class HandOverLost:
    """Report that a hand-over got no answer."""

    may_have_arrived: bool
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class FrameArrived:
    """Deliver the next frame of an attempt's stream."""

    frame: Frame
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class StreamLost:
    """Report that the stream of an attempt was cut or timed out."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class ResumeAnswered:
    """Report whether the sidecar resumes after the requested sequence number."""

    resumed: bool
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class RevokeAnswered:
    """Report the sidecar's answer to a revoke; None if it was unreachable."""

    answer: NeverRan | MayHaveRun | None
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class RetryAnswered:
    """Report whether the retry budget allows a retry."""

    allowed: bool
    jitter: float
    """Drawn uniformly from [0, 1) by the driver; scales the backoff."""


@dataclass(frozen=True, slots=True)
class WaitElapsed:
    """Report that the requested wait is over."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """Report that the caller's deadline has passed."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """Report that the caller closed its connection."""


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
