"""Keep what runs on each engine, as all gateways tell it.

Engines report their load late, and several gateways that believe the same report
send their work to the same engine. So each gateway tells the others what it places,
and all work from the same picture, a few milliseconds old.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId, InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.configuration import EngineModel
from cowslipshelf_core.internal.gateway.engine_simulation import EngineSimulation
from cowslipshelf_core.internal.gateway.messages import (
    EngineWork,
    HeldWork,
    WorkHeld,
)

OVERRUN_SECONDS = 0.05
"""Rest that is assumed of a read that should be done: one pass of an engine that
writes takes about so long."""
LONG_READ_SECONDS = 0.12
"""Reading that explains a silence: more than passes that only write take."""
EXCUSE_MARGIN_OBJECTIVES = 0.25
"""Waited beyond the time at which an engine should have read everything, as a share of
the objective: 1 s for the longest prompts, whose predictions are off by up to 0.8 s in
nine of ten cases and which are dear to read again; little for those who leave soon."""
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


class UnreadPart(NamedTuple):
    """Be a part of a prompt that no pass of its engine has taken up yet."""

    work: EngineWork
    waited_seconds: float
    left_seconds: float
    """Time that the rest of it takes to read."""
    left_chunks: float


class PartInPass(NamedTuple):
    """Be a part that the pass under way reads to its end, or should have read."""

    work: EngineWork
    ready_seconds: float
    """Time until the end of the pass."""


class DecodingAttempt(NamedTuple):
    """Be an attempt that writes on an engine, or will once it is read."""

    work: EngineWork
    late: bool
    """Whether it came too late already, and loses little by further delay."""


@dataclass(slots=True)
class EngineView:
    """Be what one engine is about to do."""

    pass_left_seconds: float = 0.0
    """Time until a pass begins, and with it the reading of anything new."""
    unread: list[UnreadPart] = field(default_factory=list)
    """In the order in which they will be read."""
    in_pass: list[PartInPass] = field(default_factory=list)
    decoding_attempts: list[DecodingAttempt] = field(default_factory=list)
    is_decoding: bool = False
    """Whether any of them writes already."""
    helping: int = 0
    """Parts that it reads for attempts which write elsewhere."""
    memory_tokens: int = 0
    """Memory that attempts use on it, or will use."""

    @property
    def backlog_seconds(self) -> float:
        """Return the time to read all that no pass has taken up yet."""
        return sum(unread.left_seconds for unread in self.unread)


@dataclass(slots=True)
class EngineTracker:
    """Hold the attempts on engines, by attempt and by engine."""

    placed: dict[AttemptId, PlacedWork] = field(default_factory=dict)
    passes: dict[UpstreamId, EngineSimulation] = field(default_factory=dict)

    def begin(self, work: EngineWork, owner: InstanceId, now: float) -> None:
        """Note an attempt that was placed by a gateway."""
        if work.attempt_id in self.placed:
            return
        self.placed[work.attempt_id] = PlacedWork(work, owner, now)
        for part in work.parts:
            passes = self.passes.setdefault(part.upstream_id, EngineSimulation())
            passes.place(work, part, now)

    def first_token(self, attempt_id: AttemptId, now: float) -> None:
        """Note that an attempt's prompt has been read, by all engines."""
        placed = self.placed.get(attempt_id)
        if placed is None or placed.first_token:
            return
        placed.first_token = True
        for passes in self.passes_of(placed.work):
            passes.first_token(attempt_id, now)

    def end(self, attempt_id: AttemptId, now: float) -> None:
        """Forget an attempt that is over."""
        placed = self.placed.pop(attempt_id, None)
        if placed is None:
            return
        for passes in self.passes_of(placed.work):
            passes.end(attempt_id, now)

    def passes_of(self, work: EngineWork) -> Iterator[EngineSimulation]:
        """Go through the engines of an attempt; some may be forgotten by now."""
        for part in work.parts:
            if part.upstream_id in self.passes:
                yield self.passes[part.upstream_id]

    def forget_owner(self, owner: InstanceId, now: float) -> None:
        """Forget the attempts of a gateway that has ended, whose engines dropped them.

        Counted on, they would keep everybody off engines that have nothing to do.
        """
        for attempt_id in self.owned_by(owner):
            self.end(attempt_id, now)

    def owned_by(self, owner: InstanceId) -> list[AttemptId]:
        """List a gateway's attempts."""
        return [
            attempt_id
            for attempt_id, placed in self.placed.items()
            if placed.owner == owner
        ]

    def snapshot_of(self, owner: InstanceId, now: float, number: int = 0) -> WorkHeld:
        """Return a gateway's attempts, up to a change, to be told to another one."""
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
        """Take in all attempts of a gateway, in place of those known of it."""
        told = {held.work.attempt_id for held in message.held}
        for attempt_id in self.owned_by(owner):
            if attempt_id not in told:
                self.end(attempt_id, now)
        for held in message.held:
            begun_at = now - held.age_seconds
            self.begin(held.work, owner, begun_at)
            if held.first_token:
                # When it came is not told; by the present time it would seem late.
                self.first_token(held.work.attempt_id, begun_at)

    def forget_old(self, now: float) -> int:
        """Forget attempts whose end was never told; return how many."""
        old = [
            attempt_id
            for attempt_id, placed in self.placed.items()
            if now - placed.begun_at > LONGEST_WORK_SECONDS
        ]
        for attempt_id in old:
            self.end(attempt_id, now)
        return len(old)

    def forget_engine(self, upstream_id: UpstreamId) -> None:
        """Forget an engine that has gone."""
        self.passes.pop(upstream_id, None)

    def view(
        self, upstream_id: UpstreamId, model: EngineModel, now: float
    ) -> EngineView:
        """Work out what an engine is about to do."""
        view = EngineView()
        passes = self.passes.get(upstream_id)
        if passes is None:
            return view
        passes.follow(model, now)
        view.pass_left_seconds = passes.pass_left(now)
        for followed in passes.parts.values():
            part = followed.part
            view.memory_tokens += part.memory_tokens
            view.is_decoding |= followed.writing
            if part.decodes:
                view.decoding_attempts.append(
                    DecodingAttempt(followed.work, followed.late)
                )
            placed = self.placed.get(followed.work.attempt_id)
            if placed is None or placed.first_token:
                continue
            view.helping += not part.decodes
            if followed.is_read:
                # What should be done by now and is not told as done is still to come.
                overrun = OVERRUN_SECONDS if part.decodes else 0.0
                ready = max(view.pass_left_seconds, overrun)
                view.in_pass.append(PartInPass(followed.work, ready))
        for followed in passes.unread():
            view.unread.append(
                UnreadPart(
                    followed.work,
                    now - followed.begun_at,
                    followed.left_seconds,
                    followed.left_chunks,
                )
            )
        return view

    def excused_seconds(self, attempt_id: AttemptId, now: float) -> float:
        """Return how long an attempt's engines may still be silent, as they read.

        A pass that reads very long prompts gives nobody an event for seconds; a stream
        that went on elsewhere meanwhile would be read again there. By the engines' own
        pace, so that those who wait on a dead one don't excuse each other.
        """
        placed = self.placed.get(attempt_id)
        if placed is None:
            return 0.0
        left = (passes.reading_left(now) for passes in self.passes_of(placed.work))
        longest = max(left, default=0.0)
        if longest <= LONG_READ_SECONDS:
            return 0.0
        margin = EXCUSE_MARGIN_OBJECTIVES * placed.work.objective_seconds
        return longest + margin
