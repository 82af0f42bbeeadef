"""Keep one accepted attempt."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Self

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.upstream import HandOver

MILLISECONDS = 1000.0


class AttemptPhase(Enum):
    """Say how far an accepted attempt has come."""

    WAITING = auto()
    """Accepted, and not handed to the upstream."""
    RESERVED = auto()
    """Its memory is reserved; it waits for the parts of its prompt before its own."""
    HANDED_OVER = auto()
    """Handed to the upstream: from here on it may have run."""
    ACCEPTED = auto()
    """The upstream said that it took it."""
    DECODING = auto()
    """Past its first token."""
    CANCELLING = auto()
    """Cancelled; the upstream may still hold its memory."""


NOT_GIVEN_PHASES = frozenset({AttemptPhase.WAITING, AttemptPhase.RESERVED})

PREFILL_PHASES = frozenset(
    {AttemptPhase.WAITING, AttemptPhase.HANDED_OVER, AttemptPhase.ACCEPTED}
)


@dataclass(slots=True)
class Attempt:
    """Be an attempt that was accepted and has not ended."""

    hand_over: HandOver
    phase: AttemptPhase
    arrived_at: float
    deadline_at: float
    started_at: float = 0.0
    first_token_at: float = 0.0
    cancelled_at: float = 0.0
    cancel_sent_at: float = 0.0
    overlapped: bool = False
    """Whether another prompt was prefilled at the same time."""
    found_prefix: bool = False
    """Whether its prefix was hot when it started."""

    @classmethod
    def from_hand_over(cls, hand_over: HandOver, now: float, longest: float) -> Self:
        """Accept a hand-over at `now`, with a deadline of `longest` seconds at most."""
        deadline_at = now + min(hand_over.deadline_seconds, longest)
        return cls(hand_over, AttemptPhase.WAITING, now, deadline_at)

    @property
    def attempt_id(self) -> AttemptId:
        """Return the id of the attempt."""
        return self.hand_over.attempt_id

    @property
    def waits(self) -> bool:
        """Return whether the upstream has not been given it."""
        return self.phase is AttemptPhase.WAITING

    @property
    def was_given(self) -> bool:
        """Return whether the upstream was given it, and so may have run it."""
        return self.phase not in NOT_GIVEN_PHASES

    @property
    def waiting_rank(self) -> float:
        """Return its place among waiting attempts; the lowest is started first.

        The priority is slack in milliseconds, so this is the time by which it wants to
        start. Later arrivals count from their own arrival, so however urgent they are,
        they pass an older attempt only until that one's slack is used up.
        """
        return self.arrived_at + self.hand_over.priority / MILLISECONDS


def tokens_needed(hand_over: HandOver) -> int:
    """Return the memory that an attempt takes when it has run to its end."""
    output_tokens = 0 if hand_over.is_part else hand_over.max_output_tokens
    return hand_over.prefill_tokens + output_tokens
