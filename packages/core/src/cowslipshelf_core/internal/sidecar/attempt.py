"""Define the state of one accepted attempt."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Self

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.upstream import HandOver

MILLISECONDS_PER_SECOND = 1000.0


class AttemptPhase(Enum):
    """Define the phases of an accepted attempt."""

    WAITING = auto()
    """Accepted, not yet handed to the upstream."""
    RESERVED = auto()
    """Its memory is reserved; other engines still prefill the earlier prompt parts."""
    HANDED_OVER = auto()
    """Handed to the upstream; from this phase on it may have run."""
    ACCEPTED = auto()
    """The upstream confirmed that it accepted the attempt."""
    DECODING = auto()
    """The first token has been generated."""
    CANCELLING = auto()
    """Cancelled; the upstream may still hold its memory."""


NOT_HANDED_OVER_PHASES = frozenset({AttemptPhase.WAITING, AttemptPhase.RESERVED})

PREFILL_PHASES = frozenset(
    {AttemptPhase.WAITING, AttemptPhase.HANDED_OVER, AttemptPhase.ACCEPTED}
)


@dataclass(slots=True)
class Attempt:
    """Hold an attempt that was accepted and has not ended."""

    hand_over: HandOver
    phase: AttemptPhase
    arrived_at: float
    deadline_at: float
    started_at: float = 0.0
    first_token_at: float = 0.0
    cancelled_at: float = 0.0
    cancel_sent_at: float = 0.0
    overlapped: bool = False
    """Whether another prompt was being prefilled at the same time."""
    prefix_was_hot: bool = False
    """Whether its prompt prefix was probably cached when it started."""

    @classmethod
    def from_hand_over(
        cls, hand_over: HandOver, now: float, max_seconds: float
    ) -> Self:
        """Accept a hand-over at `now`; cap its deadline at `max_seconds`."""
        deadline_at = now + min(hand_over.deadline_seconds, max_seconds)
        return cls(hand_over, AttemptPhase.WAITING, now, deadline_at)

    @property
    def attempt_id(self) -> AttemptId:
        """Return the attempt id of the hand-over."""
        return self.hand_over.attempt_id

    @property
    def is_waiting(self) -> bool:
        """Return whether it is neither started nor reserved."""
        return self.phase is AttemptPhase.WAITING

    @property
    def was_handed_over(self) -> bool:
        """Return whether it was handed to the upstream, and so may have run."""
        return self.phase not in NOT_HANDED_OVER_PHASES

    @property
    def start_rank(self) -> float:
        """Return its rank among waiting attempts; the lowest starts first.

        The priority is slack in milliseconds, so the rank is the latest time at which
        the attempt should start. The slack counts from an attempt's own arrival, so
        later arrivals, however urgent, overtake an older attempt only until its slack
        is used up.
        """
        return self.arrived_at + self.hand_over.priority / MILLISECONDS_PER_SECOND


def tokens_needed(hand_over: HandOver) -> int:
    """Return the tokens of KV cache that an attempt needs when run to its end."""
    output_tokens = 0 if hand_over.is_part else hand_over.max_output_tokens
    return hand_over.prefill_tokens + output_tokens
