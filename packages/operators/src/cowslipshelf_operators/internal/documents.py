"""Define the JSON documents that the operators' interface answers with."""

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
    """Carry a plan that waits for its confirmation."""

    plan: Plan


class OrderStatus(Document, frozen=True):
    """Describe an open order to an upstream."""

    order_id: OrderId
    upstream_id: UpstreamId
    kind: str
    argument: str
    fencing: FencingNumber


class ConfirmedAnswer(Document, frozen=True):
    """Tell under which version a plan is in force, and which orders it opened."""

    plan_id: PlanId
    change_id: ChangeId
    configuration_version: ConfigurationVersion
    opened: tuple[OrderStatus, ...] = ()


class OutdatedAnswer(Document, frozen=True):
    """Tell that another change came first; confirm the fresh plan in place of it."""

    code: Literal["outdated"]
    newer_version: ConfigurationVersion
    fresh_plan: Plan | None
    reasons: tuple[str, ...] = ()


class ErrorAnswer(Document, frozen=True):
    """Tell what went wrong, at which step and peer, and what to do about it."""

    code: str
    message: str
    step: str
    peer: str
    reasons: tuple[str, ...] = ()


class ErrorEnvelope(Document, frozen=True):
    """Carry an error, told apart from any other answer by its one field."""

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
    """Describe the fleet: what is wanted, and what there is."""

    configuration: FleetConfiguration
    answered_by: InstanceId
    instances: tuple[InstanceStatus, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()
    open_orders: tuple[OrderStatus, ...] = ()
    notes: tuple[str, ...] = ()
    """Anything an operator should know, as that there is no quorum."""


class AuditEntry(Document, frozen=True):
    """Be one record of the audit trail."""

    index: int
    at: float
    operator: str
    action: str
    change_id: ChangeId | None
    version_before: ConfigurationVersion
    version_after: ConfigurationVersion
    detail: str


class AuditAnswer(Document, frozen=True):
    """Carry a page of the audit trail; ask again with its last index for more."""

    records: tuple[AuditEntry, ...]


class ExplainAnswer(Document, frozen=True):
    """Tell in lines of text what happened, the oldest first."""

    kind: ExplainKind
    name: str
    lines: tuple[str, ...]


class SuspectStatus(Document, frozen=True):
    """Describe a request under which upstreams ended."""

    digest: str
    """Names customer, method, service, path and body, as logs do."""
    upstreams: tuple[UpstreamId, ...]
    """Those whose ends speak against it."""
    last_end_seconds: float
    """Age of the last end or trial."""
    held: bool
    """Whether it is refused."""
    probe_in_seconds: float
    """Time until the answering instance may try it again; zero where it runs."""


class SuspectsAnswer(Document, frozen=True):
    """List the requests under which upstreams ended, the worst first."""

    answered_by: InstanceId
    suspects: tuple[SuspectStatus, ...]


class HealthAnswer(Document, frozen=True):
    """Tell whether a process is healthy, or ready, and why not."""

    ok: bool
    reasons: tuple[str, ...] = ()
