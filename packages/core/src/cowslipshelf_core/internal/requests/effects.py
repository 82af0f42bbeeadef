"""Define what a request asks its driver to do."""

from dataclasses import dataclass

from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import AttemptId, Epoch, UpstreamId
from cowslipshelf_core.messages import (
    ClaimAsked,
    ClaimFinished,
    ClaimLookedUp,
    ClaimMoved,
)
from cowslipshelf_core.placement_feedback import RouterFeedback
from cowslipshelf_core.upstream import HandOver


@dataclass(frozen=True, slots=True)
class ChoosePlacement:
    """Ask the router for an upstream, under a fresh attempt id."""

    excluded: frozenset[UpstreamId]
    deadline_seconds: float
    """Time left of the caller's deadline."""


@dataclass(frozen=True, slots=True)
class AskClaim:
    """Ask the replicated state for the right to run under a key."""

    claim: ClaimAsked


@dataclass(frozen=True, slots=True)
class LookUpClaim:
    """Ask the replicated state who holds a key, without claiming it."""

    claim: ClaimLookedUp


@dataclass(frozen=True, slots=True)
class MoveClaim:
    """Ask the replicated state to move a claim to another attempt."""

    claim: ClaimMoved


@dataclass(frozen=True, slots=True)
class FinishClaim:
    """Store how a claim ended; committed before the effects that follow it.

    A driver that cannot commit it in time goes on: a resend then finds the claim
    open, revokes its attempt and gets "outcome unknown", never a second run.
    """

    claim: ClaimFinished
    wait_seconds: float
    """How long to wait for it; a lost quorum must not hold a whole answer back."""


@dataclass(frozen=True, slots=True)
class SendHandOver:
    """Hand an attempt to a sidecar; sent once only."""

    address: str
    hand_over: HandOver


@dataclass(frozen=True, slots=True)
class Resume:
    """Read an attempt's frames on from behind the given sequence."""

    address: str
    """Empty where another entry instance chose the upstream; see `Revoke`."""
    attempt_id: AttemptId
    after_sequence: int
    upstream_id: UpstreamId


@dataclass(frozen=True, slots=True)
class Revoke:
    """Ask a sidecar to promise that an attempt will never run.

    The address is empty where another entry instance chose the upstream: then the
    driver looks it up, and answers None where the upstream is not known.
    """

    address: str
    attempt_id: AttemptId
    epoch: Epoch
    upstream_id: UpstreamId
    load_sequence: int = 0
    """`HandOver.load_sequence` of the attempt; zero where it is not known."""


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop an attempt; nothing waits for the answer."""

    address: str
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class AskRetryBudget:
    """Ask whether the process may spend a retry."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait for the given time before the next event."""

    seconds: float


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Begin the caller's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """Write the next piece of the caller's answer."""

    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """End a whole answer; final."""


@dataclass(frozen=True, slots=True)
class AnswerRefusal:
    """End with a refusal, inside the stream where the head was sent; final."""

    refusal: Refusal
    head_sent: bool


@dataclass(frozen=True, slots=True)
class Report:
    """Tell the router what came of its choice."""

    event: RouterFeedback


@dataclass(frozen=True, slots=True)
class Note:
    """Keep a line for whoever asks what happened to the request."""

    text: str


RequestEffect = (
    ChoosePlacement
    | AskClaim
    | LookUpClaim
    | MoveClaim
    | FinishClaim
    | SendHandOver
    | Resume
    | Revoke
    | Cancel
    | AskRetryBudget
    | Wait
    | AnswerHead
    | AnswerChunk
    | AnswerEnd
    | AnswerRefusal
    | Report
    | Note
)

FinalEffect = AnswerEnd | AnswerRefusal
"""Exactly one of these is given for each request; the driver stops there."""
