"""Reserve the parts of a prompt all or nothing, and prefill them in order.

Deadlock is prevented by lock ordering: every entry reserves parts in the order of
upstream ids, each only after the one before is reserved. A prompt therefore waits only
for an upstream that comes after all those it holds. Two prompts can't wait for each
other, and the one that holds the last of all upstreams waits for no spread prompt.
"""

from dataclasses import dataclass, field
from enum import Enum, auto
from random import Random
from typing import NamedTuple, Self

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.internal.spread.effects import (
    BackOff,
    BeginPart,
    CancelPart,
    HandOverPart,
    RevokeLast,
    SpreadBegun,
    SpreadEffect,
    SpreadRefused,
    SpreadUncertain,
)
from cowslipshelf_core.internal.spread.events import (
    BackoffElapsed,
    BeginAnswered,
    LastRevoked,
    NoLongerWanted,
    PartFilled,
    PartLost,
    PartRefused,
    PartReserved,
    PartUnanswered,
    SpreadEvent,
    SpreadStarted,
    TimePassed,
)
from cowslipshelf_core.messages import AttemptRefused
from cowslipshelf_core.prompt_parts import KvReference, PartAssignment
from cowslipshelf_core.upstream import HandOver, LoadReport

STEP = "spread"
TRANSIENT_REASONS = frozenset(
    {RefusalReason.BUSY, RefusalReason.OVERLOADED, RefusalReason.NOT_READY}
)
"""Refusals of a part for which another try may succeed."""


class SpreadConfig(NamedTuple):
    """Limit how long a spread prompt waits for memory."""

    reserve_time_share: float = 0.5
    """Share of the time left in which all memory must be reserved."""
    backoff_base_seconds: float = 0.05
    backoff_cap_seconds: float = 2.0


class Phase(Enum):
    """Name what a spread hand-over is waiting for."""

    RESERVING = auto()
    BACKING_OFF = auto()
    PREFILLING = auto()
    BEGINNING_LAST = auto()
    REVOKING_LAST = auto()
    ENDED = auto()


@dataclass(slots=True)
class SpreadMachine:
    """Hand over one attempt of a spread prompt until its last part generates.

    The helpers only prefill their parts, and the last part generates the answer: until
    it begins, the request has not run.
    """

    chosen: ChosenUpstream
    hand_over: HandOver
    config: SpreadConfig
    deadline_at: float
    """Monotonic seconds, like `reserve_deadline`."""
    reserve_deadline: float
    phase: Phase = Phase.RESERVING
    retry_count: int = 0
    handed_over: list[HandOver] = field(default_factory=list)
    """Parts handed over in this try, in order.

    While memory is reserved, the last of them is the one being reserved.
    """
    prefilled_parts: tuple[KvReference, ...] = ()
    refusal: Refusal | None = None
    """The reason for which the last part is being revoked."""

    @classmethod
    def from_config(
        cls,
        chosen: ChosenUpstream,
        hand_over: HandOver,
        config: SpreadConfig,
        now: float,
    ) -> Self:
        """Create the machine at `now` (monotonic seconds), with nothing handed over."""
        left = hand_over.deadline_seconds
        reserve_deadline = now + left * config.reserve_time_share
        return cls(chosen, hand_over, config, now + left, reserve_deadline)

    def handle(
        self, event: SpreadEvent, now: float, random: Random
    ) -> list[SpreadEffect]:
        """Handle one event; ignore events that are late or of an earlier try."""
        match event:
            case SpreadStarted() if not self.handed_over:
                return self.hand_over_next(now)
            case PartRefused(attempt_id, refused) if self.is_reserving(attempt_id):
                return self.on_part_refused(refused, now, random)
            case PartUnanswered(attempt_id) if self.is_reserving(attempt_id):
                return self.on_part_unanswered(event)
            case PartReserved(attempt_id) if self.is_reserving(attempt_id):
                return self.on_part_reserved(now)
            case PartFilled(attempt_id, part) if self.is_prefilling(attempt_id):
                self.prefilled_parts = (*self.prefilled_parts, part)
                return self.begin_next_part()
            case BeginAnswered(attempt_id, acknowledged):
                return self.on_begin_answered(attempt_id, acknowledged)
            case PartLost(attempt_id) if self.was_handed_over(attempt_id):
                return self.give_up(event.refusal or self.loss_refusal(event))
            case LastRevoked(promised) if self.phase is Phase.REVOKING_LAST:
                return self.on_last_revoked(promised)
            case BackoffElapsed() if self.phase is Phase.BACKING_OFF:
                self.phase = Phase.RESERVING
                return self.hand_over_next(now)
            case TimePassed() if self.phase is Phase.RESERVING:
                return self.check_reserve_deadline(now)
            case NoLongerWanted():
                detail = "the caller went away or its deadline passed"
                return self.give_up(
                    self.not_run_refusal(RefusalReason.CANCELLED, detail)
                )
        return []

    # The parts of the current try.

    @property
    def last_part_handed_over(self) -> bool:
        """Return whether the last part was handed over."""
        return len(self.handed_over) > len(self.chosen.helpers)

    def is_reserving(self, attempt_id: AttemptId) -> bool:
        """Return whether this part is waiting for its memory."""
        return (
            self.phase is Phase.RESERVING
            and bool(self.handed_over)
            and self.handed_over[-1].attempt_id == attempt_id
        )

    def is_prefilling(self, attempt_id: AttemptId) -> bool:
        """Return whether this part is being prefilled."""
        return (
            self.phase is Phase.PREFILLING
            and self.handed_over[len(self.prefilled_parts)].attempt_id == attempt_id
        )

    def was_handed_over(self, attempt_id: AttemptId) -> bool:
        """Return whether this part was handed over in the current try."""
        if self.phase in (Phase.ENDED, Phase.REVOKING_LAST):
            return False
        return any(part.attempt_id == attempt_id for part in self.handed_over)

    # Reserving memory, all or nothing.

    def hand_over_next(self, now: float) -> list[SpreadEffect]:
        """Hand over the next part in the fixed order, to reserve its memory."""
        index = len(self.handed_over)
        left = self.deadline_at - now
        if index < len(self.chosen.helpers):
            place = self.chosen.helpers[index]
            self.handed_over.append(self.build_part(place, index, left))
            return [HandOverPart(place.attempts_address, self.handed_over[-1])]
        self.handed_over.append(self.hand_over._replace(deadline_seconds=left))
        return [HandOverPart(self.chosen.attempts_address, self.handed_over[-1])]

    def build_part(self, place: PartAssignment, index: int, left: float) -> HandOver:
        """Build the hand-over of a helper's part; prefill only, so it is idempotent."""
        last_id = self.hand_over.attempt_id
        return self.hand_over._replace(
            # Unique for each try, since the last part's id is new.
            attempt_id=AttemptId(f"{last_id}-{self.retry_count}-{index}"),
            upstream_id=place.upstream_id,
            sidecar_epoch=place.epoch,
            load_sequence=place.load_sequence,
            from_token=place.from_token,
            to_token=place.to_token,
            non_idempotent=False,
            delivered_tokens=0,
            deadline_seconds=left,
        )

    def on_part_reserved(self, now: float) -> list[SpreadEffect]:
        """Reserve the next part, or begin to prefill once all are reserved."""
        if not self.last_part_handed_over:
            return self.hand_over_next(now)
        self.phase = Phase.PREFILLING
        return self.begin_next_part()

    def on_part_refused(
        self, refused: AttemptRefused, now: float, random: Random
    ) -> list[SpreadEffect]:
        """Free the reserved memory, and back off if the refusal is transient."""
        transient = refused.refusal.reason in TRANSIENT_REASONS
        if not transient or now >= self.reserve_deadline:
            return self.end_with_refusal(refused)
        cancels = self.cancel_helpers()
        self.phase = Phase.BACKING_OFF
        step = min(
            self.config.backoff_cap_seconds,
            self.config.backoff_base_seconds * 2.0**self.retry_count,
        )
        self.retry_count += 1
        # Without jitter, prompts that collided would collide again.
        return [*cancels, BackOff(random.uniform(0.0, step))]

    def end_with_refusal(self, refused: AttemptRefused) -> list[SpreadEffect]:
        """End with a helper's refusal as "not run", or the last part's unchanged."""
        if not self.last_part_handed_over:
            return self.give_up(refused.refusal)
        return [*self.cancel_helpers(), *self.end(SpreadRefused(refused))]

    def on_part_unanswered(self, event: PartUnanswered) -> list[SpreadEffect]:
        """Free the reserved memory; end as uncertain if the last part is unanswered."""
        if self.last_part_handed_over:
            uncertain = SpreadUncertain(event.may_have_arrived, event.detail)
            return [*self.cancel_helpers(), *self.end(uncertain)]
        return self.give_up(
            self.not_run_refusal(RefusalReason.CONNECTION_LOST, event.detail)
        )

    def check_reserve_deadline(self, now: float) -> list[SpreadEffect]:
        """Give up, and so free the memory, when reserving takes too long."""
        if now < self.reserve_deadline:
            return []
        detail = f"no memory for {len(self.chosen.helpers) + 1} parts in time"
        return self.give_up(self.not_run_refusal(RefusalReason.BUSY, detail))

    # Prefilling, in token order.

    def begin_next_part(self) -> list[SpreadEffect]:
        """Begin the next part, with references to the KV cache of those before it."""
        index = len(self.prefilled_parts)
        attempt_id = self.handed_over[index].attempt_id
        if index < len(self.chosen.helpers):
            address = self.chosen.helpers[index].attempts_address
            return [BeginPart(address, attempt_id, self.prefilled_parts)]
        self.phase = Phase.BEGINNING_LAST
        return [
            BeginPart(self.chosen.attempts_address, attempt_id, self.prefilled_parts)
        ]

    def on_begin_answered(
        self, attempt_id: AttemptId, acknowledged: bool
    ) -> list[SpreadEffect]:
        """Give up if the call was not acknowledged; end once the last part begins.

        A part that may not have begun can't be waited for.
        """
        if not acknowledged and self.was_handed_over(attempt_id):
            detail = "a sidecar could not be told to begin"
            return self.give_up(
                self.not_run_refusal(RefusalReason.CONNECTION_LOST, detail)
            )
        is_last = attempt_id == self.hand_over.attempt_id
        if acknowledged and is_last and self.phase is Phase.BEGINNING_LAST:
            return self.end(SpreadBegun())
        return []

    # Ending.

    def give_up(self, refusal: Refusal) -> list[SpreadEffect]:
        """Free the reserved memory, and revoke the last part if it was handed over.

        Only a revoked part may be refused as "not run".
        """
        if self.phase in (Phase.ENDED, Phase.REVOKING_LAST):
            return []
        last_part_handed_over = self.last_part_handed_over
        cancels = self.cancel_helpers()
        self.refusal = refusal._replace(code=RefusalCode.NOT_RUN)
        if not last_part_handed_over:
            # No engine has the part that generates.
            return [*cancels, *self.end(refused_without_load(self.refusal))]
        self.phase = Phase.REVOKING_LAST
        return [*cancels, RevokeLast(self.chosen.attempts_address, self.hand_over)]

    def on_last_revoked(self, promised: bool) -> list[SpreadEffect]:
        """End with the refusal if the last part was revoked, else as uncertain."""
        if promised:
            return self.end(refused_without_load(self.refusal))
        return self.end(SpreadUncertain(True, self.refusal.detail))

    def cancel_helpers(self) -> list[CancelPart]:
        """Cancel every helper of this try."""
        helpers = zip(self.chosen.helpers, self.handed_over, strict=False)
        cancels = [
            CancelPart(place.attempts_address, part.attempt_id)
            for place, part in helpers
        ]
        self.handed_over = []
        return cancels

    def end(
        self, result: SpreadBegun | SpreadRefused | SpreadUncertain
    ) -> list[SpreadEffect]:
        """Return the one result."""
        self.phase = Phase.ENDED
        return [result]

    def loss_refusal(self, event: PartLost) -> Refusal:
        """Build the refusal for a part that was lost."""
        return self.not_run_refusal(RefusalReason.UPSTREAM_FAILED, event.detail)

    def not_run_refusal(self, reason: RefusalReason, detail: str) -> Refusal:
        """Build a "not run" refusal; valid only before the last part has begun."""
        return Refusal(RefusalCode.NOT_RUN, reason, STEP, detail=detail)


def refused_without_load(refusal: Refusal) -> SpreadRefused:
    """Wrap a refusal as a sidecar's answer, with an empty load report."""
    return SpreadRefused(AttemptRefused(refusal, LoadReport()))
