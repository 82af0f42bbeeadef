"""Define changes to the configuration, and the plans that answer them."""

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
    """Change some parts of the configuration; what isn't named stays."""

    put_customers: tuple[Customer, ...] = ()
    """An empty key hash keeps the one that the customer has."""
    remove_customers: tuple[CustomerName, ...] = ()
    put_services: tuple[Service, ...] = ()
    remove_services: tuple[ServiceName, ...] = ()
    put_models: tuple[Model, ...] = ()
    remove_models: tuple[ModelName, ...] = ()
    drain: tuple[UpstreamId, ...] = ()
    undrain: tuple[UpstreamId, ...] = ()
    weight_store: WeightStoreLimits | None = None


class WantedState(Message, frozen=True):
    """State the whole configuration that is wanted; what isn't named goes."""

    customers: tuple[Customer, ...] = ()
    services: tuple[Service, ...] = ()
    models: tuple[Model, ...] = ()
    draining: tuple[UpstreamId, ...] = ()
    weight_store: WeightStoreLimits = WeightStoreLimits()


class FieldChange(Document, frozen=True):
    """Tell one field that a plan changes; None where it is absent."""

    kind: SubjectKind
    name: str
    field: str
    before: str | None
    after: str | None


class PlannedOrder(Document, frozen=True):
    """Tell an order that goes to an upstream once the plan is confirmed."""

    upstream_id: UpstreamId
    kind: OrderKind
    argument: str
    """Model and version as `name@version` for loads, a role for `change_role`."""


class AffectedSubject(Document, frozen=True):
    """Tell whose requests a plan touches, and how."""

    kind: SubjectKind
    name: str
    effect: str


class NotDone(Document, frozen=True):
    """Tell what a plan leaves undone, and why."""

    what: str
    why: str


class Plan(Document, frozen=True):
    """Be what a change will do once it is confirmed, and what it won't do."""

    plan_id: PlanId
    change_id: ChangeId
    operator: OperatorName
    based_on: ConfigurationVersion
    changes: tuple[FieldChange, ...]
    orders: tuple[PlannedOrder, ...]
    touches: tuple[AffectedSubject, ...]
    not_done: tuple[NotDone, ...]
