"""Hold the attempts of an engine and what each has generated."""

from dataclasses import dataclass, field
from enum import Enum
from threading import Event
from typing import Protocol

from cowslipshelf_standins.internal.prompts import Prompt


class AttemptState(Enum):
    """Say how far an attempt is."""

    QUEUED = "queued"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    FINISHED = "finished"
    CANCELLED = "cancelled"


class EventReader(Protocol):
    """Be what wants to know of an attempt's fresh events."""

    def push(self) -> None:
        """Take fresh events without blocking."""


@dataclass(slots=True, eq=False)
class Attempt:
    """Be one attempt that the engine holds."""

    attempt_id: str
    completion_id: str
    prompt: Prompt
    priority: int
    resume_from: int
    """Output tokens that an earlier attempt has delivered."""
    range_start: int
    range_end: int
    """Prompt tokens from `range_start` up to here are this engine's part."""
    imported_tokens: int
    """Tokens of its part whose KV cache was imported by reference."""
    arrival: int
    state: AttemptState = AttemptState.QUEUED
    position: int = 0
    """Prompt tokens, resumed output included, that need no more prefill."""
    generated: int = 0
    """Output tokens so far, those of earlier attempts included."""
    reserved_tokens: int = 0
    ended_at: float = 0.0
    event_ends: list[int] = field(default_factory=list)
    ended_event: Event = field(default_factory=Event)
    readers: list[EventReader] = field(default_factory=list)

    @property
    def is_prefill_only(self) -> bool:
        """Say whether this only prefills a part of the prompt, for export."""
        return self.range_end < self.prompt.tokens

    @property
    def needed_tokens(self) -> int:
        """Return the memory that the attempt takes while it runs."""
        own = self.range_end - self.range_start - self.imported_tokens
        return own if self.is_prefill_only else own + self.prompt.max_output_tokens

    @property
    def prefill_end(self) -> int:
        """Return the position at which prefill is done."""
        return (
            self.range_end
            if self.is_prefill_only
            else self.range_end + self.resume_from
        )

    @property
    def ended(self) -> bool:
        """Say whether nothing more will be generated."""
        return self.state in (AttemptState.FINISHED, AttemptState.CANCELLED)

    def publish(self, state: AttemptState, generated: int) -> None:
        """Put new progress in place; who waits for the end is woken at the end."""
        if generated > self.generated:
            self.event_ends.append(generated)
        self.generated = generated
        self.state = state
        if self.ended:
            self.ended_event.set()

    def tokens_before(self, sequence: int) -> int:
        """Return the output tokens generated before the event after `sequence`."""
        return self.event_ends[sequence - 1] if sequence else self.resume_from
