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
    """Answer with a plan that waits for its confirmation."""

    plan: Plan


class PlanRefused(Message, frozen=True):
    """Answer that there is no such plan to be had, and why; nothing was recorded."""

    change_id: ChangeId | None
    reasons: tuple[str, ...]


class OrderGranted(Message, frozen=True):
    """Be an open order with its fencing number."""

    order_id: OrderId
    upstream_id: UpstreamId
    kind: OrderKind
    argument: str
    fencing: FencingNumber


class PlanConfirmed(Message, frozen=True):
    """Answer that a plan is in force under this version."""

    plan_id: PlanId
    change_id: ChangeId
    configuration_version: ConfigurationVersion
    opened: tuple[OrderGranted, ...] = ()
    """Orders opened by it; an upstream's further ones wait for their turn."""


class PlanOutdated(Message, frozen=True):
    """Answer that another change came first, with a fresh plan on top of it."""

    newer_version: ConfigurationVersion
    fresh_plan: Plan | None
    """None where the change no longer makes sense; the reasons then say why."""
    reasons: tuple[str, ...] = ()


class PlanUnknown(Message, frozen=True):
    """Answer that no such plan waits: never recorded, or so old that it was dropped."""

    plan_id: PlanId


class OrderRefused(Message, frozen=True):
    """Answer that an order can't be opened or closed, and why."""

    order_id: OrderId
    reason: str


class OrderClosed(Message, frozen=True):
    """Answer that an order has ended; the next one waiting is then open."""

    order_id: OrderId
    next_order: OrderGranted | None


class LoadGranted(Message, frozen=True):
    """Answer that the asker may load until the grant expires."""

    grant_id: GrantId
    expires_at: float
    """Seconds since 1970."""


class LoadGrantRefused(Message, frozen=True):
    """Answer that there is no grant now, and when to ask again."""

    grant_id: GrantId
    reason: str
    retry_after_seconds: float


class LoadGrantReturned(Message, frozen=True):
    """Answer that a grant is no longer open."""

    grant_id: GrantId
    was_open: bool


class MembershipRecorded(Message, frozen=True):
    """Answer that a change of the replicas is in the audit trail."""


class RoutesHeld(Message, frozen=True):
    """Answer with the version of the routed configuration that is now held."""

    version: ConfigurationVersion


class RoutesConflict(Message, frozen=True):
    """Answer that other content was accepted under the same version."""

    version: ConfigurationVersion


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
    | ClaimGranted
    | ClaimHeld
    | ClaimRefused
    | ClaimAbsent
)
