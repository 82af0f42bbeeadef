"""Manage accepted attempts from their arrival to their end."""

from bisect import insort
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Self

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.internal.sidecar.attempt import (
    PREFILL_PHASES,
    Attempt,
    AttemptPhase,
    tokens_needed,
)
from cowslipshelf_core.internal.sidecar.config import SidecarConfig
from cowslipshelf_core.internal.sidecar.costs import CostEstimator, HotPrefixes
from cowslipshelf_core.internal.sidecar.effects import (
    CancelAtUpstream,
    DropFrames,
    EndAttempt,
    ReportReserved,
    SidecarEffect,
    StartAttempt,
)
from cowslipshelf_core.internal.sidecar.ended_attempts import (
    EndedAttempts,
    ExecutionStatus,
)
from cowslipshelf_core.internal.sidecar.memory import MemoryTracker
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.upstream import HandOver

WAIT_STEP = "wait at sidecar"
RUN_STEP = "run at upstream"


@dataclass
class AttemptTable:
    """Hold the attempts of one upstream that have not ended.

    An attempt that is not yet handed to the upstream is either handed over or
    tombstoned, never both. Both happen only in this class, so an attempt can't start
    while the sidecar guarantees that it never will.
    """

    config: SidecarConfig
    ended: EndedAttempts
    memory: MemoryTracker
    costs: CostEstimator = field(default_factory=CostEstimator)
    hot_prefixes: HotPrefixes = field(default_factory=HotPrefixes)
    alive: dict[AttemptId, Attempt] = field(default_factory=dict)
    waiting: list[Attempt] = field(default_factory=list)
    """Attempts in phase WAITING, ordered by `start_rank`."""
    prefilling: set[AttemptId] = field(default_factory=set)
    finished: dict[AttemptId, float] = field(default_factory=dict)
    """Ended attempts whose frames can still be read, with the time until which."""

    @classmethod
    def from_config(cls, config: SidecarConfig) -> Self:
        """Create an empty table; nothing is kept over a restart."""
        return cls(
            config, EndedAttempts(config.max_ended_attempts), MemoryTracker(config)
        )

    @property
    def started_count(self) -> int:
        """Return the number of attempts that are started or reserved."""
        return len(self.alive) - len(self.waiting)

    @property
    def waiting_tokens(self) -> int:
        """Return the tokens of KV cache that the waiting attempts need."""
        return sum(tokens_needed(attempt.hand_over) for attempt in self.waiting)

    @property
    def prefill_tokens(self) -> int:
        """Return the prompt tokens that are accepted but not yet prefilled."""
        return sum(
            attempt.hand_over.prefill_tokens
            for attempt in self.alive.values()
            if attempt.phase in PREFILL_PHASES
        )

    @property
    def decoding_count(self) -> int:
        """Return the number of attempts that generate output tokens."""
        return sum(
            attempt.phase is AttemptPhase.DECODING and not attempt.hand_over.is_part
            for attempt in self.alive.values()
        )

    def accept(self, hand_over: HandOver, now: float) -> None:
        """Add an accepted attempt to the waiting ones."""
        max_deadline = self.config.max_deadline_seconds
        attempt = Attempt.from_hand_over(hand_over, now, max_deadline)
        self.alive[attempt.attempt_id] = attempt
        insort(self.waiting, attempt, key=lambda each: each.start_rank)

    def start_ready(self, now: float) -> list[SidecarEffect]:
        """Start the waiting attempts that fit, in rank order.

        Smaller attempts may overtake a large one that does not fit yet, but only for
        `bypass_seconds`: under a steady stream of small attempts, memory for the large
        one would never become free, and it would wait until its deadline.
        """
        effects: list[SidecarEffect] = []
        for attempt in tuple(self.waiting):
            if self.started_count >= self.config.max_running:
                break
            if self._fits_now(attempt.hand_over):
                effects.append(self._start(attempt, now))
            elif now - attempt.arrived_at >= self.config.bypass_seconds:
                break
        return effects

    def _fits_now(self, hand_over: HandOver) -> bool:
        return not self.memory.is_bounded or self.memory.fits(tokens_needed(hand_over))

    def _start(self, attempt: Attempt, now: float) -> StartAttempt | ReportReserved:
        self.waiting.remove(attempt)
        self.memory.reserve(attempt.attempt_id, tokens_needed(attempt.hand_over))
        if attempt.hand_over.is_spread:
            attempt.phase = AttemptPhase.RESERVED
            return ReportReserved(attempt.attempt_id)
        return self._hand_to_upstream(attempt, (), now)

    def start_reserved(
        self, attempt_id: AttemptId, parts: tuple[KvReference, ...], now: float
    ) -> list[SidecarEffect]:
        """Start a reserved attempt; ignore repeated or late messages."""
        attempt = self.alive.get(attempt_id)
        if attempt is None or attempt.phase is not AttemptPhase.RESERVED:
            return []
        return [self._hand_to_upstream(attempt, parts, now)]

    def _hand_to_upstream(
        self, attempt: Attempt, parts: tuple[KvReference, ...], now: float
    ) -> StartAttempt:
        attempt.phase = AttemptPhase.HANDED_OVER
        attempt.started_at = now
        attempt.prefix_was_hot = attempt.hand_over.prefix_hash in self.hot_prefixes
        self._mark_overlap(attempt)
        return StartAttempt(attempt.hand_over, parts)

    def _mark_overlap(self, attempt: Attempt) -> None:
        attempt.overlapped = bool(self.prefilling)
        for other_id in self.prefilling:
            self.alive[other_id].overlapped = True
        self.prefilling.add(attempt.attempt_id)

    def record_accepted(self, attempt_id: AttemptId) -> None:
        """Record that the upstream accepted an attempt."""
        attempt = self.alive.get(attempt_id)
        if attempt is not None and attempt.phase is AttemptPhase.HANDED_OVER:
            attempt.phase = AttemptPhase.ACCEPTED

    def record_first_token(self, attempt_id: AttemptId, now: float) -> None:
        """Record that a prompt is prefilled, and learn its cost."""
        attempt = self.alive.get(attempt_id)
        if attempt is None or attempt_id not in self.prefilling:
            return
        self.prefilling.discard(attempt_id)
        attempt.phase = AttemptPhase.DECODING
        attempt.first_token_at = now
        if attempt.hand_over.is_spread:
            # A part costs more than a whole prompt of the same length, because it
            # attends to all tokens before it. As a sample it would make whole prompts
            # look too expensive.
            return
        self.costs.record_first_token(attempt, now)
        self.hot_prefixes.record(attempt.hand_over.prefix_hash)

    def finish(
        self, attempt_id: AttemptId, whole: bool, output_tokens: int, now: float
    ) -> list[SidecarEffect]:
        """End an attempt whose answer at the upstream has ended."""
        attempt = self.alive.get(attempt_id)
        if attempt is None or not attempt.was_handed_over:
            return []
        if whole and attempt.phase is AttemptPhase.DECODING:
            self.costs.record_decode(now - attempt.first_token_at, output_tokens)
        return self._end_started(attempt, now)

    def _end_started(self, attempt: Attempt, now: float) -> list[SidecarEffect]:
        attempt_id = attempt.attempt_id
        del self.alive[attempt_id]
        self.prefilling.discard(attempt_id)
        self.memory.free(attempt_id)
        sequence = attempt.hand_over.load_sequence
        self.ended.record(attempt_id, ExecutionStatus.MAY_HAVE_RUN, sequence)
        kept_until = now + self.config.answer_retention_seconds
        if attempt.hand_over.non_idempotent:
            kept_until = max(kept_until, attempt.deadline_at)
        self.finished[attempt_id] = kept_until
        if len(self.finished) <= self.config.max_finished:
            return []
        oldest = next(iter(self.finished))
        del self.finished[oldest]
        return [DropFrames(oldest)]

    def tombstone(self, attempt: Attempt) -> None:
        """Drop an attempt that was not handed over, so that it never starts."""
        if attempt.is_waiting:
            self.waiting.remove(attempt)
        self.memory.free(attempt.attempt_id)
        del self.alive[attempt.attempt_id]
        sequence = attempt.hand_over.load_sequence
        self.ended.record(attempt.attempt_id, ExecutionStatus.NEVER_RAN, sequence)

    def abort(
        self, attempt: Attempt, reason: RefusalReason, now: float
    ) -> list[SidecarEffect]:
        """Refuse an attempt before its start, or cancel it at the upstream."""
        if not attempt.was_handed_over:
            self.tombstone(attempt)
            refusal = self._refusal(RefusalCode.NOT_RUN, reason, WAIT_STEP)
            return [EndAttempt(attempt.attempt_id, refusal)]
        if attempt.phase is AttemptPhase.CANCELLING:
            return []
        self.prefilling.discard(attempt.attempt_id)
        attempt.phase = AttemptPhase.CANCELLING
        attempt.cancelled_at = now
        attempt.cancel_sent_at = now
        refusal = self._refusal(RefusalCode.FAILED, reason, RUN_STEP)
        return [
            CancelAtUpstream(attempt.attempt_id),
            EndAttempt(attempt.attempt_id, refusal),
        ]

    def _refusal(self, code: RefusalCode, reason: RefusalReason, step: str) -> Refusal:
        return Refusal(code, reason, step, self.config.description.upstream_id)

    def end_confirmed_cancels(
        self, held: Collection[AttemptId], now: float
    ) -> list[SidecarEffect]:
        """End cancelled attempts that the engine no longer holds.

        An inventory right after the cancel proves nothing: it may have been read before
        the engine knew of the attempt. So only cancels that are at least
        `cancel_settle_seconds` old are considered.
        """
        oldest = now - self.config.cancel_settle_seconds
        gone = [
            attempt
            for attempt in self._cancelling()
            if attempt.cancelled_at <= oldest and attempt.attempt_id not in held
        ]
        return self._end_all(gone, now)

    def tick(self, now: float) -> list[SidecarEffect]:
        """Enforce deadlines, repeat cancels and drop expired frames."""
        effects: list[SidecarEffect] = []
        for attempt in tuple(self.alive.values()):
            if now >= attempt.deadline_at:
                effects += self.abort(attempt, RefusalReason.DEADLINE_PASSED, now)
        effects += self._repeat_cancels(now)
        effects += self._forget_finished(now)
        return effects

    def _cancelling(self) -> list[Attempt]:
        return [
            attempt
            for attempt in self.alive.values()
            if attempt.phase is AttemptPhase.CANCELLING
        ]

    def _repeat_cancels(self, now: float) -> list[SidecarEffect]:
        """Repeat cancels; end the attempt when the upstream does not react in time."""
        limit = now - self.config.cancel_timeout_seconds
        effects: list[SidecarEffect] = []
        for attempt in self._cancelling():
            if attempt.cancelled_at <= limit:
                effects += self._end_started(attempt, now)
            elif now - attempt.cancel_sent_at >= self.config.cancel_repeat_seconds:
                attempt.cancel_sent_at = now
                effects.append(CancelAtUpstream(attempt.attempt_id))
        return effects

    def _end_all(self, attempts: list[Attempt], now: float) -> list[SidecarEffect]:
        return [
            effect for attempt in attempts for effect in self._end_started(attempt, now)
        ]

    def _forget_finished(self, now: float) -> list[SidecarEffect]:
        over = [name for name, until in self.finished.items() if until <= now]
        for name in over:
            del self.finished[name]
        return [DropFrames(name) for name in over]
