"""Define the commands to the replicated control state."""

from typing import Literal

from cowslipshelf_core.identifiers import (
    ChangeId,
    ConfigurationVersion,
    FencingNumber,
    GrantId,
    InstanceId,
    OperatorName,
    OrderId,
    PlanId,
    UpstreamId,
)
from cowslipshelf_core.internal.control.plans import Change, OrderKind, WantedState
from cowslipshelf_core.messages import (
    ClaimAsked,
    ClaimFinished,
    ClaimLookedUp,
    ClaimMoved,
    Message,
    RoutesDocument,
)
from cowslipshelf_core.upstream import UpstreamDescription


class RecordPlan(Message, frozen=True):
    """Ask for a plan; a resend with the same change id gets the first answer."""

    change_id: ChangeId
    operator: OperatorName
    based_on: ConfigurationVersion
    change: Change | WantedState
    upstreams: tuple[UpstreamDescription, ...] = ()
    """Upstreams known to the asker; `relevant_upstreams` trims them to what matters."""


class ConfirmPlan(Message, frozen=True):
    """Put a plan in force; a resend gets the first answer."""

    plan_id: PlanId
    operator: OperatorName
    change_id: ChangeId | None = None
    """Where given, it must be the plan's own."""


class RequestOrder(Message, frozen=True):
    """Ask for the right to order something from an upstream; supersedes an open one."""

    order_id: OrderId
    operator: OperatorName
    upstream_id: UpstreamId
    kind: OrderKind
    argument: str


class CloseOrder(Message, frozen=True):
    """Report that an order has ended at its upstream."""

    order_id: OrderId
    upstream_id: UpstreamId
    fencing: FencingNumber
    succeeded: bool
    detail: str = ""


class AskLoadGrant(Message, frozen=True):
    """Ask to load from the weight store; a resend gets the same grant."""

    grant_id: GrantId
    holder: InstanceId
    upstream_id: UpstreamId
    tokens: int
    seconds: float
    """Time after which the grant expires by itself."""


class ReturnLoadGrant(Message, frozen=True):
    """Give a load grant back."""

    grant_id: GrantId
    holder: InstanceId


class RecordMembership(Message, frozen=True):
    """Note a change of the replicas in the audit trail."""

    operator: OperatorName
    instance: InstanceId
    action: Literal["added", "promoted", "removed", "recovered"]
    detail: str = ""


class PutRoutes(Message, frozen=True):
    """Put a whole routed configuration in force; the highest version wins."""

    document: RoutesDocument


ControlCommand = (
    RecordPlan
    | ConfirmPlan
    | RequestOrder
    | CloseOrder
    | AskLoadGrant
    | ReturnLoadGrant
    | RecordMembership
    | PutRoutes
    | ClaimAsked
    | ClaimMoved
    | ClaimFinished
    | ClaimLookedUp
)
