"""Implement the sidecar as a state machine from events to effects."""

from dataclasses import dataclass
from typing import Self

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import AttemptId, InstanceId
from cowslipshelf_core.internal.sidecar.admission import AdmissionRules
from cowslipshelf_core.internal.sidecar.attempt import tokens_needed
from cowslipshelf_core.internal.sidecar.attempts import AttemptTable
from cowslipshelf_core.internal.sidecar.config import SidecarConfig
from cowslipshelf_core.internal.sidecar.effects import (
    AnswerRevoke,
    LeavingFinished,
    RefuseAttempt,
    ReleaseAtUpstream,
    SidecarEffect,
)
from cowslipshelf_core.internal.sidecar.ended_attempts import (
    UNKNOWN_SEQUENCE,
    ExecutionStatus,
)
from cowslipshelf_core.internal.sidecar.events import (
    CancelArrived,
    ConfigurationApplied,
    FencingConfirmed,
    FirstTokenArrived,
    HandOverArrived,
    HeldMemory,
    InventoryRead,
    LeavingStarted,
    OrderArrived,
    OrderFinished,
    OwnerSeen,
    PartsArrived,
    RevokeArrived,
    SidecarEvent,
    TickElapsed,
    UpstreamAccepted,
    UpstreamFinished,
    UpstreamUnreachable,
)
from cowslipshelf_core.internal.sidecar.orders import OrderGate
from cowslipshelf_core.internal.sidecar.owners import OwnerLeases
from cowslipshelf_core.messages import AttemptRefused, MayHaveRun, NeverRan
from cowslipshelf_core.upstream import HandOver, LoadReport

HAND_OVER_STEP = "hand-over"


@dataclass
class SidecarState:
    """Hold the state of a sidecar, which decides alone what its upstream is handed."""

    config: SidecarConfig
    table: AttemptTable
    owners: OwnerLeases
    orders: OrderGate
    rules: AdmissionRules | None = None
    """Rules of the configuration in force; None before the first one."""
    sequence: int = 0
    leaving: bool = False
    left: bool = False
    unreachable: bool = False
    """Whether a connection failed and no inventory has been read since."""

    @classmethod
    def from_config(cls, config: SidecarConfig) -> Self:
        """Create an empty state; nothing is kept over a restart."""
        return cls(
            config,
            AttemptTable.from_config(config),
            OwnerLeases.from_config(config),
            OrderGate(config),
        )

    def handle(self, event: SidecarEvent, now: float) -> list[SidecarEffect]:
        """Handle one event at `now` (monotonic seconds); return its effects."""
        effects = self._dispatch(event, now)
        if self.table.waiting:
            effects += self.table.start_ready(now)
        if self.leaving:
            effects += self._leave_when_idle()
        return effects

    def load_report(self) -> LoadReport:
        """Return a load report with the next sequence number."""
        self.sequence += 1
        table = self.table
        slopes = table.costs.prefill_slopes()
        return LoadReport(
            sequence=self.sequence,
            running=table.started_count,
            decoding=table.decoding_count,
            prefill_tokens=table.prefill_tokens,
            reserved_tokens=table.memory.reserved_tokens
            + table.memory.unclaimed_tokens
            + table.waiting_tokens,
            memory_tokens=self.config.description.memory_tokens,
            prefill_seconds_per_token=slopes.linear,
            prefill_seconds_per_token_squared=slopes.quadratic,
            decode_seconds_per_token=table.costs.decode_seconds_per_token(),
            hot_prefixes=tuple(table.hot_prefixes.hashes),
        )

    @property
    def takes_work(self) -> bool:
        """Return whether entries may route new requests to this upstream."""
        return not (self.leaving or self.is_engine_unreachable)

    @property
    def is_engine_unreachable(self) -> bool:
        """Return whether the engine can't be reached.

        It is always false for a plain service, which has no inventory to show that it
        is back.
        """
        return self.unreachable and self.config.description.kind == "model"

    def _dispatch(self, event: SidecarEvent, now: float) -> list[SidecarEffect]:
        match event:
            case HandOverArrived(hand_over):
                return self._handle_hand_over(hand_over, now)
            case UpstreamAccepted(attempt_id):
                self.table.record_accepted(attempt_id)
            case FirstTokenArrived(attempt_id):
                self.table.record_first_token(attempt_id, now)
            case UpstreamFinished(attempt_id, whole, output_tokens):
                return self.table.finish(attempt_id, whole, output_tokens, now)
            case PartsArrived(attempt_id, parts):
                return self.table.start_reserved(attempt_id, parts, now)
            case RevokeArrived():
                return [AnswerRevoke(self._revoke(event))]
            case CancelArrived(attempt_id):
                return self._cancel(attempt_id, now)
            case OwnerSeen(owner):
                self.owners.renew(owner, now)
            case UpstreamUnreachable():
                self.unreachable = True
            case InventoryRead(held):
                self.unreachable = False
                return self._reconcile(held, now)
            case ConfigurationApplied(configuration):
                self._apply(configuration)
            case LeavingStarted():
                self.leaving = True
                return self.orders.refuse_pending()
            case OrderArrived(order):
                return self.orders.submit(order, self.leaving, now)
            case FencingConfirmed(number):
                return self.orders.confirm(number)
            case OrderFinished(number):
                self.orders.finish(number)
            case TickElapsed():
                return self._tick(now)
        return []

    def _handle_hand_over(self, hand_over: HandOver, now: float) -> list[SidecarEffect]:
        self.owners.renew(hand_over.owner, now)
        refusal = self._permanent_refusal(hand_over)
        if refusal is None:
            refusal = self._temporary_refusal(hand_over)
            if refusal is not None and not hand_over.is_spread:
                # The reason may no longer hold when a duplicate of this hand-over
                # arrives, but the duplicate must not run after this copy was answered
                # with "not run". A part of a spread prompt is exempt: accepting it only
                # reserves memory, and it runs only after `PartsArrived`. Its id stays
                # usable, so that the last part, whose id a claim may name, can be
                # handed over again.
                self._tombstone(hand_over.attempt_id, hand_over.load_sequence)
        if refusal is not None:
            refused = AttemptRefused(refusal, self.load_report())
            return [RefuseAttempt(hand_over.attempt_id, refused)]
        self.table.accept(hand_over, now)
        return []

    def _permanent_refusal(self, hand_over: HandOver) -> Refusal | None:
        """Refuse for reasons that also hold for every later copy of the hand-over."""
        description = self.config.description
        addressee = (description.upstream_id, self.config.epoch)
        if (hand_over.upstream_id, hand_over.sidecar_epoch) != addressee:
            return self._not_run(RefusalReason.WRONG_EPOCH)
        status = self._status_of(hand_over.attempt_id, hand_over.load_sequence)
        if status is ExecutionStatus.NEVER_RAN:
            return self._not_run(RefusalReason.TOMBSTONED)
        if status is ExecutionStatus.MAY_HAVE_RUN:
            # A copy is running, will run or may have run. If this one were answered
            # with "not run", the entry would run the request a second time.
            return self._refusal(
                RefusalCode.OUTCOME_UNKNOWN, RefusalReason.DUPLICATE_ATTEMPT
            )
        if hand_over.deadline_seconds <= 0:
            return self._not_run(RefusalReason.DEADLINE_PASSED)
        if self.leaving:
            return self._not_run(RefusalReason.LEAVING)
        memory_tokens = description.memory_tokens
        if 0 < memory_tokens < tokens_needed(hand_over):
            return self._not_run(RefusalReason.TOO_LARGE)
        return None

    def _temporary_refusal(self, hand_over: HandOver) -> Refusal | None:
        """Refuse for reasons that may not hold a moment later."""
        if self.rules is None:
            return self._not_run(RefusalReason.NOT_READY)
        reason = self.rules.refusal_reason(hand_over)
        if reason is not None:
            return self._not_run(reason)
        # A dead engine fails each attempt at once, so it has the lowest load of all and
        # would attract the requests of the whole fleet. It gets none until it answers
        # an inventory request again.
        if self.is_engine_unreachable:
            return self._not_run(RefusalReason.UPSTREAM_FAILED)
        table = self.table
        if len(table.waiting) >= self.config.max_waiting:
            return self._not_run(RefusalReason.OVERLOADED)
        # Counts the waiting attempts without the new one. Otherwise, under a steady
        # stream of small attempts, the small ones would always be accepted and a large
        # one never.
        limit = self.config.waiting_memory_share * self.config.description.memory_tokens
        if table.memory.is_bounded and table.waiting_tokens > limit:
            return self._not_run(RefusalReason.BUSY)
        return None

    def _not_run(self, reason: RefusalReason) -> Refusal:
        return self._refusal(RefusalCode.NOT_RUN, reason)

    def _refusal(self, code: RefusalCode, reason: RefusalReason) -> Refusal:
        peer = self.config.description.upstream_id
        return Refusal(code, reason, HAND_OVER_STEP, peer)

    def _status_of(self, attempt_id: AttemptId, load_sequence: int) -> ExecutionStatus:
        if attempt_id in self.table.alive:
            return ExecutionStatus.MAY_HAVE_RUN
        return self.table.ended.status_of(attempt_id, load_sequence)

    def _tombstone(self, attempt_id: AttemptId, load_sequence: int) -> None:
        self.table.ended.record(attempt_id, ExecutionStatus.NEVER_RAN, load_sequence)

    def _revoke(self, event: RevokeArrived) -> NeverRan | MayHaveRun:
        attempt_id = event.attempt_id
        # Nothing is known of earlier starts: the attempt may have run then.
        if event.epoch != self.config.epoch:
            return MayHaveRun(attempt_id, known=False)
        attempt = self.table.alive.get(attempt_id)
        if attempt is not None and not attempt.was_handed_over:
            self.table.tombstone(attempt)
            return NeverRan(attempt_id)
        if attempt is not None or attempt_id in self.table.finished:
            return MayHaveRun(attempt_id, known=True)
        status = self.table.ended.status_of(attempt_id, event.load_sequence)
        if status is ExecutionStatus.MAY_HAVE_RUN:
            return MayHaveRun(attempt_id, known=False)
        if not self.table.ended.rejects_copies(attempt_id, event.load_sequence):
            self._tombstone(attempt_id, self.sequence)
        return NeverRan(attempt_id)

    def _cancel(self, attempt_id: AttemptId, now: float) -> list[SidecarEffect]:
        attempt = self.table.alive.get(attempt_id)
        if attempt is not None:
            return self.table.abort(attempt, RefusalReason.CANCELLED, now)
        # The cancel may have overtaken its hand-over, which then must not run. Or the
        # attempt ran and was evicted; then it must not be marked as never run.
        ended = self.table.ended
        if not ended.rejects_copies(attempt_id, UNKNOWN_SEQUENCE):
            known = ended.status_of(attempt_id, UNKNOWN_SEQUENCE)
            status = (
                ExecutionStatus.NEVER_RAN if known is ExecutionStatus.UNKNOWN else known
            )
            ended.record(attempt_id, status, self.sequence)
        return []

    def _reconcile(
        self, held: tuple[HeldMemory, ...], now: float
    ) -> list[SidecarEffect]:
        names = {memory.attempt_id for memory in held}
        effects = self.table.end_confirmed_cancels(names, now)
        due = self.table.memory.reconcile(held, now)
        return effects + [ReleaseAtUpstream(attempt_id) for attempt_id in due]

    def _apply(self, configuration: FleetConfiguration) -> None:
        if self.rules is None or configuration.version > self.rules.version:
            self.rules = AdmissionRules.from_configuration(configuration)

    def _tick(self, now: float) -> list[SidecarEffect]:
        self.table.memory.expire_inventory(now)
        effects = self.table.tick(now)
        for owner in self.owners.tick(now):
            effects += self._abort_attempts_of(owner, now)
        effects += self.orders.request_fencing_if_due(now)
        return effects

    def _abort_attempts_of(self, owner: InstanceId, now: float) -> list[SidecarEffect]:
        """Abort the attempts of an entry whose lease has ended.

        A non-idempotent attempt that was handed over runs on until its deadline. If it
        were cancelled half-way, its outcome would never be known, while a complete
        answer can still be read by the entry that receives the caller's resend.
        """
        effects: list[SidecarEffect] = []
        for attempt in tuple(self.table.alive.values()):
            if attempt.hand_over.owner != owner:
                continue
            if not attempt.was_handed_over or not attempt.hand_over.non_idempotent:
                effects += self.table.abort(attempt, RefusalReason.CANCELLED, now)
        return effects

    def _leave_when_idle(self) -> list[SidecarEffect]:
        busy = self.table.alive or self.orders.running is not None
        if busy or self.left:
            return []
        self.left = True
        return [LeavingFinished()]
