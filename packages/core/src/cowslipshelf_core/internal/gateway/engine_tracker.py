"""Track the attempts on each engine, as reported by all gateways.

Engines report their load late, and gateways that rely on the same report all send their
work to the same engine. So each gateway reports its placements to the others, and all
of them share a view that is a few milliseconds old.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId, InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.configuration import EngineModel
from cowslipshelf_core.internal.gateway.engine_simulation import (
    MIN_PASS_SECONDS,
    EngineSimulation,
)
from cowslipshelf_core.internal.gateway.messages import (
    EngineWork,
    HeldWork,
    WorkHeld,
)

OVERRUN_SECONDS = 0.05
"""Remaining time assumed for an overdue prefill: about one pass of a decoding
engine."""
LONG_PREFILL_SECONDS = 0.12
"""Prefills longer than this explain a silence: no pass that only decodes takes as
long."""
SILENCE_MARGIN_OBJECTIVES = 0.25
"""Silence allowed beyond the time at which an engine should have prefilled everything,
as a share of the objective: 1 s for the longest prompts, whose predictions are off by
up to 0.8 s in nine of ten cases and which are expensive to prefill again; little for
callers that abandon their requests soon."""
MAX_WORK_SECONDS = 60.0
"""Age at which an attempt is dropped if its end was never reported: more than twice the
longest deadline that operators set."""


@dataclass(slots=True)
class PlacedWork:
    """Hold an attempt that a gateway has placed."""

    work: EngineWork
    owner: InstanceId
    begun_at: float
    first_token: bool = False


class PendingPart(NamedTuple):
    """Describe the rest of a prompt part that no pass has started to prefill."""

    work: EngineWork
    waited_seconds: float
    left_seconds: float
    """Time that the rest of the prefill takes."""
    left_chunks: float


class PartInPass(NamedTuple):
    """Describe a part that the current pass finishes, or that is overdue."""

    work: EngineWork
    ready_seconds: float
    """Time until the end of the pass."""


class DecodingAttempt(NamedTuple):
    """Describe an attempt that decodes on an engine, or will after its prefill."""

    work: EngineWork
    late: bool
    """Whether an event was too late already, so that further delay costs little."""


@dataclass(slots=True)
class EngineView:
    """Hold the present and pending work of an engine."""

    pass_left_seconds: float = 0.0
    """Time until the next pass begins, which is the first to prefill anything new."""
    pending_parts: list[PendingPart] = field(default_factory=list)
    """In the order in which they will be prefilled."""
    parts_in_pass: list[PartInPass] = field(default_factory=list)
    decoding_attempts: list[DecodingAttempt] = field(default_factory=list)
    is_decoding: bool = False
    """Whether any of them decodes already."""
    helping_parts: int = 0
    """Number of parts prefilled for attempts that decode on another engine."""
    memory_tokens: int = 0
    """Memory that attempts use on the engine, or will use."""

    @property
    def backlog_seconds(self) -> float:
        """Return the time to prefill all pending parts."""
        return sum(pending.left_seconds for pending in self.pending_parts)


@dataclass(slots=True)
class EngineTracker:
    """Track the attempts on engines, by attempt and by engine."""

    placed: dict[AttemptId, PlacedWork] = field(default_factory=dict)
    simulations: dict[UpstreamId, EngineSimulation] = field(default_factory=dict)

    def begin(self, work: EngineWork, owner: InstanceId, now: float) -> None:
        """Record an attempt that was placed by a gateway."""
        if work.attempt_id in self.placed:
            return
        self.placed[work.attempt_id] = PlacedWork(work, owner, now)
        for part in work.parts:
            simulation = self.simulations.setdefault(
                part.upstream_id, EngineSimulation()
            )
            simulation.place(work, part, now)

    def first_token(self, attempt_id: AttemptId, now: float) -> None:
        """Record that all engines have prefilled their parts of an attempt's prompt."""
        placed = self.placed.get(attempt_id)
        if placed is None or placed.first_token:
            return
        placed.first_token = True
        for simulation in self.simulations_of(placed.work):
            simulation.first_token(attempt_id, now)

    def end(self, attempt_id: AttemptId, now: float) -> None:
        """Remove an attempt that has ended."""
        placed = self.placed.pop(attempt_id, None)
        if placed is None:
            return
        for simulation in self.simulations_of(placed.work):
            simulation.end(attempt_id, now)

    def simulations_of(self, work: EngineWork) -> Iterator[EngineSimulation]:
        """Yield the engines of an attempt that are still tracked."""
        for part in work.parts:
            if part.upstream_id in self.simulations:
                yield self.simulations[part.upstream_id]

    def forget_owner(self, owner: InstanceId, now: float) -> None:
        """Remove the attempts of a gateway that has ended; engines drop them too.

        If they still counted, no gateway would use engines that have nothing to do.
        """
        for attempt_id in self.owned_by(owner):
            self.end(attempt_id, now)

    def owned_by(self, owner: InstanceId) -> list[AttemptId]:
        """Return a gateway's attempts."""
        return [
            attempt_id
            for attempt_id, placed in self.placed.items()
            if placed.owner == owner
        ]

    def snapshot_of(self, owner: InstanceId, now: float, number: int = 0) -> WorkHeld:
        """Return all attempts of a gateway, up to a change, as a message."""
        return WorkHeld(
            tuple(
                HeldWork(
                    placed.work, max(0.0, now - placed.begun_at), placed.first_token
                )
                for placed in self.placed.values()
                if placed.owner == owner
            ),
            number,
        )

    def replace(self, owner: InstanceId, message: WorkHeld, now: float) -> None:
        """Replace the attempts of a gateway by a snapshot of them."""
        reported = {held.work.attempt_id for held in message.held}
        for attempt_id in self.owned_by(owner):
            if attempt_id not in reported:
                self.end(attempt_id, now)
        for held in message.held:
            begun_at = now - held.age_seconds
            self.begin(held.work, owner, begun_at)
            if held.first_token:
                # The message does not say when the first token came; the present time
                # would count as late.
                self.first_token(held.work.attempt_id, begun_at)

    def forget_old(self, now: float) -> int:
        """Remove attempts whose end was never reported; return how many."""
        old = [
            attempt_id
            for attempt_id, placed in self.placed.items()
            if now - placed.begun_at > MAX_WORK_SECONDS
        ]
        for attempt_id in old:
            self.end(attempt_id, now)
        return len(old)

    def forget_engine(self, upstream_id: UpstreamId) -> None:
        """Stop tracking an engine that has gone."""
        self.simulations.pop(upstream_id, None)

    def view(
        self, upstream_id: UpstreamId, model: EngineModel, now: float
    ) -> EngineView:
        """Return the present and pending work of an engine."""
        view = EngineView()
        simulation = self.simulations.get(upstream_id)
        if simulation is None:
            return view
        simulation.advance(model, now)
        view.pass_left_seconds = simulation.time_to_pass_end(now)
        for tracked in simulation.parts.values():
            part = tracked.part
            view.memory_tokens += part.memory_tokens
            view.is_decoding |= tracked.decoding
            if part.decodes:
                view.decoding_attempts.append(
                    DecodingAttempt(tracked.work, tracked.late)
                )
            placed = self.placed.get(tracked.work.attempt_id)
            if placed is None or placed.first_token:
                continue
            view.helping_parts += not part.decodes
            if tracked.is_prefilled:
                # A prefill that was not reported as done is assumed to continue.
                overrun = OVERRUN_SECONDS if part.decodes else 0.0
                ready = max(view.pass_left_seconds, overrun)
                view.parts_in_pass.append(PartInPass(tracked.work, ready))
        for tracked in simulation.pending_parts():
            view.pending_parts.append(
                PendingPart(
                    tracked.work,
                    now - tracked.begun_at,
                    tracked.left_seconds,
                    tracked.left_chunks,
                )
            )
        return view

    def usual_pass_seconds(
        self, upstream_id: UpstreamId, model: EngineModel, now: float
    ) -> float | None:
        """Return the length of an engine's passes that only decode, if it is known."""
        simulation = self.simulations.get(upstream_id)
        if simulation is None:
            return None
        simulation.advance(model, now)
        return max(MIN_PASS_SECONDS, simulation.decode_seconds(model))

    def decode_pass_seconds(
        self, upstream_id: UpstreamId, model: EngineModel, since: float, now: float
    ) -> float | None:
        """Return the length of an engine's passes, or None if any may prefill since.

        Passes that prefill vary in length, so they don't show how slow an engine is.
        """
        seconds = self.usual_pass_seconds(upstream_id, model, now)
        if seconds is None:
            return None
        prefilled = self.simulations[upstream_id].may_have_prefilled_since(since, now)
        return None if prefilled else seconds

    def excused_seconds(self, attempt_id: AttemptId, now: float) -> float:
        """Return how long an attempt's engines may still be silent due to prefills.

        A pass that prefills very long prompts sends no event for seconds; a stream that
        moved elsewhere meanwhile would be prefilled again there. The time follows from
        the engines' own model, so that attempts waiting on a dead engine don't extend
        each other's wait.
        """
        placed = self.placed.get(attempt_id)
        if placed is None:
            return 0.0
        left = (
            simulation.prefill_left_seconds(now)
            for simulation in self.simulations_of(placed.work)
        )
        longest = max(left, default=0.0)
        if longest <= LONG_PREFILL_SECONDS:
            return 0.0
        margin = SILENCE_MARGIN_OBJECTIVES * placed.work.objective_seconds
        return longest + margin

    def prefilled_since(
        self, upstream_id: UpstreamId, since: float, now: float
    ) -> bool:
        """Return whether an engine has prefilled beside its decodes since a time."""
        simulation = self.simulations.get(upstream_id)
        return simulation is not None and simulation.prefilled_since(since, now)

    def has_first_token(self, attempt_id: AttemptId) -> bool:
        """Return whether the first token of an attempt was reported."""
        placed = self.placed.get(attempt_id)
        return placed is not None and placed.first_token

    def prefill_due_seconds(self, attempt_id: AttemptId, now: float) -> float:
        """Return the time until an attempt should be prefilled; negative if overdue.

        Counts what other gateways have placed on its engines since.
        """
        placed = self.placed.get(attempt_id)
        if placed is None:
            return 0.0
        due_at = (
            simulation.prefilled_at(attempt_id, now)
            for simulation in self.simulations_of(placed.work)
        )
        return max((at for at in due_at if at is not None), default=now) - now
