"""Define changes to the configuration and the plans for them."""

from typing import Literal

from cowslipshelf_core.configuration import (
    Customer,
    Document,
    Model,
    Service,
    WeightStoreLimits,
)
from cowslipshelf_core.identifiers import (
    ChangeId,
    ConfigurationVersion,
    CustomerName,
    ModelName,
    OperatorName,
    PlanId,
    ServiceName,
    UpstreamId,
)
from cowslipshelf_core.messages import Message

OrderKind = Literal["load_model", "load_adapter", "load_version", "change_role"]
SubjectKind = Literal["customer", "service", "model", "upstream", "weight_store"]


class Change(Message, frozen=True):
    """Change parts of the configuration; anything not named stays."""

    put_customers: tuple[Customer, ...] = ()
    """Customers to add or replace; an empty key hash keeps the present one."""
    remove_customers: tuple[CustomerName, ...] = ()
    put_services: tuple[Service, ...] = ()
    remove_services: tuple[ServiceName, ...] = ()
    put_models: tuple[Model, ...] = ()
    remove_models: tuple[ModelName, ...] = ()
    drain: tuple[UpstreamId, ...] = ()
    undrain: tuple[UpstreamId, ...] = ()
    weight_store: WeightStoreLimits | None = None


class WantedState(Message, frozen=True):
    """Replace the whole configuration; anything not named is removed."""

    customers: tuple[Customer, ...] = ()
    services: tuple[Service, ...] = ()
    models: tuple[Model, ...] = ()
    draining: tuple[UpstreamId, ...] = ()
    weight_store: WeightStoreLimits = WeightStoreLimits()


class FieldChange(Document, frozen=True):
    """Describe one field that a plan changes; None for an absent value."""

    kind: SubjectKind
    name: str
    field: str
    before: str | None
    after: str | None


class PlannedOrder(Document, frozen=True):
    """Describe an order that is sent to an upstream once the plan is confirmed."""

    upstream_id: UpstreamId
    kind: OrderKind
    argument: str
    """Model and version as `name@version` for loads, a role for `change_role`."""


class AffectedSubject(Document, frozen=True):
    """Describe whose requests a plan affects, and how."""

    kind: SubjectKind
    name: str
    effect: str


class NotDone(Document, frozen=True):
    """Describe a part of the change that the plan does not carry out, and why."""

    what: str
    why: str


class Plan(Document, frozen=True):
    """Describe what a change will do once it is confirmed, and what it won't do."""

    plan_id: PlanId
    change_id: ChangeId
    operator: OperatorName
    based_on: ConfigurationVersion
    changes: tuple[FieldChange, ...]
    orders: tuple[PlannedOrder, ...]
    touches: tuple[AffectedSubject, ...]
    not_done: tuple[NotDone, ...]
