"""Define an engine's attempts and their progress."""

from dataclasses import dataclass, field
from enum import Enum
from threading import Event
from typing import Protocol

from cowslipshelf_standins.internal.prompts import Prompt


class AttemptState(Enum):
    """Define the states of an attempt."""

    QUEUED = "queued"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    FINISHED = "finished"
    CANCELLED = "cancelled"


class EventReader(Protocol):
    """Receive notice of an attempt's new events."""

    def push(self) -> None:
        """Handle new events without blocking."""


@dataclass(slots=True, eq=False)
class Attempt:
    """Hold one attempt of the engine."""

    attempt_id: str
    completion_id: str
    prompt: Prompt
    priority: int
    resume_from: int
    """Output tokens that earlier attempts delivered."""
    range_start: int
    range_end: int
    """This engine prefills the prompt tokens from `range_start` up to here."""
    imported_tokens: int
    """Tokens of the range whose KV cache was imported by reference."""
    arrival: int
    state: AttemptState = AttemptState.QUEUED
    position: int = 0
    """Tokens of the prompt and the resumed output that need no more prefill."""
    generated: int = 0
    """Output tokens so far, including those of earlier attempts."""
    reserved_tokens: int = 0
    ended_at: float = 0.0
    event_ends: list[int] = field(default_factory=list)
    """Output tokens after each event."""
    ended_event: Event = field(default_factory=Event)
    readers: list[EventReader] = field(default_factory=list)

    @property
    def is_prefill_only(self) -> bool:
        """Return whether the attempt only prefills a part of the prompt, for export."""
        return self.range_end < self.prompt.tokens

    @property
    def needed_tokens(self) -> int:
        """Return the memory that the attempt needs while it runs, in tokens."""
        own = self.range_end - self.range_start - self.imported_tokens
        return own if self.is_prefill_only else own + self.prompt.max_output_tokens

    @property
    def prefill_end(self) -> int:
        """Return the position at which prefill is complete."""
        return (
            self.range_end
            if self.is_prefill_only
            else self.range_end + self.resume_from
        )

    @property
    def ended(self) -> bool:
        """Return whether the attempt finished or was cancelled."""
        return self.state in (AttemptState.FINISHED, AttemptState.CANCELLED)

    def publish(self, state: AttemptState, generated: int) -> None:
        """Set the progress; at the end, wake the threads that wait for it."""
        if generated > self.generated:
            self.event_ends.append(generated)
        self.generated = generated
        self.state = state
        if self.ended:
            self.ended_event.set()

    def tokens_before(self, sequence: int) -> int:
        """Return the output tokens generated before the event after `sequence`."""
        return self.event_ends[sequence - 1] if sequence else self.resume_from
