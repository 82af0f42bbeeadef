"""Tell what a change would do: fields, orders, whose requests, and what not."""

from collections.abc import Iterable
from typing import NamedTuple

from cowslipshelf_core.configuration import (
    Document,
    FleetConfiguration,
    Service,
)
from cowslipshelf_core.identifiers import ModelName, ServiceName, UpstreamId
from cowslipshelf_core.internal.control.merging import merge
from cowslipshelf_core.internal.control.names import Named, differences
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
    """Be a plan's content before it has an id, or the reasons against it."""

    configuration: FleetConfiguration
    problems: tuple[str, ...]
    changes: tuple[FieldChange, ...] = ()
    orders: tuple[PlannedOrder, ...] = ()
    touches: tuple[AffectedSubject, ...] = ()
    not_done: tuple[NotDone, ...] = ()


def draft_plan(
    present: FleetConfiguration,
    change: Change | WantedState,
    upstreams: tuple[UpstreamDescription, ...],
) -> PlanDraft:
    """Work out what a change would do to the present configuration."""
    merged = merge(present, change)
    problems = merged.problems or configuration_problems(present, merged.configuration)
    if problems:
        return PlanDraft(present, problems)
    after = merged.configuration
    changed_services = services_with_changed_models(present, after)
    orders = tuple(load_orders(present, after, changed_services, upstreams))
    return PlanDraft(
        configuration=after,
        problems=(),
        changes=tuple(field_changes(present, after)),
        orders=orders,
        touches=tuple(affected_subjects(present, after, orders, upstreams)),
        not_done=(
            *merged.not_done,
            *left_undone(present, after, changed_services, upstreams),
        ),
    )


def relevant_upstreams(
    change: Change | WantedState, upstreams: Iterable[UpstreamDescription]
) -> tuple[UpstreamDescription, ...]:
    """Keep the upstreams that a plan for the change can speak of, in a fixed order.

    Whatever the base, so that a fresh plan on a newer one can use them as well.
    """
    if isinstance(change, WantedState) or change.put_models:
        return tuple(sorted(upstreams))
    services = {entry.name for entry in change.put_services}
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
    """List every field that differs."""
    yield from part_changes("customer", before.customers, after.customers)
    yield from part_changes("service", before.services, after.services)
    yield from part_changes("model", before.models, after.models)
    for upstream in sorted(set(before.draining) ^ set(after.draining)):
        was, becomes = ("no", "yes") if upstream in after.draining else ("yes", "no")
        yield FieldChange("upstream", upstream, "draining", was, becomes)
    yield from document_changes(
        "weight_store", "limits", before.weight_store, after.weight_store
    )


def part_changes(
    kind: SubjectKind, before: Iterable[Named], after: Iterable[Named]
) -> Iterable[FieldChange]:
    """Compare entries by name."""
    for name, old, new in differences(before, after):
        yield from document_changes(kind, name, old, new)


def document_changes(
    kind: SubjectKind, name: str, before: Document | None, after: Document | None
) -> Iterable[FieldChange]:
    """Compare two documents of one type, either of which may be absent."""
    if before == after:
        return
    present = after if before is None else before
    for field in present.__struct_fields__:
        old = shown_field(before, field)
        new = shown_field(after, field)
        if old != new or field == "key_hash" and field_of(before) != field_of(after):
            yield FieldChange(kind, name, field, old, new)


def field_of(document: Document | None) -> str | None:
    """Read a key hash in full, of which a plan shows only the beginning."""
    return getattr(document, "key_hash", None)


def shown_field(document: Document | None, field: str) -> str | None:
    """Write a field as text."""
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
    """Find services that get a model, or another version of one."""
    old = {entry.name: entry.models for entry in before.services}
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
    """Find models that had another version before."""
    old = {entry.name: entry.version for entry in before.models}
    return {
        entry.name
        for entry in after.models
        if old.get(entry.name, entry.version) != entry.version
    }


def removed_services(
    before: FleetConfiguration, after: FleetConfiguration
) -> set[ServiceName]:
    """Find services that go."""
    return {entry.name for entry in before.services} - {
        entry.name for entry in after.services
    }


def load_orders(
    before: FleetConfiguration,
    after: FleetConfiguration,
    services: Iterable[Service],
    upstreams: Iterable[UpstreamDescription],
) -> Iterable[PlannedOrder]:
    """List the orders that bring upstreams to the models of their services."""
    versions = {entry.name: entry.version for entry in after.models}
    reloaded = reloaded_models(before, after)
    by_service = {entry.name: entry for entry in services}
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
    """List whose requests a plan touches."""
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
    services = {entry.upstream_id: entry.service for entry in upstreams}
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
    """List customers whose requests are let in, refused or served otherwise."""
    for name, old, new in differences(before.customers, after.customers):
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


def left_undone(
    before: FleetConfiguration,
    after: FleetConfiguration,
    services: Iterable[Service],
    upstreams: tuple[UpstreamDescription, ...],
) -> Iterable[NotDone]:
    """List what a plan can't do with the upstreams there are."""
    announced = {entry.upstream_id for entry in upstreams}
    for service in services:
        yield from undone_loads(service, after, upstreams)
    for upstream in sorted(set(after.draining) - set(before.draining) - announced):
        yield NotDone(
            f"drain {upstream} now", "it is not known here; it drains if it comes"
        )
    old = {entry.name: entry for entry in before.services}
    for service in after.services:
        gone = set(old[service.name].models if service.name in old else ())
        for model in sorted(gone - set(service.models)):
            yield NotDone(
                f"unload {model} from upstreams of {service.name}",
                "engines take no order to unload",
            )


def undone_loads(
    service: Service,
    after: FleetConfiguration,
    upstreams: Iterable[UpstreamDescription],
) -> Iterable[NotDone]:
    """Tell why models of a service are not loaded."""
    own = [entry for entry in upstreams if entry.service == service.name]
    what = f"load {', '.join(service.models)} for service {service.name}"
    if not own:
        yield NotDone(what, "no upstream of the service has announced itself")
    for upstream in own:
        if upstream.upstream_id in after.draining:
            yield NotDone(f"{what} at {upstream.upstream_id}", "it is draining")
