"""Follow what an engine does, pass by pass, from what was placed on it.

A pass takes up what is unread when it begins; whoever comes later waits for its end,
however urgent. With writers a pass reads up to a chunk in each of its steps, so one
that reads long prompts lasts up to seconds, and the time that is left of it decides
whether a short prompt is in time there.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.internal.gateway.configuration import EngineModel
from cowslipshelf_core.internal.gateway.messages import EnginePart, EngineWork
from cowslipshelf_core.internal.gateway.prompt_cost import decode_pass_seconds

ROUNDING_CHUNKS = 1e-9
"""Rest of a part that is only a rounding error."""
LEAST_PASS_SECONDS = 1e-4
"""Length of a pass whose steps take no time by their model: following such an engine
would come to no end. A real pass takes four hundred times as long."""


@dataclass(slots=True)
class FollowedPart:
    """Be what an engine does of one attempt."""

    work: EngineWork
    part: EnginePart
    begun_at: float
    left_seconds: float
    left_chunks: float
    writing: bool = False
    late: bool = False
    """Whether its first event or a pause came too late already."""

    @property
    def is_read(self) -> bool:
        """Tell whether nothing is left to read, the pass under way included."""
        return self.left_chunks <= 0.0

    def read(self, chunks: float) -> float:
        """Read so many chunks; return the time that it takes."""
        seconds = self.left_seconds * chunks / self.left_chunks
        self.left_seconds -= seconds
        self.left_chunks -= chunks
        if self.left_chunks <= ROUNDING_CHUNKS:
            self.left_seconds = self.left_chunks = 0.0
        return seconds


class DueChange(NamedTuple):
    """Be a change that happened since the engine was last looked at."""

    at: float
    make: Callable[[], None]


@dataclass(slots=True)
class EngineSimulation:
    """Be one engine as its published model says that it goes on."""

    parts: dict[AttemptId, FollowedPart] = field(default_factory=dict)
    """In the order in which they were placed."""
    due: list[DueChange] = field(default_factory=list)
    clock: float = -math.inf
    pass_ends_at: float = -math.inf
    model: EngineModel | None = None
    """As it was when the engine was last looked at."""

    # Changes, which are made in the order of their times.

    def place(self, work: EngineWork, part: EnginePart, at: float) -> None:
        """Note a part that was placed at a time."""
        followed = FollowedPart(work, part, at, part.prefill_seconds, part.chunks)
        self.due.append(
            DueChange(at, lambda: self.parts.update({work.attempt_id: followed}))
        )

    def first_token(self, attempt_id: AttemptId, at: float) -> None:
        """Note that all parts of an attempt have been read."""
        self.due.append(DueChange(at, lambda: self.note_written(attempt_id, at)))

    def end(self, attempt_id: AttemptId, at: float) -> None:
        """Note that an attempt is over."""
        self.due.append(DueChange(at, lambda: self.parts.pop(attempt_id, None)))

    def note_written(self, attempt_id: AttemptId, at: float) -> None:
        """Let an attempt write; an engine that only helped is done with it."""
        followed = self.parts.get(attempt_id)
        if followed is None:
            return
        followed.left_seconds = followed.left_chunks = 0.0
        if followed.part.decodes:
            followed.writing = True
            waited = at - followed.begun_at
            followed.late |= waited > followed.work.objective_seconds
            self.meet_pass(at)
        elif not followed.part.memory_tokens:
            del self.parts[attempt_id]

    def meet_pass(self, at: float) -> None:
        """Set the clock by an event, with which a pass has just ended.

        Only where nothing is read, as else its word may come late of a pass that is
        over; so the passes of an engine that only writes are met within milliseconds.
        """
        if not self.unread():
            self.pass_ends_at = min(self.pass_ends_at, at)

    # The passes.

    def follow(self, model: EngineModel, now: float) -> None:
        """Let the engine go on until a time."""
        self.model = model
        due, self.due = sorted(self.due, key=lambda change: change.at), []
        for change in due:
            self.run_until(model, change.at)
            change.make()
        self.run_until(model, now)

    def run_until(self, model: EngineModel, now: float) -> None:
        """Begin every pass that begins before a time; late word changes nothing."""
        while self.pass_ends_at <= now:
            begins_at = max(self.pass_ends_at, self.clock)
            if any(followed.writing for followed in self.parts.values()):
                self.begin_pass(model, begins_at, now)
            elif not self.read_alone(begins_at, now):
                break
        self.clock = max(self.clock, now)

    def begin_pass(self, model: EngineModel, begins_at: float, now: float) -> None:
        """Begin a pass with writers; where nothing is read, skip to the last one."""
        unread = self.unread()
        chunks = float(model.steps_per_pass)
        reading = 0.0
        for followed in unread:
            taken = min(chunks, followed.left_chunks)
            reading += followed.read(taken)
            chunks -= taken
            self.begin_writing(followed)
            if chunks <= 0.0:
                break
        seconds = max(LEAST_PASS_SECONDS, reading + self.writing_seconds(model))
        self.note_late(seconds)
        if not unread:
            seconds *= math.floor(max(0.0, now - begins_at) / seconds) + 1
        self.pass_ends_at = begins_at + seconds

    def note_late(self, seconds: float) -> None:
        """Note who is held up for too long by a pass."""
        for followed in self.parts.values():
            if followed.writing and seconds > followed.work.pause_seconds:
                followed.late = True

    def writing_seconds(self, model: EngineModel) -> float:
        """Return the time of a pass that reads nothing."""
        writers = sum(followed.writing for followed in self.parts.values())
        context = sum(each.part.memory_tokens for each in self.parts.values())
        return decode_pass_seconds(model, writers, context)

    def read_alone(self, begins_at: float, now: float) -> bool:
        """Read without writers, whose passes are too short to count.

        Returns whether somebody begins to write before `now`.
        """
        left = now - begins_at
        for followed in self.unread():
            seconds = min(left, followed.left_seconds)
            if followed.left_seconds <= left:
                followed.read(followed.left_chunks)
            else:
                followed.read(followed.left_chunks * seconds / followed.left_seconds)
            left -= seconds
            self.begin_writing(followed)
            if followed.writing:
                self.pass_ends_at = now - left
                return True
            if left <= 0.0:
                break
        self.pass_ends_at = min(now, self.pass_ends_at)
        self.clock = now
        return False

    def begin_writing(self, followed: FollowedPart) -> None:
        """Let a prompt write that was read to its end by this engine alone."""
        alone = followed.part.decodes and len(followed.work.parts) == 1
        if alone and followed.is_read:
            followed.writing = True

    def unread(self) -> list[FollowedPart]:
        """Return what no pass has taken up yet, in the order of reading.

        A part that is read for another engine goes ahead of all that is unread, such
        parts that came before included; own prompts are read in their order.
        """
        left = [followed for followed in self.parts.values() if not followed.is_read]
        helping = [followed for followed in left if not followed.part.decodes]
        own = [followed for followed in left if followed.part.decodes]
        return [*reversed(helping), *own]

    def pass_left(self, now: float) -> float:
        """Return the time that is left of the pass under way."""
        return max(0.0, self.pass_ends_at - now)

    def reading_left(self, now: float) -> float:
        """Return the time until all that was placed here will have been read."""
        if self.model is None:
            return 0.0
        self.follow(self.model, now)
        unread = sum(followed.left_seconds for followed in self.unread())
        return self.pass_left(now) + unread
