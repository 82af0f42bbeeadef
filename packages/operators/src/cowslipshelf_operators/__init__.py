"""Serve operators over HTTP, and provide the client for them."""

from cowslipshelf_operators.internal.answers import order_status
from cowslipshelf_operators.internal.client import OperatorsClient
from cowslipshelf_operators.internal.documents import (
    AuditAnswer,
    AuditEntry,
    ConfirmedAnswer,
    ErrorAnswer,
    ExplainAnswer,
    ExplainKind,
    HealthAnswer,
    InstanceStatus,
    OrderStatus,
    OutdatedAnswer,
    PlanAnswer,
    StateAnswer,
    SuspectsAnswer,
    SuspectStatus,
    UpstreamStatus,
)
from cowslipshelf_operators.internal.handler import OperatorsHandler
from cowslipshelf_operators.internal.server import OperatorsServer
from cowslipshelf_operators.internal.settings import (
    OperatorKey,
    OperatorsClientConfig,
    OperatorsServerConfig,
)

__all__ = [
    "AuditAnswer",
    "AuditEntry",
    "ConfirmedAnswer",
    "ErrorAnswer",
    "ExplainAnswer",
    "ExplainKind",
    "HealthAnswer",
    "InstanceStatus",
    "OperatorKey",
    "OperatorsClient",
    "OperatorsClientConfig",
    "OperatorsHandler",
    "OperatorsServer",
    "OperatorsServerConfig",
    "OrderStatus",
    "OutdatedAnswer",
    "PlanAnswer",
    "StateAnswer",
    "SuspectStatus",
    "SuspectsAnswer",
    "UpstreamStatus",
    "order_status",
]
