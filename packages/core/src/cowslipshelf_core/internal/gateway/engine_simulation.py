"""Simulate the passes of an engine from the attempts that were placed on it.

A pass prefills the parts that are pending when it begins; later ones wait for its end,
however urgent. A pass that also decodes prefills up to one chunk in each step, so with
long prompts it can last for seconds. The time until its end then decides whether a
short prompt is answered in time there.
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
"""A part with at most this much left counts as prefilled: it is a rounding error."""
MIN_PASS_SECONDS = 1e-4
"""Lower bound on the length of a pass: with a model whose steps take no time, the
simulation would not end. A real pass takes four hundred times as long."""
UNREPORTED_PREFILL_SECONDS = 1.0
"""Time after a simulated prefill in which the real one may still run, if its first
token was not reported. Passes of such prefills made healthy engines count as slow."""


@dataclass(slots=True)
class TrackedPart:
    """Hold the simulated progress of one attempt on an engine."""

    work: EngineWork
    part: EnginePart
    begun_at: float
    left_seconds: float
    left_chunks: float
    decoding: bool = False
    late: bool = False
    """Whether its first event or a later one came too late already."""
    prefilled_at: float = math.inf
    """End of the pass that prefills its last chunk, once that pass has begun."""
    first_token_reported: bool = False

    @property
    def is_prefilled(self) -> bool:
        """Return whether the prefill is done by the end of the current pass."""
        return self.left_chunks <= 0.0

    def prefill(self, chunks: float) -> float:
        """Prefill a number of chunks; return the time that it takes."""
        seconds = self.left_seconds * chunks / self.left_chunks
        self.left_seconds -= seconds
        self.left_chunks -= chunks
        if self.left_chunks <= ROUNDING_CHUNKS:
            self.left_seconds = self.left_chunks = 0.0
        return seconds


class PendingChange(NamedTuple):
    """Hold a change that the simulation has not reached yet."""

    at: float
    apply: Callable[[], None]


@dataclass(slots=True)
class EngineSimulation:
    """Simulate one engine by the model of its service."""

    parts: dict[AttemptId, TrackedPart] = field(default_factory=dict)
    """In the order in which they were placed."""
    pending_changes: list[PendingChange] = field(default_factory=list)
    clock: float = -math.inf
    pass_ends_at: float = -math.inf
    prefill_ends_at: float = -math.inf
    """End of the last pass that prefills while other attempts decode."""
    model: EngineModel | None = None
    """Model used when the simulation last advanced."""

    # Reported changes, applied in the order of their times.

    def place(self, work: EngineWork, part: EnginePart, at: float) -> None:
        """Add a part that was placed at a time."""
        tracked = TrackedPart(work, part, at, part.prefill_seconds, part.chunks)
        self.pending_changes.append(
            PendingChange(at, lambda: self.parts.update({work.attempt_id: tracked}))
        )

    def first_token(self, attempt_id: AttemptId, at: float) -> None:
        """Record that all parts of an attempt have been prefilled."""
        self.pending_changes.append(
            PendingChange(at, lambda: self.finish_prefill(attempt_id, at))
        )

    def end(self, attempt_id: AttemptId, at: float) -> None:
        """Record that an attempt has ended."""
        self.pending_changes.append(
            PendingChange(at, lambda: self.parts.pop(attempt_id, None))
        )

    def finish_prefill(self, attempt_id: AttemptId, at: float) -> None:
        """Start an attempt's decode, or drop it if this engine only helped."""
        tracked = self.parts.get(attempt_id)
        if tracked is None:
            return
        tracked.first_token_reported = True
        tracked.left_seconds = tracked.left_chunks = 0.0
        if tracked.part.decodes:
            tracked.decoding = True
            waited = at - tracked.begun_at
            tracked.late |= waited > tracked.work.objective_seconds
            self.sync_pass_end(at)
        elif not tracked.part.memory_tokens:
            del self.parts[attempt_id]

    def sync_pass_end(self, at: float) -> None:
        """Correct the end of the current pass by an event, which ends a pass.

        Not while parts are pending, since the report of the event may belong to an
        earlier pass. So the passes of an engine that only decodes are known within
        milliseconds.
        """
        if not self.pending_parts():
            self.pass_ends_at = min(self.pass_ends_at, at)

    # Passes.

    def advance(self, model: EngineModel, now: float) -> None:
        """Simulate up to a time, applying the changes on the way."""
        self.model = model
        changes, self.pending_changes = (
            sorted(self.pending_changes, key=lambda change: change.at),
            [],
        )
        for change in changes:
            self.run_until(model, change.at)
            change.apply()
        self.run_until(model, now)

    def run_until(self, model: EngineModel, now: float) -> None:
        """Simulate every pass that begins up to a time; never go back in time."""
        while self.pass_ends_at <= now:
            begins_at = max(self.pass_ends_at, self.clock)
            if any(tracked.decoding for tracked in self.parts.values()):
                self.begin_pass(model, begins_at, now)
            elif not self.prefill_only(begins_at, now):
                break
        self.clock = max(self.clock, now)

    def begin_pass(self, model: EngineModel, begins_at: float, now: float) -> None:
        """Begin a pass that decodes.

        Without pending prefills all passes are alike, so this skips to the end of the
        one that is running at `now`.
        """
        pending = self.pending_parts()
        chunks = float(model.steps_per_pass)
        prefilling = 0.0
        for tracked in pending:
            taken = min(chunks, tracked.left_chunks)
            prefilling += tracked.prefill(taken)
            chunks -= taken
            self.start_decoding(tracked)
            if chunks <= 0.0:
                break
        seconds = max(MIN_PASS_SECONDS, prefilling + self.decode_seconds(model))
        self.mark_late(seconds)
        if not pending:
            seconds *= math.floor(max(0.0, now - begins_at) / seconds) + 1
        self.pass_ends_at = begins_at + seconds
        if pending:
            self.prefill_ends_at = self.pass_ends_at
        self.mark_prefilled(pending, self.pass_ends_at)

    def mark_prefilled(self, parts: list[TrackedPart], at: float) -> None:
        """Record when the parts that a pass finishes are prefilled."""
        for tracked in parts:
            if tracked.is_prefilled:
                tracked.prefilled_at = at

    def mark_late(self, seconds: float) -> None:
        """Mark the attempts for which a pass makes a pause too long."""
        for tracked in self.parts.values():
            if tracked.decoding and seconds > tracked.work.pause_seconds:
                tracked.late = True

    def decode_seconds(self, model: EngineModel) -> float:
        """Return the time of a pass that prefills nothing."""
        decoding = sum(tracked.decoding for tracked in self.parts.values())
        context = sum(each.part.memory_tokens for each in self.parts.values())
        return decode_pass_seconds(model, decoding, context)

    def prefill_only(self, begins_at: float, now: float) -> bool:
        """Prefill while nothing decodes, when passes are too short to matter.

        Returns whether an attempt begins to decode before `now`.
        """
        left = now - begins_at
        for tracked in self.pending_parts():
            seconds = min(left, tracked.left_seconds)
            if tracked.left_seconds <= left:
                tracked.prefill(tracked.left_chunks)
            else:
                tracked.prefill(tracked.left_chunks * seconds / tracked.left_seconds)
            left -= seconds
            self.mark_prefilled([tracked], now - left)
            self.start_decoding(tracked)
            if tracked.decoding:
                self.pass_ends_at = now - left
                return True
            if left <= 0.0:
                break
        self.pass_ends_at = min(now, self.pass_ends_at)
        self.clock = now
        return False

    def start_decoding(self, tracked: TrackedPart) -> None:
        """Start the decode of an attempt that this engine alone has prefilled."""
        alone = tracked.part.decodes and len(tracked.work.parts) == 1
        if alone and tracked.is_prefilled:
            tracked.decoding = True

    def pending_parts(self) -> list[TrackedPart]:
        """Return the parts that the current pass leaves unfinished, in prefill order.

        The newest part for another engine goes first and the engine's own prompts last,
        in the order in which they came.
        """
        left = [tracked for tracked in self.parts.values() if not tracked.is_prefilled]
        helping = [tracked for tracked in left if not tracked.part.decodes]
        own = [tracked for tracked in left if tracked.part.decodes]
        return [*reversed(helping), *own]

    def time_to_pass_end(self, now: float) -> float:
        """Return the time until the current pass ends."""
        return max(0.0, self.pass_ends_at - now)

    def prefill_left_seconds(self, now: float) -> float:
        """Return the time until all parts placed here are prefilled."""
        if self.model is None:
            return 0.0
        self.advance(self.model, now)
        pending = sum(tracked.left_seconds for tracked in self.pending_parts())
        return self.time_to_pass_end(now) + pending

    def prefilled_since(self, since: float, now: float) -> bool:
        """Return whether a pass that decodes has prefilled anything since a time."""
        if self.model is None:
            return False
        self.advance(self.model, now)
        return self.prefill_ends_at > since or bool(self.pending_parts())

    def may_have_prefilled_since(self, since: float, now: float) -> bool:
        """Return whether the engine may have prefilled beside its decodes since a time.

        Unlike `prefilled_since`, includes prefills that may run behind the simulation.
        """
        return self.prefilled_since(since, now) or any(
            tracked.is_prefilled
            and not tracked.first_token_reported
            and since < tracked.prefilled_at + UNREPORTED_PREFILL_SECONDS
            for tracked in self.parts.values()
        )

    def prefilled_at(self, attempt_id: AttemptId, now: float) -> float | None:
        """Return when a part is or will be prefilled; None if it is not tracked."""
        left_seconds = self.prefill_left_seconds(now)
        tracked = self.parts.get(attempt_id)
        if tracked is None:
            return None
        return min(tracked.prefilled_at, now + left_seconds)
