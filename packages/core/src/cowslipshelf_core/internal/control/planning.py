"""Work out the effects of a change: fields, orders and affected requests."""

from collections.abc import Iterable
from typing import NamedTuple

from cowslipshelf_core.configuration import (
    Document,
    FleetConfiguration,
    Service,
)
from cowslipshelf_core.identifiers import ModelName, ServiceName, UpstreamId
from cowslipshelf_core.internal.control.merging import merge
from cowslipshelf_core.internal.control.named_items import Named, diff_by_name
from cowslipshelf_core.internal.control.plans import (
    AffectedSubject,
    Change,
    FieldChange,
    NotDone,
    PlannedOrder,
    SubjectKind,
    WantedState,
)
from cowslipshelf_core.internal.control.validation import configuration_problems
from cowslipshelf_core.upstream import UpstreamDescription

SHOWN_HASH_DIGITS = 8


class PlanDraft(NamedTuple):
    """Hold the content of a plan that has no id yet, or the problems with it."""

    configuration: FleetConfiguration
    problems: tuple[str, ...]
    changes: tuple[FieldChange, ...] = ()
    orders: tuple[PlannedOrder, ...] = ()
    touches: tuple[AffectedSubject, ...] = ()
    not_done: tuple[NotDone, ...] = ()


def draft_plan(
    current: FleetConfiguration,
    change: Change | WantedState,
    upstreams: tuple[UpstreamDescription, ...],
) -> PlanDraft:
    """Work out the effects of a change to the current configuration."""
    merged = merge(current, change)
    problems = merged.problems or configuration_problems(current, merged.configuration)
    if problems:
        return PlanDraft(current, problems)
    after = merged.configuration
    changed_services = services_with_changed_models(current, after)
    orders = tuple(load_orders(current, after, changed_services, upstreams))
    return PlanDraft(
        configuration=after,
        problems=(),
        changes=tuple(field_changes(current, after)),
        orders=orders,
        touches=tuple(affected_subjects(current, after, orders, upstreams)),
        not_done=(
            *merged.not_done,
            *list_not_done(current, after, changed_services, upstreams),
        ),
    )


def relevant_upstreams(
    change: Change | WantedState, upstreams: Iterable[UpstreamDescription]
) -> tuple[UpstreamDescription, ...]:
    """Select the upstreams that a plan for the change can mention, sorted.

    The selection does not depend on the base version, so that it also suits a new
    plan that is based on a later one.
    """
    if isinstance(change, WantedState) or change.put_models:
        return tuple(sorted(upstreams))
    services = {item.name for item in change.put_services}
    named = {*change.drain, *change.undrain}
    return tuple(
        sorted(
            upstream
            for upstream in upstreams
            if upstream.service in services or upstream.upstream_id in named
        )
    )


def field_changes(
    before: FleetConfiguration, after: FleetConfiguration
) -> Iterable[FieldChange]:
    """List all fields that differ."""
    yield from changes_by_name("customer", before.customers, after.customers)
    yield from changes_by_name("service", before.services, after.services)
    yield from changes_by_name("model", before.models, after.models)
    for upstream in sorted(set(before.draining) ^ set(after.draining)):
        was, becomes = ("no", "yes") if upstream in after.draining else ("yes", "no")
        yield FieldChange("upstream", upstream, "draining", was, becomes)
    yield from document_changes(
        "weight_store", "limits", before.weight_store, after.weight_store
    )


def changes_by_name(
    kind: SubjectKind, before: Iterable[Named], after: Iterable[Named]
) -> Iterable[FieldChange]:
    """List the changed fields of items, matched by name."""
    for name, old, new in diff_by_name(before, after):
        yield from document_changes(kind, name, old, new)


def document_changes(
    kind: SubjectKind, name: str, before: Document | None, after: Document | None
) -> Iterable[FieldChange]:
    """List the changed fields of a document, which either side may lack."""
    if before == after:
        return
    existing = after if before is None else before
    for field in existing.__struct_fields__:
        old = format_field(before, field)
        new = format_field(after, field)
        if (
            old != new
            or field == "key_hash"
            and key_hash_of(before) != key_hash_of(after)
        ):
            yield FieldChange(kind, name, field, old, new)


def key_hash_of(document: Document | None) -> str | None:
    """Return the whole key hash, of which a plan shows only a prefix."""
    return getattr(document, "key_hash", None)


def format_field(document: Document | None, field: str) -> str | None:
    """Format a field as text."""
    if document is None:
        return None
    value = getattr(document, field)
    if field == "key_hash":
        return f"sha256:{value[:SHOWN_HASH_DIGITS]}..."
    if isinstance(value, tuple):
        return ", ".join(value)
    return str(value)


def services_with_changed_models(
    before: FleetConfiguration, after: FleetConfiguration
) -> tuple[Service, ...]:
    """List services that get a new model, or another version of a model."""
    old = {item.name: item.models for item in before.services}
    reloaded = reloaded_models(before, after)
    return tuple(
        service
        for service in after.services
        if set(service.models) - set(old.get(service.name, ()))
        or reloaded & set(service.models)
    )


def reloaded_models(
    before: FleetConfiguration, after: FleetConfiguration
) -> set[ModelName]:
    """Return the models whose version changes."""
    old = {item.name: item.version for item in before.models}
    return {
        item.name
        for item in after.models
        if old.get(item.name, item.version) != item.version
    }


def removed_services(
    before: FleetConfiguration, after: FleetConfiguration
) -> set[ServiceName]:
    """Return the services that are removed."""
    return {item.name for item in before.services} - {
        item.name for item in after.services
    }


def load_orders(
    before: FleetConfiguration,
    after: FleetConfiguration,
    services: Iterable[Service],
    upstreams: Iterable[UpstreamDescription],
) -> Iterable[PlannedOrder]:
    """List the orders that make upstreams load the models of their services."""
    versions = {item.name: item.version for item in after.models}
    reloaded = reloaded_models(before, after)
    by_service = {item.name: item for item in services}
    for upstream in sorted(upstreams):
        service = by_service.get(upstream.service)
        if service is None or upstream.upstream_id in after.draining:
            continue
        for model in service.models:
            argument = f"{model}@{versions[model]}"
            if model not in upstream.models:
                yield PlannedOrder(upstream.upstream_id, "load_model", argument)
            elif model in reloaded:
                yield PlannedOrder(upstream.upstream_id, "load_version", argument)


def affected_subjects(
    before: FleetConfiguration,
    after: FleetConfiguration,
    orders: Iterable[PlannedOrder],
    upstreams: Iterable[UpstreamDescription],
) -> Iterable[AffectedSubject]:
    """List the customers, services and upstreams whose requests a plan affects."""
    yield from affected_customers(before, after)
    for name in sorted(removed_services(before, after)):
        yield AffectedSubject(
            "service", name, "new requests are refused, running ones finish"
        )
    for upstream in sorted(set(after.draining) - set(before.draining)):
        yield AffectedSubject(
            "upstream", upstream, "gets no new work, running work finishes"
        )
    for upstream in sorted(set(before.draining) - set(after.draining)):
        yield AffectedSubject("upstream", upstream, "gets work again")
    services = {item.upstream_id: item.service for item in upstreams}
    loading: dict[UpstreamId, int] = {}
    for order in orders:
        loading[order.upstream_id] = loading.get(order.upstream_id, 0) + 1
    for upstream, count in loading.items():
        yield AffectedSubject(
            "upstream",
            upstream,
            f"loads {count} for service {services[upstream]}; requests may wait",
        )


def affected_customers(
    before: FleetConfiguration, after: FleetConfiguration
) -> Iterable[AffectedSubject]:
    """List the customers whose access, shares or limits change."""
    for name, old, new in diff_by_name(before.customers, after.customers):
        match old, new:
            case None, _:
                yield AffectedSubject("customer", name, "its requests are let in")
            case _, None:
                yield AffectedSubject("customer", name, "its new requests are refused")
            case was, becomes if was.key_hash != becomes.key_hash:
                yield AffectedSubject("customer", name, "its old key is refused")
            case was, becomes if set(was.services) - set(becomes.services):
                gone = ", ".join(sorted(set(was.services) - set(becomes.services)))
                yield AffectedSubject(
                    "customer", name, f"new requests for {gone} are refused"
                )
            case _:
                yield AffectedSubject("customer", name, "its share or limits change")


def list_not_done(
    before: FleetConfiguration,
    after: FleetConfiguration,
    services: Iterable[Service],
    upstreams: tuple[UpstreamDescription, ...],
) -> Iterable[NotDone]:
    """List the parts of a change that its plan does not carry out."""
    announced = {item.upstream_id for item in upstreams}
    for service in services:
        yield from loads_not_done(service, after, upstreams)
    for upstream in sorted(set(after.draining) - set(before.draining) - announced):
        yield NotDone(
            f"drain {upstream} now", "it is not known here; it drains if it comes"
        )
    old = {item.name: item for item in before.services}
    for service in after.services:
        gone = set(old[service.name].models if service.name in old else ())
        for model in sorted(gone - set(service.models)):
            yield NotDone(
                f"unload {model} from upstreams of {service.name}",
                "engines take no order to unload",
            )


def loads_not_done(
    service: Service,
    after: FleetConfiguration,
    upstreams: Iterable[UpstreamDescription],
) -> Iterable[NotDone]:
    """List the loads of a service that are not carried out, and why."""
    own = [item for item in upstreams if item.service == service.name]
    what = f"load {', '.join(service.models)} for service {service.name}"
    if not own:
        yield NotDone(what, "no upstream of the service has announced itself")
    for upstream in own:
        if upstream.upstream_id in after.draining:
            yield NotDone(f"{what} at {upstream.upstream_id}", "it is draining")
