"""Answer operators from this entry's knowledge and the replicated state."""

import threading
import time
from collections.abc import Callable
from http import HTTPStatus
from queue import Empty, SimpleQueue
from typing import Any, NamedTuple

from pykka import ActorDeadError, ActorRef

from cowslipshelf_core.agreement import ReplicaStatus
from cowslipshelf_core.control import (
    AuditRecord,
    ConfirmDocument,
    ConfirmPlan,
    ControlCommand,
    ControlOutcome,
    ControlState,
    OrderGranted,
    PlanConfirmed,
    PlanDocument,
    PlanOutdated,
    PlanRecorded,
    PlanRefused,
    PlanUnknown,
    relevant_upstreams,
)
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.gateway import RequestDigest
from cowslipshelf_core.identifiers import ChangeId, OperatorName, PlanId, RequestId
from cowslipshelf_daemon.internal.control_state_client import ControlStateClient
from cowslipshelf_daemon.internal.entry.configuration_in_force import (
    ConfigurationInForce,
)
from cowslipshelf_daemon.internal.entry.entry_metrics import EntryMetrics
from cowslipshelf_daemon.internal.entry.explanations import RequestRecords
from cowslipshelf_daemon.internal.entry.open_requests import OpenRequests
from cowslipshelf_daemon.internal.entry.replica_actor import ControlStateQuery, leads
from cowslipshelf_daemon.internal.entry.routing_actor import FleetStatus
from cowslipshelf_daemon.internal.suspect_requests import SuspectRequests
from cowslipshelf_fleet.mailboxes import Mailbox
from cowslipshelf_host.settings import DaemonSettings
from cowslipshelf_operators import (
    ExplainAnswer,
    ExplainKind,
    HealthAnswer,
    InstanceStatus,
    StateAnswer,
    SuspectsAnswer,
    SuspectStatus,
    UpstreamStatus,
    order_status,
)
from cowslipshelf_operators.errors import HandlerError

COMMAND_SECONDS = 8.0
"""Timeout for committing a change, below the 10 s that operators' clients wait at
least. A change has no deadline, and must be sent again if its outcome is unknown. With
the shorter timeout for callers, five election timeouts of 0.3 s, a pause of the quorum
of 1.3 s hid the outcome of a change that was in force 0.2 s later."""
READ_SECONDS = 5.0
SLOW_SYNC_SECONDS = 0.25
"""Duration of a disk sync from which operators see a note about it."""


class OperatorsParts(NamedTuple):
    """Hold the dependencies of the operators' handler."""

    settings: DaemonSettings
    in_force: ConfigurationInForce
    status: FleetStatus
    records: RequestRecords
    control: ControlStateClient
    replica: ActorRef | None
    metrics: EntryMetrics
    mailbox: Mailbox
    open_requests: OpenRequests
    suspects: SuspectRequests


class ControlView(NamedTuple):
    """Hold what the local replica reports about the control state."""

    replica: ReplicaStatus
    open_orders: tuple[OrderGranted, ...]
    configuration_version: int


class EntryOperatorsHandler:
    """Handle the operators' calls to one entry."""

    def __init__(self, parts: OperatorsParts) -> None:
        self.parts = parts
        self.draining = threading.Event()

    def plan(
        self, operator: OperatorName, document: PlanDocument
    ) -> PlanRecorded | PlanOutdated | PlanRefused:
        """Record a plan in the replicated state."""
        descriptions = tuple(
            status.description for status in self.parts.status.upstreams.values()
        )
        change = document.to_change()
        upstreams = relevant_upstreams(change, descriptions)
        return self.commit("record plan", document.to_command(operator, upstreams))

    def confirm(
        self, operator: OperatorName, plan_id: PlanId, document: ConfirmDocument
    ) -> PlanConfirmed | PlanOutdated | PlanUnknown | PlanRefused:
        """Confirm a plan in the replicated state, which applies its change."""
        command = ConfirmPlan(plan_id, operator, document.change_id)
        return self.commit("confirm plan", command)

    def commit(self, step: str, command: ControlCommand) -> ControlOutcome:
        """Commit a command; raise `HandlerError` if it got no outcome in time."""
        outcome = self.parts.control.commit_within(command, COMMAND_SECONDS)
        if not isinstance(outcome, Refusal):
            return outcome
        detail = f"{outcome.code}: {outcome.detail}; send the same change id again"
        raise HandlerError(
            step,
            outcome.peer or "replicas",
            detail,
            code=outcome.reason,
            retry_after_seconds=outcome.retry_after_seconds,
        )

    def state(self) -> StateAnswer:
        """Describe the fleet as seen by this process."""
        index = self.parts.in_force.index
        view = self.control_view()
        return StateAnswer(
            configuration=index.configuration,
            answered_by=self.parts.settings.instance,
            instances=self.instances(view),
            upstreams=self.upstreams(),
            open_orders=() if view is None else orders_of(view),
            notes=self.notes(view),
        )

    def control_view(self) -> ControlView | None:
        """Read the local replica; return None if this entry has none."""
        if self.parts.replica is None:
            return None
        return self.read("read state", view_of)

    def read(
        self, step: str, read: Callable[[ControlState, ReplicaStatus], Any]
    ) -> Any:
        """Apply `read` to the state of the local replica and return its result."""
        if self.parts.replica is None:
            holders = [
                entry.instance for entry in self.parts.settings.entries if entry.replica
            ]
            detail = f"no replica here; ask one of {', '.join(holders)}"
            raise HandlerError(step, "replica", detail, status=HTTPStatus.NOT_FOUND)
        reply: SimpleQueue[Any] = SimpleQueue()
        try:
            self.parts.replica.tell(ControlStateQuery(read, reply))
            return reply.get(timeout=READ_SECONDS)
        except (ActorDeadError, Empty) as error:
            raise HandlerError(step, "replica", "no answer in time") from error

    def instances(self, view: ControlView | None) -> tuple[InstanceStatus, ...]:
        """Describe this entry, and the entries and sidecars that it hears from."""
        leader = None if view is None else view.replica.leader
        entries = [
            InstanceStatus(
                instance,
                entry.data_centre,
                "entry",
                entry.configuration_version,
                entry.in_force_since,
                entry.holds_replica,
                instance == leader,
            )
            for instance, entry in self.parts.status.entries.items()
        ]
        sidecars = [
            InstanceStatus(
                f"{upstream_id} (sidecar)",
                status.description.data_centre,
                "sidecar",
                status.configuration_version,
                status.version_since,
            )
            for upstream_id, status in self.parts.status.upstreams.items()
        ]
        return (self.own_status(view), *entries, *sidecars)

    def own_status(self, view: ControlView | None) -> InstanceStatus:
        """Describe this entry."""
        index = self.parts.in_force.index
        settings = self.parts.settings
        return InstanceStatus(
            settings.instance,
            settings.data_centre,
            settings.role,
            index.configuration.version,
            index.since,
            view is not None,
            view is not None and leads(view.replica),
        )

    def upstreams(self) -> tuple[UpstreamStatus, ...]:
        """Describe the upstreams that were announced recently."""
        draining = self.parts.in_force.index.configuration.draining
        lease = self.parts.settings.timings.lease_seconds
        at = time.time()
        return tuple(
            UpstreamStatus(
                upstream_id,
                status.description.data_centre,
                status.description.service,
                status.epoch,
                at - status.heard_at < lease and not status.leaving,
                upstream_id in draining or status.leaving,
                status.running,
                status.reserved_tokens,
                status.description.memory_tokens,
                detail=f"heard {at - status.heard_at:.1f} s ago",
            )
            for upstream_id, status in self.parts.status.upstreams.items()
        )

    def notes(self, view: ControlView | None) -> tuple[str, ...]:
        """Return notes for the operator on the state of the replica."""
        if view is None:
            return ("this entry holds no replica",)
        members = replica_notes(view.replica)
        if view.replica.failure:
            failed = (
                "the replica's disk failed, so it takes no part in votes and changes; "
                f"callers are still served: {view.replica.failure}"
            )
            return (failed, *members)
        if view.replica.leader is None:
            no_leader = "no leader is known: changes are refused until a quorum is back"
            return (no_leader, *members)
        return members

    def audit(self, since_index: int, limit: int) -> tuple[AuditRecord, ...]:
        """Read the audit trail."""
        return self.read("read audit", lambda state, _: state.audit(since_index, limit))

    def explain(self, kind: ExplainKind, name: str) -> ExplainAnswer | None:
        """Describe what happened to a request, an upstream or a change."""
        match kind:
            case "request":
                record = self.parts.records.find(RequestId(name))
                lines = () if record is None else record.lines()
            case "upstream":
                lines = self.upstream_lines(name)
            case "change":
                lines = self.change_lines(ChangeId(name))
        return ExplainAnswer(kind, name, lines) if lines else None

    def upstream_lines(self, name: str) -> tuple[str, ...]:
        """Describe what is known of an upstream."""
        known = [status for status in self.upstreams() if status.upstream_id == name]
        return tuple(
            f"{field}: {getattr(status, field)}"
            for status in known
            for field in status.__struct_fields__
        )

    def change_lines(self, change_id: ChangeId) -> tuple[str, ...]:
        """Describe what became of a change."""
        explained = self.read(
            "explain change", lambda state, _: state.explain_change(change_id)
        )
        if explained is None:
            return ()
        answer = type(explained.first_answer).__name__
        first = f"asked by {explained.operator}; first answer {answer}"
        records = (
            f"log index {record.index}: {record.action}, version "
            f"{record.version_before} to {record.version_after}: {record.detail}"
            for record in explained.audit
        )
        return (first, *records)

    def suspects(self) -> SuspectsAnswer:
        """List the requests that upstreams exited under."""
        listed = self.parts.suspects.listed()
        suspects = tuple(
            SuspectStatus(
                each.digest,
                each.upstreams,
                each.last_event_seconds,
                each.held,
                each.left_seconds,
            )
            for each in listed
        )
        return SuspectsAnswer(self.parts.settings.instance, suspects)

    def release(self, operator: OperatorName, digest: str) -> bool:
        """Release a request that is held back."""
        return self.parts.suspects.release(RequestDigest(digest), operator)

    def health(self) -> HealthAnswer:
        """Tell whether the process is healthy."""
        view = self.control_view()
        if view is not None and view.replica.failure:
            return HealthAnswer(False, (view.replica.failure,))
        return HealthAnswer(True)

    def ready(self) -> HealthAnswer:
        """Tell whether the process is ready for callers."""
        if self.draining.is_set():
            return HealthAnswer(False, ("shutting down",))
        if not self.parts.in_force.servable:
            return HealthAnswer(False, ("no quorum has confirmed a configuration",))
        return HealthAnswer(True)

    def metrics_text(self) -> str:
        """Return the current metrics in the Prometheus text format."""
        parts = self.parts
        version = parts.in_force.index.configuration.version
        upstreams = len(parts.status.upstreams)
        parts.metrics.state(parts.open_requests.open, version, upstreams)
        parts.metrics.mailbox(parts.mailbox)
        return parts.metrics.text()


def view_of(state: ControlState, replica: ReplicaStatus) -> ControlView:
    """Return what operators see of the control state."""
    version = state.configuration.version
    return ControlView(replica, state.open_orders(), version)


def replica_notes(replica: ReplicaStatus) -> tuple[str, ...]:
    """Describe the members of the cluster and the local replica."""
    membership = replica.membership
    voters = tuple(f"voter {one.instance} {one.folder}" for one in membership.voters)
    learners = tuple(
        f"learner {one.instance} {one.folder}: catching up"
        for one in membership.learners
    )
    committed = f"log committed up to {replica.commit_index}"
    if replica.sync_seconds < SLOW_SYNC_SECONDS:
        return (committed, *voters, *learners)
    slow = f"disk syncs take {replica.sync_seconds:.1f} s, and elections wait for them"
    return (slow, committed, *voters, *learners)


def orders_of(view: ControlView) -> tuple[Any, ...]:
    """Describe the open orders."""
    return tuple(order_status(order) for order in view.open_orders)
