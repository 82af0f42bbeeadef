"""Define what stands behind the operators' server."""

from typing import Protocol

from cowslipshelf_core.control import (
    AuditRecord,
    ConfirmDocument,
    PlanConfirmed,
    PlanDocument,
    PlanOutdated,
    PlanRecorded,
    PlanRefused,
    PlanUnknown,
)
from cowslipshelf_core.identifiers import OperatorName, PlanId
from cowslipshelf_operators.internal.documents import (
    ExplainAnswer,
    ExplainKind,
    HealthAnswer,
    StateAnswer,
    SuspectsAnswer,
)


class OperatorsHandler(Protocol):
    """Answer operators; every method may raise `HandlerError`, from any thread."""

    def plan(
        self, operator: OperatorName, document: PlanDocument
    ) -> PlanRecorded | PlanOutdated | PlanRefused:
        """Record a plan through the replicated state."""

    def confirm(
        self, operator: OperatorName, plan_id: PlanId, document: ConfirmDocument
    ) -> PlanConfirmed | PlanOutdated | PlanUnknown | PlanRefused:
        """Put a plan in force through the replicated state."""

    def state(self) -> StateAnswer:
        """Describe the fleet as this process knows it."""

    def audit(self, since_index: int, limit: int) -> tuple[AuditRecord, ...]:
        """Read the audit trail."""

    def explain(self, kind: ExplainKind, name: str) -> ExplainAnswer | None:
        """Tell what happened to a request, an upstream or a change; None if unknown."""

    def suspects(self) -> SuspectsAnswer:
        """List the requests under which upstreams ended."""

    def release(self, operator: OperatorName, digest: str) -> bool:
        """Let a request go that is held back; false where none is known."""

    def health(self) -> HealthAnswer:
        """Tell whether the process works at all."""

    def ready(self) -> HealthAnswer:
        """Tell whether the process should get callers."""

    def metrics_text(self) -> str:
        """Write the metrics in the Prometheus text format."""
