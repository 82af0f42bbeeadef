"""Decide what is handed to an upstream, and answer for what never was."""

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
from cowslipshelf_core.internal.sidecar.spent import NOT_KNOWN, Fate
from cowslipshelf_core.messages import AttemptRefused, MayHaveRun, NeverRan
from cowslipshelf_core.upstream import HandOver, LoadReport

HAND_OVER_STEP = "hand-over"


@dataclass
class SidecarState:
    """Be the authority on what one upstream was given."""

    config: SidecarConfig
    table: AttemptTable
    owners: OwnerLeases
    orders: OrderGate
    rules: AdmissionRules | None = None
    """What the configuration in force says; None before the first one."""
    sequence: int = 0
    leaving: bool = False
    left: bool = False
    unreachable: bool = False
    """Whether the upstream took no connection, and gave no inventory since."""

    @classmethod
    def from_config(cls, config: SidecarConfig) -> Self:
        """Start with no memory of any earlier start."""
        return cls(
            config,
            AttemptTable.from_config(config),
            OwnerLeases.from_config(config),
            OrderGate(config),
        )

    def handle(self, event: SidecarEvent, now: float) -> list[SidecarEffect]:
        """Take in one event at `now` (monotonic seconds)."""
        effects = self._dispatch(event, now)
        if self.table.waiting:
            effects += self.table.start_ready(now)
        if self.leaving:
            effects += self._leave_when_idle()
        return effects

    def load_report(self) -> LoadReport:
        """Return a new report of how full the upstream is."""
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
        """Return whether entries may choose this upstream for new work."""
        return not (self.leaving or self.is_cut_off)

    @property
    def is_cut_off(self) -> bool:
        """Return whether the engine can't be reached.

        A plain service gives no inventory, by which its return would be known.
        """
        return self.unreachable and self.config.description.kind == "model"

    def _dispatch(self, event: SidecarEvent, now: float) -> list[SidecarEffect]:
        match event:
            case HandOverArrived(hand_over):
                return self._take_hand_over(hand_over, now)
            case UpstreamAccepted(attempt_id):
                self.table.note_accepted(attempt_id)
            case FirstTokenArrived(attempt_id):
                self.table.note_first_token(attempt_id, now)
            case UpstreamFinished(attempt_id, whole, output_tokens):
                return self.table.finish(attempt_id, whole, output_tokens, now)
            case PartsArrived(attempt_id, parts):
                return self.table.begin(attempt_id, parts, now)
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
                return self._compare(held, now)
            case ConfigurationApplied(configuration):
                self._apply(configuration)
            case LeavingStarted():
                self.leaving = True
                return self.orders.refuse_pending()
            case OrderArrived(order):
                return self.orders.take(order, self.leaving, now)
            case FencingConfirmed(number):
                return self.orders.confirm(number)
            case OrderFinished(number):
                self.orders.finish(number)
            case TickElapsed():
                return self._tick(now)
        return []

    def _take_hand_over(self, hand_over: HandOver, now: float) -> list[SidecarEffect]:
        self.owners.renew(hand_over.owner, now)
        refusal = self._standing_refusal(hand_over)
        if refusal is None:
            refusal = self._passing_refusal(hand_over)
            if refusal is not None and not hand_over.is_spread:
                # What stands against it now may have passed when another copy of it
                # comes; that one must not run after this one was answered "not run".
                # A part of a spread prompt only reserves memory when it is accepted
                # and runs on a later word alone. Its id stays usable, so that the
                # last part, whose id a claim may name, can be handed over again.
                self._tombstone(hand_over.attempt_id, hand_over.load_sequence)
        if refusal is not None:
            refused = AttemptRefused(refusal, self.load_report())
            return [RefuseAttempt(hand_over.attempt_id, refused)]
        self.table.accept(hand_over, now)
        return []

    def _standing_refusal(self, hand_over: HandOver) -> Refusal | None:
        """Refuse for what holds for every copy of this hand-over, at any later time."""
        description = self.config.description
        addressee = (description.upstream_id, self.config.epoch)
        if (hand_over.upstream_id, hand_over.sidecar_epoch) != addressee:
            return self._not_run(RefusalReason.WRONG_EPOCH)
        fate = self._fate_of(hand_over.attempt_id, hand_over.load_sequence)
        if fate is Fate.NEVER_RAN:
            return self._not_run(RefusalReason.TOMBSTONED)
        if fate is Fate.MAY_HAVE_RUN:
            # Another copy runs, will run or has run: "not run" would be a lie, and
            # whoever believed it would run the request a second time.
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

    def _passing_refusal(self, hand_over: HandOver) -> Refusal | None:
        """Refuse for what may be otherwise a moment later."""
        if self.rules is None:
            return self._not_run(RefusalReason.NOT_READY)
        objection = self.rules.objection(hand_over)
        if objection is not None:
            return self._not_run(objection)
        # A dead engine fails each attempt at once, so it has the least load of all and
        # would draw the whole fleet's requests to itself. It gets none until it answers
        # an inventory again.
        if self.is_cut_off:
            return self._not_run(RefusalReason.UPSTREAM_FAILED)
        table = self.table
        if len(table.waiting) >= self.config.max_waiting:
            return self._not_run(RefusalReason.OVERLOADED)
        # What waits counts, not what comes: under a steady stream of small attempts a
        # large one would otherwise never find room to wait in, while they always do.
        most = self.config.waiting_memory_share * self.config.description.memory_tokens
        if table.memory.is_bounded and table.waiting_tokens > most:
            return self._not_run(RefusalReason.BUSY)
        return None

    def _not_run(self, reason: RefusalReason) -> Refusal:
        return self._refusal(RefusalCode.NOT_RUN, reason)

    def _refusal(self, code: RefusalCode, reason: RefusalReason) -> Refusal:
        peer = self.config.description.upstream_id
        return Refusal(code, reason, HAND_OVER_STEP, peer)

    def _fate_of(self, attempt_id: AttemptId, load_sequence: int) -> Fate:
        if attempt_id in self.table.alive:
            return Fate.MAY_HAVE_RUN
        return self.table.spent.fate_of(attempt_id, load_sequence)

    def _tombstone(self, attempt_id: AttemptId, load_sequence: int) -> None:
        self.table.spent.remember(attempt_id, Fate.NEVER_RAN, load_sequence)

    def _revoke(self, event: RevokeArrived) -> NeverRan | MayHaveRun:
        attempt_id = event.attempt_id
        # A sidecar has no memory of earlier starts: the attempt may have run then.
        if event.epoch != self.config.epoch:
            return MayHaveRun(attempt_id, known=False)
        attempt = self.table.alive.get(attempt_id)
        if attempt is not None and not attempt.was_given:
            self.table.tombstone(attempt)
            return NeverRan(attempt_id)
        if attempt is not None or attempt_id in self.table.finished:
            return MayHaveRun(attempt_id, known=True)
        fate = self.table.spent.fate_of(attempt_id, event.load_sequence)
        if fate is Fate.MAY_HAVE_RUN:
            return MayHaveRun(attempt_id, known=False)
        if not self.table.spent.keeps_out(attempt_id, event.load_sequence):
            self._tombstone(attempt_id, self.sequence)
        return NeverRan(attempt_id)

    def _cancel(self, attempt_id: AttemptId, now: float) -> list[SidecarEffect]:
        attempt = self.table.alive.get(attempt_id)
        if attempt is not None:
            return self.table.give_up(attempt, RefusalReason.CANCELLED, now)
        # A cancel can overtake its hand-over, which nobody would wait for any more; or
        # come for one that ran and was forgotten, of which nothing may be promised.
        spent = self.table.spent
        if not spent.keeps_out(attempt_id, NOT_KNOWN):
            known = spent.fate_of(attempt_id, NOT_KNOWN)
            fate = Fate.NEVER_RAN if known is Fate.UNKNOWN else known
            spent.remember(attempt_id, fate, self.sequence)
        return []

    def _compare(self, held: tuple[HeldMemory, ...], now: float) -> list[SidecarEffect]:
        names = {memory.attempt_id for memory in held}
        effects = self.table.settle_cancelled(names, now)
        due = self.table.memory.compare(held, now)
        return effects + [ReleaseAtUpstream(attempt_id) for attempt_id in due]

    def _apply(self, configuration: FleetConfiguration) -> None:
        if self.rules is None or configuration.version > self.rules.version:
            self.rules = AdmissionRules.from_configuration(configuration)

    def _tick(self, now: float) -> list[SidecarEffect]:
        self.table.memory.drop_old_inventory(now)
        effects = self.table.tick(now)
        for owner in self.owners.tick(now):
            effects += self._give_up_owner(owner, now)
        effects += self.orders.ask_if_due(now)
        return effects

    def _give_up_owner(self, owner: InstanceId, now: float) -> list[SidecarEffect]:
        """End the attempts of an entry that is gone.

        An attempt that may not be repeated, and was handed over, goes on until its
        deadline: cancelled half way its outcome could never be known, while a whole
        answer can still be read by the entry that meets the caller's resend.
        """
        effects: list[SidecarEffect] = []
        for attempt in tuple(self.table.alive.values()):
            if attempt.hand_over.owner != owner:
                continue
            if not attempt.was_given or not attempt.hand_over.non_idempotent:
                effects += self.table.give_up(attempt, RefusalReason.CANCELLED, now)
        return effects

    def _leave_when_idle(self) -> list[SidecarEffect]:
        busy = self.table.alive or self.orders.running is not None
        if busy or self.left:
            return []
        self.left = True
        return [LeavingFinished()]
