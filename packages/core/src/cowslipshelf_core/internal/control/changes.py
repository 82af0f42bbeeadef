"""Record planned changes and apply each of them at most once."""

import hashlib
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.identifiers import (
    ChangeId,
    ConfigurationVersion,
    OperatorName,
    PlanId,
)
from cowslipshelf_core.internal.control.bounded_records import BoundedRecords
from cowslipshelf_core.internal.control.codec import decode_outcome, encode_outcome
from cowslipshelf_core.internal.control.commands import ConfirmPlan, RecordPlan
from cowslipshelf_core.internal.control.limits import (
    MAX_CHANGE_BYTES,
    MAX_CHANGE_IDS,
    MAX_PENDING_PLAN_BYTES,
    MAX_PENDING_PLANS,
)
from cowslipshelf_core.internal.control.orders import OrderTable
from cowslipshelf_core.internal.control.outcomes import (
    PlanConfirmed,
    PlanOutdated,
    PlanRecorded,
    PlanRefused,
    PlanUnknown,
)
from cowslipshelf_core.internal.control.planning import PlanDraft, draft_plan
from cowslipshelf_core.internal.control.plans import Plan


class ChangeRecord(NamedTuple):
    """Hold the owner of a change id, and the first answer to its change."""

    operator: OperatorName
    digest: bytes
    """Digest of the change, as `change_digest` computes it."""
    first_answer: bytes
    """Encoded outcome, which every resend of the change gets."""


class Confirmation(NamedTuple):
    """Hold the outcome of a confirmation, and the draft if it took effect."""

    outcome: PlanConfirmed | PlanOutdated | PlanUnknown | PlanRefused
    first: bool
    """False if the confirmation was refused or repeats an earlier answer."""
    change_id: ChangeId | None = None
    draft: PlanDraft | None = None


CHANGE_DECODER = msgspec.msgpack.Decoder(ChangeRecord)
PENDING_DECODER = msgspec.msgpack.Decoder(RecordPlan)


@dataclass
class ChangeTable:
    """Store the configuration in force, the pending plans and the first answers.

    Answers are indexed by change id and by plan id and are part of snapshots, so that
    a resend gets its first answer from any instance and under any leader.
    """

    configuration: FleetConfiguration = FleetConfiguration()
    change_records: BoundedRecords = field(
        default_factory=lambda: BoundedRecords(MAX_CHANGE_IDS, MAX_CHANGE_BYTES)
    )
    """Encoded `ChangeRecord` by change id."""
    pending_plans: BoundedRecords = field(
        default_factory=lambda: BoundedRecords(
            MAX_PENDING_PLANS, MAX_PENDING_PLAN_BYTES
        )
    )
    """Encoded `RecordPlan` by plan id, until the plan is confirmed."""
    confirmations: BoundedRecords = field(
        default_factory=lambda: BoundedRecords(MAX_CHANGE_IDS, MAX_CHANGE_BYTES)
    )
    """Encoded outcome of the confirmation by plan id."""

    def record(
        self, command: RecordPlan, index: int
    ) -> tuple[PlanRecorded | PlanRefused | PlanOutdated, bool]:
        """Answer a change with a plan, and whether this is its first answer."""
        digest = change_digest(command)
        known = self.change_records.get(command.change_id)
        if known is not None:
            return self.repeat(command, CHANGE_DECODER.decode(known), digest), False
        if command.based_on > self.configuration.version:
            reason = (
                f"based_on is {command.based_on}, but the newest version is"
                f" {self.configuration.version}"
            )
            return PlanRefused(command.change_id, (reason,)), False
        outcome = self.draft_answer(command, index)
        if isinstance(outcome, PlanRefused):
            # Not stored, so that the operator can correct the change under its id.
            return outcome, False
        answer = ChangeRecord(command.operator, digest, encode_outcome(outcome))
        self.change_records.put(command.change_id, msgspec.msgpack.encode(answer))
        return outcome, True

    def repeat(
        self, command: RecordPlan, known: ChangeRecord, digest: bytes
    ) -> PlanRecorded | PlanOutdated | PlanRefused:
        """Repeat the first answer, unless the id belongs to another change."""
        if known.operator != command.operator:
            reason = f"change id {command.change_id!r} is another operator's"
            return PlanRefused(command.change_id, (reason,))
        if known.digest != digest:
            reason = f"change id {command.change_id!r} was used for another change"
            return PlanRefused(command.change_id, (reason,))
        return decode_outcome(known.first_answer)

    def draft_answer(
        self, pending: RecordPlan, index: int
    ) -> PlanRecorded | PlanRefused | PlanOutdated:
        """Draft a plan on the current version, and store it for its confirmation."""
        current = self.configuration.version
        draft = draft_plan(self.configuration, pending.change, pending.upstreams)
        if draft.problems:
            if pending.based_on == current:
                return PlanRefused(pending.change_id, draft.problems)
            return PlanOutdated(current, None, draft.problems)
        plan_id = PlanId(f"plan-{index}")
        fresh = msgspec.structs.replace(pending, based_on=current)
        self.pending_plans.put(plan_id, msgspec.msgpack.encode(fresh))
        plan = Plan(
            plan_id=plan_id,
            change_id=pending.change_id,
            operator=pending.operator,
            based_on=current,
            changes=draft.changes,
            orders=draft.orders,
            touches=draft.touches,
            not_done=draft.not_done,
        )
        if pending.based_on == current:
            return PlanRecorded(plan)
        return PlanOutdated(current, plan)

    def confirm(
        self, command: ConfirmPlan, orders: OrderTable, index: int
    ) -> Confirmation:
        """Apply a plan unless another change was applied before it."""
        answered = self.confirmations.get(command.plan_id)
        if answered is not None:
            return Confirmation(decode_outcome(answered), first=False)
        data = self.pending_plans.get(command.plan_id)
        if data is None:
            return Confirmation(PlanUnknown(command.plan_id), first=False)
        pending = PENDING_DECODER.decode(data)
        if command.change_id not in (None, pending.change_id):
            reason = f"{command.plan_id} belongs to change id {pending.change_id!r}"
            refused = PlanRefused(command.change_id, (reason,))
            return Confirmation(refused, first=False)
        self.pending_plans.remove(command.plan_id)
        confirmation = self.apply_if_current(command.plan_id, pending, orders, index)
        self.confirmations.put(command.plan_id, encode_outcome(confirmation.outcome))
        return confirmation

    def apply_if_current(
        self, plan_id: PlanId, pending: RecordPlan, orders: OrderTable, index: int
    ) -> Confirmation:
        """Compare and set the version: of two plans on one version, one applies."""
        current = self.configuration
        if pending.based_on != current.version:
            outdated = self.draft_answer(pending, index)
            return Confirmation(outdated, True, pending.change_id)
        draft = draft_plan(current, pending.change, pending.upstreams)
        if draft.configuration != current:
            version = ConfigurationVersion(current.version + 1)
            self.configuration = msgspec.structs.replace(
                draft.configuration, version=version
            )
        confirmed = PlanConfirmed(
            plan_id,
            pending.change_id,
            self.configuration.version,
            orders.open_planned(draft.orders, plan_id, index),
        )
        return Confirmation(confirmed, True, pending.change_id, draft)


def change_digest(command: RecordPlan) -> bytes:
    """Compute the digest of a change, without the upstreams that its sender knew."""
    data = msgspec.msgpack.encode((command.based_on, command.change))
    return hashlib.blake2b(data, digest_size=16).digest()
