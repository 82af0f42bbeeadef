"""Reserve a prompt's parts all or nothing, and prefill them in order.

Every entry asks for parts in the one order of upstream ids and asks for the next only
when the one before is reserved. Whoever waits therefore waits for an upstream behind
all that it holds: two prompts can't wait for each other, and the one that holds the
upstream furthest back waits for no other spread prompt at all.
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
from cowslipshelf_core.prompt_parts import KvReference, PartPlace
from cowslipshelf_core.upstream import HandOver, LoadReport

STEP = "spread"
TRANSIENT_REASONS = frozenset(
    {RefusalReason.BUSY, RefusalReason.OVERLOADED, RefusalReason.NOT_READY}
)
"""Refusals of a part that may be otherwise a moment later."""


class SpreadConfig(NamedTuple):
    """Bound how long a spread prompt waits for memory."""

    reserve_time_share: float = 0.5
    """Part of the time left that may pass until all memory is reserved."""
    backoff_base_seconds: float = 0.05
    backoff_cap_seconds: float = 2.0


class Phase(Enum):
    """Name what a spread hand-over waits for."""

    RESERVING = auto()
    BACKING_OFF = auto()
    PREFILLING = auto()
    BEGINNING_LAST = auto()
    REVOKING_LAST = auto()
    ENDED = auto()


@dataclass(slots=True)
class SpreadMachine:
    """Carry one attempt of a spread prompt until its last part generates.

    Only the last part generates anything: until it begins the request has not run.
    """

    chosen: ChosenUpstream
    hand_over: HandOver
    config: SpreadConfig
    deadline_at: float
    reserve_deadline: float
    phase: Phase = Phase.RESERVING
    retry_count: int = 0
    handed_over: list[HandOver] = field(default_factory=list)
    """Parts handed over in this try, in order; the last of them is the current one
    while memory is reserved."""
    prefilled_parts: tuple[KvReference, ...] = ()
    refusal: Refusal | None = None
    """Why the last part is being revoked."""

    @classmethod
    def from_config(
        cls,
        chosen: ChosenUpstream,
        hand_over: HandOver,
        config: SpreadConfig,
        now: float,
    ) -> Self:
        """Begin with nothing handed over, at `now` (monotonic seconds)."""
        left = hand_over.deadline_seconds
        reserve_deadline = now + left * config.reserve_time_share
        return cls(chosen, hand_over, config, now + left, reserve_deadline)

    def handle(
        self, event: SpreadEvent, now: float, random: Random
    ) -> list[SpreadEffect]:
        """Take in one event; what is late or of an earlier try does nothing."""
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

    # What the present try holds.

    @property
    def last_part_handed_over(self) -> bool:
        """Return whether the part that generates was handed over."""
        return len(self.handed_over) > len(self.chosen.helpers)

    def is_reserving(self, attempt_id: AttemptId) -> bool:
        """Return whether memory for this part is awaited."""
        return (
            self.phase is Phase.RESERVING
            and bool(self.handed_over)
            and self.handed_over[-1].attempt_id == attempt_id
        )

    def is_prefilling(self, attempt_id: AttemptId) -> bool:
        """Return whether this is the part that is being prefilled."""
        return (
            self.phase is Phase.PREFILLING
            and self.handed_over[len(self.prefilled_parts)].attempt_id == attempt_id
        )

    def was_handed_over(self, attempt_id: AttemptId) -> bool:
        """Return whether a part was handed over in this try."""
        if self.phase in (Phase.ENDED, Phase.REVOKING_LAST):
            return False
        return any(part.attempt_id == attempt_id for part in self.handed_over)

    # Memory, all or nothing.

    def hand_over_next(self, now: float) -> list[SpreadEffect]:
        """Ask for the memory of the next part in the fixed order."""
        index = len(self.handed_over)
        left = self.deadline_at - now
        if index < len(self.chosen.helpers):
            place = self.chosen.helpers[index]
            self.handed_over.append(self.build_part(place, index, left))
            return [HandOverPart(place.attempts_address, self.handed_over[-1])]
        self.handed_over.append(self.hand_over._replace(deadline_seconds=left))
        return [HandOverPart(self.chosen.attempts_address, self.handed_over[-1])]

    def build_part(self, place: PartPlace, index: int, left: float) -> HandOver:
        """Address a part to a helper; it only prefills, so it may be repeated."""
        last_id = self.hand_over.attempt_id
        return self.hand_over._replace(
            # The last part's id is fresh, so these are, for each try.
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
        """Ask for the next part, or prefill once all memory stands."""
        if not self.last_part_handed_over:
            return self.hand_over_next(now)
        self.phase = Phase.PREFILLING
        return self.begin_next_part()

    def on_part_refused(
        self, refused: AttemptRefused, now: float, random: Random
    ) -> list[SpreadEffect]:
        """Free what is held, and try again where the refusal may pass."""
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
        # Jitter, or prompts that were in each other's way would meet again.
        return [*cancels, BackOff(random.uniform(0.0, step))]

    def end_with_refusal(self, refused: AttemptRefused) -> list[SpreadEffect]:
        """End with a helper's refusal as "not run", with the last part's as it is."""
        if not self.last_part_handed_over:
            return self.give_up(refused.refusal)
        return [*self.cancel_helpers(), *self.end(SpreadRefused(refused))]

    def on_part_unanswered(self, event: PartUnanswered) -> list[SpreadEffect]:
        """Free what is held; what became of the last part must be asked elsewhere."""
        if self.last_part_handed_over:
            uncertain = SpreadUncertain(event.may_have_arrived, event.detail)
            return [*self.cancel_helpers(), *self.end(uncertain)]
        return self.give_up(
            self.not_run_refusal(RefusalReason.CONNECTION_LOST, event.detail)
        )

    def check_reserve_deadline(self, now: float) -> list[SpreadEffect]:
        """Hold no memory for a prompt that waits for the rest of it for too long."""
        if now < self.reserve_deadline:
            return []
        detail = f"no memory for {len(self.chosen.helpers) + 1} parts in time"
        return self.give_up(self.not_run_refusal(RefusalReason.BUSY, detail))

    # Prefill, in token order.

    def begin_next_part(self) -> list[SpreadEffect]:
        """Let the next part begin, with what those before it hold."""
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
        """Go on; a part that may not have heard can't be waited for."""
        if not acknowledged and self.was_handed_over(attempt_id):
            detail = "a sidecar could not be told to begin"
            return self.give_up(
                self.not_run_refusal(RefusalReason.CONNECTION_LOST, detail)
            )
        is_last = attempt_id == self.hand_over.attempt_id
        if acknowledged and is_last and self.phase is Phase.BEGINNING_LAST:
            return self.end(SpreadBegun())
        return []

    # The end.

    def give_up(self, refusal: Refusal) -> list[SpreadEffect]:
        """Free what is held, and claim "not run" only on a promise."""
        if self.phase in (Phase.ENDED, Phase.REVOKING_LAST):
            return []
        last_part_handed_over = self.last_part_handed_over
        cancels = self.cancel_helpers()
        self.refusal = refusal._replace(code=RefusalCode.NOT_RUN)
        if not last_part_handed_over:
            # No engine was given the part that generates.
            return [*cancels, *self.end(refused_without_load(self.refusal))]
        self.phase = Phase.REVOKING_LAST
        return [*cancels, RevokeLast(self.chosen.attempts_address, self.hand_over)]

    def on_last_revoked(self, promised: bool) -> list[SpreadEffect]:
        """End with the refusal where the promise was given."""
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
        """Give the one result."""
        self.phase = Phase.ENDED
        return [result]

    def loss_refusal(self, event: PartLost) -> Refusal:
        """Describe a part whose stream was lost."""
        return self.not_run_refusal(RefusalReason.UPSTREAM_FAILED, event.detail)

    def not_run_refusal(self, reason: RefusalReason, detail: str) -> Refusal:
        """Refuse on our own account before the last part began."""
        return Refusal(RefusalCode.NOT_RUN, reason, STEP, detail=detail)


def refused_without_load(refusal: Refusal) -> SpreadRefused:
    """Refuse as a sidecar would; its load is not known here."""
    return SpreadRefused(AttemptRefused(refusal, LoadReport()))
