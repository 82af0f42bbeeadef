"""Define the JSON documents in the answers of the operators' interface."""

from typing import Literal

from cowslipshelf_core.configuration import Document, FleetConfiguration
from cowslipshelf_core.control import Plan
from cowslipshelf_core.identifiers import (
    ChangeId,
    ConfigurationVersion,
    DataCentre,
    Epoch,
    FencingNumber,
    InstanceId,
    OrderId,
    PlanId,
    ServiceName,
    UpstreamId,
)

ExplainKind = Literal["request", "upstream", "change"]


class PlanAnswer(Document, frozen=True):
    """Carry a plan that awaits confirmation."""

    plan: Plan


class OrderStatus(Document, frozen=True):
    """Describe an open order to an upstream."""

    order_id: OrderId
    upstream_id: UpstreamId
    kind: str
    argument: str
    fencing: FencingNumber


class ConfirmedAnswer(Document, frozen=True):
    """Report the version in which a plan is in force, and the orders it opened."""

    plan_id: PlanId
    change_id: ChangeId
    configuration_version: ConfigurationVersion
    opened: tuple[OrderStatus, ...] = ()


class OutdatedAnswer(Document, frozen=True):
    """Report that another change came first; confirm the fresh plan instead."""

    code: Literal["outdated"]
    newer_version: ConfigurationVersion
    fresh_plan: Plan | None
    reasons: tuple[str, ...] = ()


class ErrorAnswer(Document, frozen=True):
    """Describe an error: what failed, at which step and peer, and what to do."""

    code: str
    message: str
    step: str
    peer: str
    reasons: tuple[str, ...] = ()


class ErrorEnvelope(Document, frozen=True):
    """Carry an error; its one field distinguishes it from other answers."""

    error: ErrorAnswer


class InstanceStatus(Document, frozen=True):
    """Describe one process of the system."""

    instance: InstanceId
    data_centre: DataCentre
    role: str
    configuration_version: ConfigurationVersion
    in_force_since: float
    """Seconds since 1970."""
    holds_replica: bool = False
    leads: bool = False


class UpstreamStatus(Document, frozen=True):
    """Describe one upstream."""

    upstream_id: UpstreamId
    data_centre: DataCentre
    service: ServiceName
    epoch: Epoch
    available: bool
    draining: bool
    running: int
    reserved_tokens: int
    memory_tokens: int
    fencing: FencingNumber = FencingNumber(0)
    detail: str = ""


class StateAnswer(Document, frozen=True):
    """Describe the fleet: its configuration and its actual state."""

    configuration: FleetConfiguration
    answered_by: InstanceId
    instances: tuple[InstanceStatus, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()
    open_orders: tuple[OrderStatus, ...] = ()
    notes: tuple[str, ...] = ()
    """Remarks for the operator, such as that there is no quorum."""


class AuditEntry(Document, frozen=True):
    """Hold one record of the audit trail."""

    index: int
    at: float
    operator: str
    action: str
    change_id: ChangeId | None
    version_before: ConfigurationVersion
    version_after: ConfigurationVersion
    detail: str


class AuditAnswer(Document, frozen=True):
    """Carry a page of the audit trail; request the next with its last index."""

    records: tuple[AuditEntry, ...]


class ExplainAnswer(Document, frozen=True):
    """Explain in lines of text what happened, oldest first."""

    kind: ExplainKind
    name: str
    lines: tuple[str, ...]


class SuspectStatus(Document, frozen=True):
    """Describe a request during which upstreams exited."""

    digest: str
    """Digest of customer, method, service, path and body, as in the logs."""
    upstreams: tuple[UpstreamId, ...]
    """Upstreams that exited during it and whose exits were not cleared."""
    last_end_seconds: float
    """Time since the last exit or trial."""
    held: bool
    """Whether the request is held back, which means refused."""
    probe_in_seconds: float
    """Time until the answering instance may try it again; zero if it is not held."""


class SuspectsAnswer(Document, frozen=True):
    """List the requests during which upstreams exited, most suspect first."""

    answered_by: InstanceId
    suspects: tuple[SuspectStatus, ...]


class HealthAnswer(Document, frozen=True):
    """Report whether a process is healthy, or ready, and if not, why."""

    ok: bool
    reasons: tuple[str, ...] = ()
