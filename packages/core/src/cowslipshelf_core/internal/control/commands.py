"""Define the commands of the replicated control state."""

from typing import Literal

from cowslipshelf_core.identifiers import (
    ChangeId,
    ConfigurationVersion,
    DataCentre,
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
    """Request a plan; a resend with the same change id gets the first answer."""

    change_id: ChangeId
    operator: OperatorName
    based_on: ConfigurationVersion
    """Version of the configuration that the operator has seen."""
    change: Change | WantedState
    upstreams: tuple[UpstreamDescription, ...] = ()
    """Upstreams known to the sender, reduced by `relevant_upstreams`."""


class ConfirmPlan(Message, frozen=True):
    """Apply a plan; a resend gets the first answer."""

    plan_id: PlanId
    operator: OperatorName
    change_id: ChangeId | None = None
    """Change id that the plan must have, if given."""


class RequestOrder(Message, frozen=True):
    """Request an order to an upstream; it supersedes the open one."""

    order_id: OrderId
    operator: OperatorName
    upstream_id: UpstreamId
    kind: OrderKind
    argument: str
    """Model and version as `name@version` for loads, a role for `change_role`."""


class CloseOrder(Message, frozen=True):
    """Report that an order has ended at its upstream."""

    order_id: OrderId
    upstream_id: UpstreamId
    fencing: FencingNumber
    succeeded: bool
    detail: str = ""


class AskLoadGrant(Message, frozen=True):
    """Request a grant to load from the weight store; a resend gets the same grant."""

    grant_id: GrantId
    holder: InstanceId
    upstream_id: UpstreamId
    tokens: int
    """Tokens of the rate limit that the load uses."""
    seconds: float
    """Time after which the grant expires if it is not returned."""


class ReturnLoadGrant(Message, frozen=True):
    """Return a load grant."""

    grant_id: GrantId
    holder: InstanceId


class RecordMembership(Message, frozen=True):
    """Record a change of the replica membership in the audit trail."""

    operator: OperatorName
    instance: InstanceId
    action: Literal["added", "promoted", "removed", "recovered"]
    detail: str = ""


class PutRoutes(Message, frozen=True):
    """Replace the gateways' configuration as a whole; the highest version wins."""

    document: RoutesDocument


class SetEvacuation(Message, frozen=True):
    """Evacuate a data centre, or withdraw its evacuation."""

    data_centre: DataCentre
    evacuated: bool
    known_revision: int = 0
    """Highest revision of the evacuations that the sender knew when it sent this.

    A copy of the command that arrives late is recognised by it; see
    `EvacuationRegister.set`.
    """
    known_data_centres: tuple[DataCentre, ...] = ()
    """The evacuated data centres of that revision."""


ControlCommand = (
    RecordPlan
    | ConfirmPlan
    | RequestOrder
    | CloseOrder
    | AskLoadGrant
    | ReturnLoadGrant
    | RecordMembership
    | PutRoutes
    | SetEvacuation
    | ClaimAsked
    | ClaimMoved
    | ClaimFinished
    | ClaimLookedUp
)
