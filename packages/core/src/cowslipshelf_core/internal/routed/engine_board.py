"""Keep what runs on each engine, as all gateways tell it.

Engines report their load late, and several gateways that believe the same report
send their work to the same engine. So each gateway tells the others what it places,
and all work from the same picture, a few milliseconds old.
"""

import math
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


class UnreadPart(NamedTuple):
    """Be a part of a prompt that an engine has still to read."""

    work: EngineWork
    part: EnginePart
    waited_seconds: float
    ready_seconds: float
    """Time until the engine will have read it, if nothing goes ahead of it."""


@dataclass(slots=True)
class EngineView:
    """Be what one engine is about to do."""

    unread: list[UnreadPart] = field(default_factory=list)
    """In the order in which they will be read."""
    writers: list[EngineWork] = field(default_factory=list)
    """Attempts that write here, or will once they are read."""
    helping: int = 0
    """Parts that it reads for attempts which write elsewhere."""
    memory_tokens: int = 0
    """Memory that attempts use on it, or will use."""

    @property
    def backlog_seconds(self) -> float:
        """Return the time until it will have read all that was placed on it."""
        return self.unread[-1].ready_seconds if self.unread else 0.0

    @property
    def backlog_chunks(self) -> int:
        """Return the pieces in which it will read that."""
        return sum(unread.part.chunks for unread in self.unread)


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
            if not part.writes and not part.memory_tokens:
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

    def held_by(self, owner: InstanceId, now: float, number: int = 0) -> WorkHeld:
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
        """Work out what an engine is about to do."""
        view = EngineView()
        reading = ReadingOrder()
        for placed, part in self.parts_on(upstream_id):
            view.memory_tokens += part.memory_tokens
            if part.writes:
                view.writers.append(placed.work)
            if placed.first_token:
                continue
            view.helping += not part.writes
            reading.add(placed, part)
        reading.read_until(now)
        ready = 0.0
        for item in reading.in_order():
            ready += max(item.left_seconds, 0.0)
            placed = item.placed
            # What should be done by now and is not told as done is still to come.
            expected = max(ready, OVERRUN_SECONDS) if item.part.writes else ready
            if expected > 0.0:
                waited = now - placed.begun_at
                view.unread.append(UnreadPart(placed.work, item.part, waited, expected))
        return view

    def reads_for_others(self, upstream_id: UpstreamId, attempt_id: AttemptId) -> bool:
        """Tell whether an engine has something to read beside one attempt."""
        return any(
            not placed.first_token and placed.work.attempt_id != attempt_id
            for placed, _ in self.parts_on(upstream_id)
        )

    def parts_on(
        self, upstream_id: UpstreamId
    ) -> Iterator[tuple[PlacedWork, EnginePart]]:
        """Go through an engine's parts in the order in which they were placed."""
        for attempt_id, part in self.by_engine.get(upstream_id, {}).items():
            yield self.placed[attempt_id], part


@dataclass(slots=True)
class ReadingItem:
    """Be a part with what is left of it to read."""

    placed: PlacedWork
    part: EnginePart
    left_seconds: float


@dataclass(slots=True)
class ReadingOrder:
    """Follow in which order an engine reads what was placed on it.

    A part that it reads for another engine goes ahead of all that is unread there,
    such parts that came before included; its own prompts are read in their order.
    """

    clock: float = -math.inf
    helping: list[ReadingItem] = field(default_factory=list)
    """The newest, which is read first, is the last one."""
    own: list[ReadingItem] = field(default_factory=list)

    def add(self, placed: PlacedWork, part: EnginePart) -> None:
        """Add a part at the time at which it was placed."""
        self.read_until(placed.begun_at)
        item = ReadingItem(placed, part, part.read_seconds)
        (self.own if part.writes else self.helping).append(item)

    def read_until(self, now: float) -> None:
        """Let the engine read until a time."""
        time_left = now - self.clock if self.clock > -math.inf else 0.0
        self.clock = max(self.clock, now)
        for item in self.in_order():
            if time_left <= 0.0:
                break
            read = min(item.left_seconds, time_left)
            item.left_seconds -= read
            time_left -= read

    def in_order(self) -> list[ReadingItem]:
        """Return the parts in the order in which they are read from now on."""
        return [*reversed(self.helping), *self.own]
