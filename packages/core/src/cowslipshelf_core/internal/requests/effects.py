"""Define the effects that a request's state machine asks its driver to perform."""

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
    """Ask the router for an upstream, with a new attempt id."""

    excluded: frozenset[UpstreamId]
    deadline_seconds: float
    """Time left until the caller's deadline."""


@dataclass(frozen=True, slots=True)
class AskClaim:
    """Ask the replicated state for the claim on a key."""

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
    """Store the outcome of a claim before performing the effects that follow.

    A driver that cannot commit it in time continues: a resend then finds the claim
    open, tries to revoke its attempt and gets "outcome unknown", never a second run.
    """

    claim: ClaimFinished
    wait_seconds: float
    """How long to wait for the commit; a lost quorum must not block an answer."""


@dataclass(frozen=True, slots=True)
class SendHandOver:
    """Hand over an attempt to a sidecar; sent at most once."""

    address: str
    hand_over: HandOver


@dataclass(frozen=True, slots=True)
class Resume:
    """Read an attempt's frames after the given sequence number."""

    address: str
    """IP:port; empty if another entry instance chose the upstream, see `Revoke`."""
    attempt_id: AttemptId
    after_sequence: int
    upstream_id: UpstreamId


@dataclass(frozen=True, slots=True)
class Revoke:
    """Ask a sidecar to guarantee that an attempt will never run.

    The address is empty if another entry instance chose the upstream. The driver then
    looks it up, and answers None if it does not know the upstream.
    """

    address: str
    attempt_id: AttemptId
    epoch: Epoch
    upstream_id: UpstreamId
    load_sequence: int = 0
    """`HandOver.load_sequence` of the attempt; zero if unknown."""


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt without waiting for the result."""

    address: str
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class AskRetryBudget:
    """Ask whether the process's retry budget allows a retry."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait, then feed back `WaitElapsed`."""

    seconds: float


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Send the status and headers of the caller's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """Send the next chunk of the caller's answer."""

    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """End a complete answer; a final effect."""


@dataclass(frozen=True, slots=True)
class AnswerRefusal:
    """End with a refusal, inside the stream if the head was sent; a final effect."""

    refusal: Refusal
    head_sent: bool


@dataclass(frozen=True, slots=True)
class Report:
    """Report to the router how its placement went."""

    event: RouterFeedback


@dataclass(frozen=True, slots=True)
class Note:
    """Record a line of text that explains what happened to the request."""

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
"""Each request produces exactly one of these; only clean-up effects follow it."""
