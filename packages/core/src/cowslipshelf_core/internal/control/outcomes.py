"""Define the outcomes of commands to the replicated control state."""

from cowslipshelf_core.identifiers import (
    ChangeId,
    ConfigurationVersion,
    FencingNumber,
    GrantId,
    OrderId,
    PlanId,
    UpstreamId,
)
from cowslipshelf_core.internal.control.plans import OrderKind, Plan
from cowslipshelf_core.messages import (
    ClaimAbsent,
    ClaimGranted,
    ClaimHeld,
    ClaimRefused,
    Message,
)


class PlanRecorded(Message, frozen=True):
    """Carry a plan that waits for its confirmation."""

    plan: Plan


class PlanRefused(Message, frozen=True):
    """Report why no plan was recorded for a change."""

    change_id: ChangeId | None
    reasons: tuple[str, ...]


class OrderGranted(Message, frozen=True):
    """Carry an open order and its fencing number."""

    order_id: OrderId
    upstream_id: UpstreamId
    kind: OrderKind
    argument: str
    fencing: FencingNumber


class PlanConfirmed(Message, frozen=True):
    """Report that a plan was applied, and the resulting version."""

    plan_id: PlanId
    change_id: ChangeId
    configuration_version: ConfigurationVersion
    opened: tuple[OrderGranted, ...] = ()
    """Orders that it opened; further orders to the same upstream are queued."""


class PlanOutdated(Message, frozen=True):
    """Report that another change came first, with a new plan based on it."""

    newer_version: ConfigurationVersion
    fresh_plan: Plan | None
    """None if the change is no longer valid, for the given reasons."""
    reasons: tuple[str, ...] = ()


class PlanUnknown(Message, frozen=True):
    """Report that no such plan is pending: it was never recorded, or was evicted."""

    plan_id: PlanId


class OrderRefused(Message, frozen=True):
    """Report why an order can't be opened or closed."""

    order_id: OrderId
    reason: str


class OrderClosed(Message, frozen=True):
    """Report that an order has ended, and which waiting order was opened."""

    order_id: OrderId
    next_order: OrderGranted | None


class LoadGranted(Message, frozen=True):
    """Report that the holder may load until the grant expires."""

    grant_id: GrantId
    expires_at: float
    """Unix time in seconds."""


class LoadGrantRefused(Message, frozen=True):
    """Report why no grant is available, and when to retry."""

    grant_id: GrantId
    reason: str
    retry_after_seconds: float


class LoadGrantReturned(Message, frozen=True):
    """Report that a grant is no longer open."""

    grant_id: GrantId
    was_open: bool


class MembershipRecorded(Message, frozen=True):
    """Report that a membership change was recorded in the audit trail."""


class RoutesHeld(Message, frozen=True):
    """Report the version of the gateways' configuration that is now stored."""

    version: ConfigurationVersion


class RoutesConflict(Message, frozen=True):
    """Report that other content is already stored under the same version."""

    version: ConfigurationVersion


class EvacuationRecorded(Message, frozen=True):
    """Report that an order about an evacuation is in force from a revision on."""

    revision: int


class EvacuationOutdated(Message, frozen=True):
    """Report that an order changed nothing, since a later change came before it."""

    revision: int
    """Revision that a sender must know to submit the order again."""


class EvacuationRefused(Message, frozen=True):
    """Report why a data centre can't be evacuated."""

    reason: str


ControlOutcome = (
    PlanRecorded
    | PlanRefused
    | PlanConfirmed
    | PlanOutdated
    | PlanUnknown
    | OrderGranted
    | OrderRefused
    | OrderClosed
    | LoadGranted
    | LoadGrantRefused
    | LoadGrantReturned
    | MembershipRecorded
    | RoutesHeld
    | RoutesConflict
    | EvacuationRecorded
    | EvacuationOutdated
    | EvacuationRefused
    | ClaimGranted
    | ClaimHeld
    | ClaimRefused
    | ClaimAbsent
)
