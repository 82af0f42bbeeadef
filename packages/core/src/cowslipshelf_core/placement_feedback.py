"""Define the feedback of requests to the router about their placement."""

from dataclasses import dataclass
from enum import StrEnum

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.upstream import LoadReport


class AttemptOutcome(StrEnum):
    """Define how an attempt ended, as seen by its entry instance."""

    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NEVER_RAN = "never_ran"


@dataclass(frozen=True, slots=True)
class HandOverAccepted:
    """Report that the sidecar accepted the attempt."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class HandOverRefused:
    """Report that the sidecar refused the attempt, with its current load."""

    attempt_id: AttemptId
    load: LoadReport


@dataclass(frozen=True, slots=True)
class FirstTokenSeen:
    """Report the time from the hand-over to the first token."""

    attempt_id: AttemptId
    seconds: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Report the end of an attempt, exactly once for each placed attempt."""

    attempt_id: AttemptId
    outcome: AttemptOutcome


RouterFeedback = HandOverAccepted | HandOverRefused | FirstTokenSeen | AttemptEnded
