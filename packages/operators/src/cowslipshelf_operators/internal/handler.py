"""Define the handler that the server calls to answer operators."""

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
    """Answer operators, on any thread; every method may raise `HandlerError`."""

    def plan(
        self, operator: OperatorName, document: PlanDocument
    ) -> PlanRecorded | PlanOutdated | PlanRefused:
        """Record a plan in the replicated control state."""

    def confirm(
        self, operator: OperatorName, plan_id: PlanId, document: ConfirmDocument
    ) -> PlanConfirmed | PlanOutdated | PlanUnknown | PlanRefused:
        """Put a plan in force in the replicated control state."""

    def state(self) -> StateAnswer:
        """Return a description of the fleet as this process knows it."""

    def audit(self, since_index: int, limit: int) -> tuple[AuditRecord, ...]:
        """Return a page of the audit trail."""

    def explain(self, kind: ExplainKind, name: str) -> ExplainAnswer | None:
        """Explain a request, an upstream or a change; None if it is unknown."""

    def suspects(self) -> SuspectsAnswer:
        """List the requests during which upstreams exited."""

    def release(self, operator: OperatorName, digest: str) -> bool:
        """Release a request that is held back; return False if it is unknown."""

    def health(self) -> HealthAnswer:
        """Return whether the process is healthy."""

    def ready(self) -> HealthAnswer:
        """Return whether the process should receive callers' requests."""

    def metrics_text(self) -> str:
        """Return the metrics in the Prometheus text format."""
