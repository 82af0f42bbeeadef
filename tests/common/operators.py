"""Serve a control state through a real operators' server."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from cowslipshelf_core.control import (
    AuditRecord,
    ConfirmDocument,
    ConfirmPlan,
    ControlCommand,
    ControlOutcome,
    ControlState,
    PlanDocument,
    hash_key,
)
from cowslipshelf_core.identifiers import InstanceId, OperatorName, PlanId
from cowslipshelf_operators import (
    ExplainAnswer,
    ExplainKind,
    HealthAnswer,
    OperatorKey,
    OperatorsServer,
    OperatorsServerConfig,
    StateAnswer,
    SuspectsAnswer,
    SuspectStatus,
)

OPERATOR_KEY = "an-operators-key-for-tests"
CUSTOMER_KEY = "a-customers-key-for-tests"
LOOPBACK = "127.0.0.1:0"


@dataclass
class StateHandler:
    """Answer operators from one control state, without a quorum."""

    state_machine: ControlState = field(default_factory=ControlState)
    lock: threading.Lock = field(default_factory=threading.Lock)
    failure: Exception | None = None
    held: set[str] = field(default_factory=set)
    """Digests of requests that are held back."""
    released_by: list[OperatorName] = field(default_factory=list)

    def apply(self, command: ControlCommand) -> ControlOutcome:
        if self.failure is not None:
            raise self.failure
        with self.lock:
            index = self.state_machine.applied_index + 1
            return self.state_machine.apply(command, index, float(index))

    def plan(self, operator: OperatorName, document: PlanDocument) -> ControlOutcome:
        return self.apply(document.to_command(operator, ()))

    def confirm(
        self, operator: OperatorName, plan_id: PlanId, document: ConfirmDocument
    ) -> ControlOutcome:
        return self.apply(ConfirmPlan(plan_id, operator, document.change_id))

    def state(self) -> StateAnswer:
        return StateAnswer(self.state_machine.configuration, InstanceId("entry-1"))

    def audit(self, since_index: int, limit: int) -> tuple[AuditRecord, ...]:
        return self.state_machine.audit(since_index, limit)

    def explain(self, kind: ExplainKind, name: str) -> ExplainAnswer | None:
        explained = self.state_machine.explain_change(name)
        if kind != "change" or explained is None:
            return None
        return ExplainAnswer(
            kind, name, tuple(record.action for record in explained.audit)
        )

    def suspects(self) -> SuspectsAnswer:
        listed = tuple(
            SuspectStatus(digest, ("u-1", "u-2", "u-3"), 4.0, True, 30.0)
            for digest in sorted(self.held)
        )
        return SuspectsAnswer(InstanceId("entry-1"), listed)

    def release(self, operator: OperatorName, digest: str) -> bool:
        known = digest in self.held
        self.held.discard(digest)
        if known:
            self.released_by.append(operator)
        return known

    def health(self) -> HealthAnswer:
        return HealthAnswer(True)

    def ready(self) -> HealthAnswer:
        return HealthAnswer(False, ("no quorum yet",))

    def metrics_text(self) -> str:
        return "cowslipshelf_up 1\n"


@contextmanager
def serving(
    handler: StateHandler, request_seconds: float = 10.0, threads: int = 4
) -> Iterator[OperatorsServer]:
    """Run a server on a free port until the block ends."""
    keys = (OperatorKey(OperatorName("rita"), hash_key(OPERATOR_KEY)),)
    config = OperatorsServerConfig(
        LOOPBACK,
        keys,
        max_body_bytes=20_000,
        max_header_bytes=4_000,
        request_seconds=request_seconds,
        threads=threads,
    )
    server = OperatorsServer.from_config(config, handler)
    server.start()
    try:
        yield server
    finally:
        server.stop()
