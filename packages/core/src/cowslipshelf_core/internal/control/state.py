"""Apply commands to the replicated control state deterministically."""

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.identifiers import (
    ChangeId,
    ConfigurationVersion,
    FencingNumber,
    OperatorName,
    UpstreamId,
)
from cowslipshelf_core.internal.control.audit import AuditRecord, AuditTrail
from cowslipshelf_core.internal.control.changes import CHANGE_DECODER, ChangeTable
from cowslipshelf_core.internal.control.claims import ClaimTable
from cowslipshelf_core.internal.control.codec import decode_outcome
from cowslipshelf_core.internal.control.commands import (
    AskLoadGrant,
    CloseOrder,
    ConfirmPlan,
    ControlCommand,
    PutRoutes,
    RecordMembership,
    RecordPlan,
    RequestOrder,
    ReturnLoadGrant,
    SetEvacuation,
)
from cowslipshelf_core.internal.control.errors import AppliedOutOfOrderError
from cowslipshelf_core.internal.control.evacuation_register import EvacuationRegister
from cowslipshelf_core.internal.control.grants import LoadGrants, OpenGrant
from cowslipshelf_core.internal.control.orders import OrderTable
from cowslipshelf_core.internal.control.outcomes import (
    ControlOutcome,
    LoadGranted,
    MembershipRecorded,
    OrderClosed,
    OrderGranted,
    PlanConfirmed,
    PlanOutdated,
    PlanRecorded,
)
from cowslipshelf_core.internal.control.route_register import RouteRegister
from cowslipshelf_core.internal.control.snapshots import (
    SNAPSHOT_FORMAT,
    ControlSnapshot,
    decode_snapshot,
)
from cowslipshelf_core.messages import (
    ClaimAsked,
    ClaimFinished,
    ClaimLookedUp,
    ClaimMoved,
)

ROUTES_OPERATOR = OperatorName("routes")
"""Operator in the audit trail of commands that don't name one."""
EVACUATION_OPERATOR = OperatorName("evacuation")
"""Operator in the audit trail of evacuations, whose orders don't name one."""


class ChangeExplanation(NamedTuple):
    """Describe what became of a change."""

    change_id: ChangeId
    operator: OperatorName
    first_answer: PlanRecorded | PlanOutdated
    audit: tuple[AuditRecord, ...]
    """Audit records of the change that the trail still has."""


@dataclass
class ControlState:
    """Hold the replicated state: configuration, claims, orders, grants, audit trail.

    It is deterministic: the same commands with the same indexes and times give the same
    outcomes and snapshots, byte for byte. The time is the leader's, taken from the log.
    """

    applied_index: int = 0
    clock: float = 0.0
    """Highest time seen; a leader whose clock is behind can't set it back."""
    changes: ChangeTable = field(default_factory=ChangeTable)
    claims: ClaimTable = field(default_factory=ClaimTable)
    orders: OrderTable = field(default_factory=OrderTable)
    grants: LoadGrants = field(default_factory=LoadGrants)
    audit_trail: AuditTrail = field(default_factory=AuditTrail)
    routes: RouteRegister = field(default_factory=RouteRegister)
    evacuations: EvacuationRegister = field(default_factory=EvacuationRegister)

    @property
    def configuration(self) -> FleetConfiguration:
        """The configuration in force."""
        return self.changes.configuration

    def apply(self, command: ControlCommand, index: int, at: float) -> ControlOutcome:
        """Apply a committed command; `at` is a Unix time in seconds.

        Indexes must increase; `AppliedOutOfOrderError` is raised otherwise.
        """
        if index <= self.applied_index:
            # Replaying log entries that the snapshot already contains would apply
            # claims and changes twice. The replica must stop rather than diverge.
            detail = f"index {index} after {self.applied_index}"
            raise AppliedOutOfOrderError("apply control command", detail)
        self.applied_index = index
        self.clock = max(self.clock, at)
        match command:
            case ClaimAsked():
                return self.claims.acquire(command, self.clock)
            case ClaimMoved():
                return self.claims.move(command, self.clock)
            case ClaimFinished():
                return self.claims.finish(command, self.clock)
            case ClaimLookedUp():
                return self.claims.look_up(command, self.clock)
            case RecordPlan():
                return self.record_plan(command)
            case ConfirmPlan():
                return self.confirm_plan(command)
            case RequestOrder():
                return self.request_order(command)
            case CloseOrder():
                return self.close_order(command)
            case AskLoadGrant():
                return self.request_load_grant(command)
            case ReturnLoadGrant():
                return self.return_load_grant(command)
            case RecordMembership():
                return self.record_membership(command)
            case PutRoutes():
                return self.put_routes(command)
            case SetEvacuation():
                return self.set_evacuation(command)

    def record_plan(self, command: RecordPlan) -> ControlOutcome:
        """Record a plan without applying it."""
        outcome, first = self.changes.record(command, self.applied_index)
        if first:
            self.add_audit_record(
                command.operator, "record_plan", command.change_id, "waits for confirm"
            )
        return outcome

    def confirm_plan(self, command: ConfirmPlan) -> ControlOutcome:
        """Apply a plan."""
        before = self.configuration
        confirmation = self.changes.confirm(command, self.orders, self.applied_index)
        if not confirmation.first:
            return confirmation.outcome
        match confirmation.outcome:
            case PlanConfirmed(opened=opened):
                # The time until now counts at the rate that was in force during it.
                self.grants.refill(before.weight_store, self.clock)
                changed = len(confirmation.draft.changes)
                detail = f"{changed} fields changed, {len(opened)} orders opened"
                action = "confirm_plan"
            case _:
                detail = f"{command.plan_id}: another change came first"
                action = "outdate_plan"
        self.add_audit_record(
            command.operator, action, confirmation.change_id, detail, before.version
        )
        return confirmation.outcome

    def request_order(self, command: RequestOrder) -> ControlOutcome:
        """Open an order."""
        outcome = self.orders.request(command, self.applied_index)
        match outcome:
            case OrderGranted(fencing=self.applied_index):
                detail = f"{command.upstream_id}: {command.kind} {command.argument}"
                self.add_audit_record(command.operator, "open_order", None, detail)
        return outcome

    def close_order(self, command: CloseOrder) -> ControlOutcome:
        """Close an order, and open the next one that waits."""
        fencing_before = self.orders.current_fencing(command.upstream_id)
        was_open = self.is_open(command)
        outcome = self.orders.close(command, self.applied_index)
        if was_open and isinstance(outcome, OrderClosed):
            end = "done" if command.succeeded else "failed"
            detail = f"{command.upstream_id}: {end}, was {fencing_before}"
            detail = f"{detail} {command.detail}".rstrip()
            self.add_audit_record(
                OperatorName(command.upstream_id), "close_order", None, detail
            )
        return outcome

    def is_open(self, command: CloseOrder) -> bool:
        """Return whether a report is about the open order."""
        open_order = self.orders.slot(command.upstream_id).open_order
        return open_order is not None and open_order.order_id == command.order_id

    def request_load_grant(self, command: AskLoadGrant) -> ControlOutcome:
        """Grant a load from the weight store."""
        known = command.grant_id in self.grants.grants
        limits = self.configuration.weight_store
        outcome = self.grants.request(command, limits, self.clock)
        if isinstance(outcome, LoadGranted) and not known:
            detail = f"{command.grant_id}: {command.tokens} for {command.upstream_id}"
            self.add_audit_record(
                OperatorName(command.holder), "grant_load", None, detail
            )
        return outcome

    def return_load_grant(self, command: ReturnLoadGrant) -> ControlOutcome:
        """End a load grant."""
        outcome = self.grants.release(command)
        if outcome.was_open:
            self.add_audit_record(
                OperatorName(command.holder), "return_load", None, command.grant_id
            )
        return outcome

    def record_membership(self, command: RecordMembership) -> ControlOutcome:
        """Record a change of the replica membership."""
        detail = f"{command.action} {command.instance} {command.detail}".rstrip()
        self.add_audit_record(command.operator, "change_membership", None, detail)
        return MembershipRecorded()

    def put_routes(self, command: PutRoutes) -> ControlOutcome:
        """Store a configuration of the gateways if it is the newest."""
        before = self.routes.document.version
        outcome = self.routes.put(command)
        held = self.routes.document.version
        if held != before:
            detail = f"routed configuration {before} to {held}"
            self.add_audit_record(ROUTES_OPERATOR, "put_routes", None, detail)
        return outcome

    def set_evacuation(self, command: SetEvacuation) -> ControlOutcome:
        """Evacuate a data centre, or withdraw its evacuation."""
        before = self.evacuations.state
        outcome = self.evacuations.set(command, self.applied_index)
        if self.evacuations.state != before:
            action = "evacuate" if command.evacuated else "withdraw_evacuation"
            self.add_audit_record(
                EVACUATION_OPERATOR, action, None, command.data_centre
            )
        return outcome

    def add_audit_record(
        self,
        operator: OperatorName,
        action: str,
        change_id: ChangeId | None,
        detail: str,
        version_before: ConfigurationVersion | None = None,
    ) -> None:
        """Add an audit record of the current command."""
        current = self.configuration.version
        before = current if version_before is None else version_before
        record = AuditRecord(
            self.applied_index,
            self.clock,
            operator,
            action,
            change_id,
            before,
            current,
            detail,
        )
        self.audit_trail.add(record)

    def current_fencing(self, upstream_id: UpstreamId) -> FencingNumber:
        """Return the number below which no order to the upstream is valid."""
        return self.orders.current_fencing(upstream_id)

    def open_orders(self) -> tuple[OrderGranted, ...]:
        """Return the orders that upstreams should be executing."""
        return self.orders.open_orders()

    def open_grants(self) -> tuple[OpenGrant, ...]:
        """Return the load grants that were not returned."""
        return self.grants.open_grants()

    def audit(self, since_index: int, limit: int) -> tuple[AuditRecord, ...]:
        """Return up to `limit` audit records after a log index, oldest first."""
        return self.audit_trail.since(since_index, limit)

    def explain_change(self, change_id: ChangeId) -> ChangeExplanation | None:
        """Return what became of a change, or None if its id is no longer stored."""
        data = self.changes.change_records.get(change_id)
        if data is None:
            return None
        record = CHANGE_DECODER.decode(data)
        first_answer = decode_outcome(record.first_answer)
        return ChangeExplanation(
            change_id,
            record.operator,
            first_answer,
            self.audit_trail.for_change(change_id),
        )

    def to_snapshot(self) -> bytes:
        """Encode the whole state as a snapshot."""
        snapshot = ControlSnapshot(
            format_version=SNAPSHOT_FORMAT,
            applied_index=self.applied_index,
            clock=self.clock,
            configuration=self.configuration,
            changes=self.changes.change_records.records,
            pending=self.changes.pending_plans.records,
            confirmations=self.changes.confirmations.records,
            claims=self.claims.records,
            answers=self.claims.answers.records,
            late_finishes=self.claims.late_finishes,
            order_slots=tuple(self.orders.slots.values()),
            dropped_fencing=self.orders.dropped_fencing,
            grants=self.grants.open_grants(),
            grant_tokens=self.grants.tokens,
            grants_filled_at=self.grants.filled_at,
            audit=tuple(self.audit_trail.records),
            routes=self.routes.document,
            evacuations=self.evacuations.state,
        )
        return msgspec.msgpack.encode(snapshot)

    @classmethod
    def from_snapshot(cls, data: bytes) -> "ControlState":
        """Decode a snapshot, or raise `ControlCodecError` if the bytes are invalid."""
        snapshot = decode_snapshot(data)
        state = cls(applied_index=snapshot.applied_index, clock=snapshot.clock)
        state.changes.configuration = snapshot.configuration
        state.changes.change_records.restore(snapshot.changes)
        state.changes.pending_plans.restore(snapshot.pending)
        state.changes.confirmations.restore(snapshot.confirmations)
        state.claims.restore(snapshot.claims, snapshot.answers)
        state.claims.late_finishes = snapshot.late_finishes
        state.orders.restore(snapshot.order_slots)
        state.orders.dropped_fencing = snapshot.dropped_fencing
        state.grants.restore(snapshot.grants)
        state.grants.tokens = snapshot.grant_tokens
        state.grants.filled_at = snapshot.grants_filled_at
        state.audit_trail.restore(snapshot.audit)
        state.routes.document = snapshot.routes
        state.evacuations.state = snapshot.evacuations
        return state
