"""Keep what runs on each engine, as all gateways tell it.

Engines report their load late, and several gateways that believe the same report
send their work to the same engine. So each gateway tells the others what it places,
and all work from the same picture, a few milliseconds old.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId, InstanceId, UpstreamId
from cowslipshelf_core.internal.routed.messages import (
    EnginePart,
    EngineWork,
    HeldWork,
    WorkHeld,
)

OVERRUN_SECONDS = 0.05
"""Rest that is assumed of a read that should be done: one pass of an engine that
writes takes about so long."""
LONGEST_WORK_SECONDS = 60.0
"""Work is forgotten after this, should its end never be told: twice the longest
deadline that operators set, and more."""


@dataclass(slots=True)
class PlacedWork:
    """Be an attempt that is known to run."""

    work: EngineWork
    owner: InstanceId
    begun_at: float
    first_token: bool = False


class WriterHere(NamedTuple):
    """Be an attempt that writes on an engine, or will once it is read."""

    work: EngineWork
    waited_seconds: float
    ready_seconds: float
    """Time until it will have been read; zero where its first token has come."""


@dataclass(slots=True)
class EngineView:
    """Be what one engine is about to do."""

    helping_seconds: float = 0.0
    """Time until it will have read the parts of attempts that write elsewhere, which
    go ahead of its own reads."""
    backlog_seconds: float = 0.0
    """Time until it will have read all that was placed on it."""
    backlog_chunks: int = 0
    writers: list[WriterHere] = field(default_factory=list)
    helping: int = 0
    """Parts that it reads for attempts which write elsewhere."""

    @property
    def memory_tokens(self) -> int:
        """Return the memory that its attempts use or will use."""
        return sum(writer.work.memory_tokens for writer in self.writers)


@dataclass(slots=True)
class EngineBoard:
    """Hold the attempts on engines, by attempt and by engine."""

    placed: dict[AttemptId, PlacedWork] = field(default_factory=dict)
    by_engine: dict[UpstreamId, dict[AttemptId, EnginePart]] = field(
        default_factory=dict
    )

    def begin(self, work: EngineWork, owner: InstanceId, now: float) -> None:
        """Note an attempt that was placed by a gateway."""
        if work.attempt_id in self.placed:
            return
        self.placed[work.attempt_id] = PlacedWork(work, owner, now)
        for part in work.parts:
            engine = self.by_engine.setdefault(part.upstream_id, {})
            engine[work.attempt_id] = part

    def first_token(self, attempt_id: AttemptId) -> None:
        """Note that an attempt's prompt has been read, by all engines."""
        placed = self.placed.get(attempt_id)
        if placed is None:
            return
        placed.first_token = True
        for part in placed.work.parts:
            if not part.writes:
                self.by_engine.get(part.upstream_id, {}).pop(attempt_id, None)

    def end(self, attempt_id: AttemptId) -> None:
        """Forget an attempt that is over."""
        placed = self.placed.pop(attempt_id, None)
        if placed is None:
            return
        for part in placed.work.parts:
            self.by_engine.get(part.upstream_id, {}).pop(attempt_id, None)

    def forget_owner(self, owner: InstanceId) -> None:
        """Forget the attempts of a gateway that has ended, whose engines dropped them.

        Counted on, they would keep everybody off engines that have nothing to do.
        """
        for attempt_id in self.owned_by(owner):
            self.end(attempt_id)

    def owned_by(self, owner: InstanceId) -> list[AttemptId]:
        """List a gateway's attempts."""
        return [
            attempt_id
            for attempt_id, placed in self.placed.items()
            if placed.owner == owner
        ]

    def held_by(self, owner: InstanceId, now: float) -> WorkHeld:
        """Return a gateway's attempts, to be told to another one."""
        return WorkHeld(
            tuple(
                HeldWork(
                    placed.work, max(0.0, now - placed.begun_at), placed.first_token
                )
                for placed in self.placed.values()
                if placed.owner == owner
            )
        )

    def replace(self, owner: InstanceId, message: WorkHeld, now: float) -> None:
        """Take in all attempts of a gateway, in place of those known of it."""
        told = {held.work.attempt_id for held in message.held}
        for attempt_id in self.owned_by(owner):
            if attempt_id not in told:
                self.end(attempt_id)
        for held in message.held:
            self.begin(held.work, owner, now - held.age_seconds)
            if held.first_token:
                self.first_token(held.work.attempt_id)

    def forget_old(self, now: float) -> int:
        """Forget attempts whose end was never told; return how many."""
        old = [
            attempt_id
            for attempt_id, placed in self.placed.items()
            if now - placed.begun_at > LONGEST_WORK_SECONDS
        ]
        for attempt_id in old:
            self.end(attempt_id)
        return len(old)

    def forget_engine(self, upstream_id: UpstreamId) -> None:
        """Forget an engine that has gone."""
        self.by_engine.pop(upstream_id, None)

    def view(self, upstream_id: UpstreamId, now: float) -> EngineView:
        """Work out what an engine is about to do.

        It reads the parts of attempts that write elsewhere first, and its own in the
        order of their arrival, one chunk in each step.
        """
        view = EngineView()
        here = list(self.parts_on(upstream_id))
        free_at = now
        for placed, part in here:
            if part.writes or placed.first_token:
                continue
            view.helping += 1
            ends = placed.begun_at + part.read_seconds
            if ends > now:
                free_at = max(free_at, now) + min(ends - now, part.read_seconds)
                view.backlog_chunks += part.chunks
        view.helping_seconds = free_at - now
        for placed, part in here:
            if part.writes:
                free_at = self.add_writer(view, placed, part, free_at, now)
        view.backlog_seconds = free_at - now
        return view

    def add_writer(
        self,
        view: EngineView,
        placed: PlacedWork,
        part: EnginePart,
        free_at: float,
        now: float,
    ) -> float:
        """Add an attempt that writes here; return when the engine will have read it."""
        ready_seconds = 0.0
        if not placed.first_token:
            begins = free_at if view.backlog_chunks else placed.begun_at
            free_at = max(begins + part.read_seconds, now + OVERRUN_SECONDS)
            ready_seconds = free_at - now
            view.backlog_chunks += part.chunks
        waited = now - placed.begun_at
        view.writers.append(WriterHere(placed.work, waited, ready_seconds))
        return free_at

    def parts_on(
        self, upstream_id: UpstreamId
    ) -> Iterator[tuple[PlacedWork, EnginePart]]:
        """Go through an engine's parts in the order in which they were placed."""
        for attempt_id, part in self.by_engine.get(upstream_id, {}).items():
            yield self.placed[attempt_id], part
