"""Merge a change into the current configuration."""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from cowslipshelf_core.configuration import (
    Customer,
    FleetConfiguration,
)
from cowslipshelf_core.internal.control.named_items import (
    Named,
    duplicate_name_problems,
)
from cowslipshelf_core.internal.control.plans import Change, NotDone, WantedState


class MergeResult(NamedTuple):
    """Hold the configuration after a change, still with the old version."""

    configuration: FleetConfiguration
    problems: tuple[str, ...]
    not_done: tuple[NotDone, ...] = ()


def merge(current: FleetConfiguration, change: Change | WantedState) -> MergeResult:
    """Apply a change to the current configuration, without validating the result."""
    match change:
        case Change():
            return merge_change(current, change)
        case WantedState():
            return merge_wanted(current, change)


def merge_wanted(current: FleetConfiguration, wanted: WantedState) -> MergeResult:
    """Replace the whole configuration."""
    problems = [
        *duplicate_name_problems("customers", (item.name for item in wanted.customers)),
        *duplicate_name_problems("services", (item.name for item in wanted.services)),
        *duplicate_name_problems("models", (item.name for item in wanted.models)),
        *duplicate_name_problems("draining", wanted.draining),
    ]
    configuration = FleetConfiguration(
        version=current.version,
        customers=sorted_by_name(fill_key_hashes(current, wanted.customers)),
        services=sorted_by_name(wanted.services),
        models=sorted_by_name(wanted.models),
        draining=tuple(sorted(set(wanted.draining))),
        weight_store=wanted.weight_store,
    )
    return MergeResult(configuration, tuple(problems))


def merge_change(current: FleetConfiguration, change: Change) -> MergeResult:
    """Add, replace and remove the items that a change names."""
    customers = fill_key_hashes(current, change.put_customers)
    draining = set(current.draining)
    problems = [
        *naming_problems("customers", current.customers, customers, change),
        *naming_problems("services", current.services, change.put_services, change),
        *naming_problems("models", current.models, change.put_models, change),
        *drain_problems(change),
    ]
    not_done = [
        NotDone(f"undrain {upstream}", "it is not draining")
        for upstream in change.undrain
        if upstream not in draining
    ]
    configuration = FleetConfiguration(
        version=current.version,
        customers=put_and_remove(
            current.customers, customers, frozenset(change.remove_customers)
        ),
        services=put_and_remove(
            current.services, change.put_services, frozenset(change.remove_services)
        ),
        models=put_and_remove(
            current.models, change.put_models, frozenset(change.remove_models)
        ),
        draining=tuple(sorted((draining | set(change.drain)) - set(change.undrain))),
        weight_store=change.weight_store or current.weight_store,
    )
    return MergeResult(configuration, tuple(problems), tuple(not_done))


def fill_key_hashes(
    current: FleetConfiguration, customers: Iterable[Customer]
) -> tuple[Customer, ...]:
    """Replace empty key hashes by those that the customers have now."""
    known = {item.name: item.key_hash for item in current.customers}
    return tuple(
        item
        if item.key_hash
        else msgspec.structs.replace(item, key_hash=known.get(item.name, ""))
        for item in customers
    )


def put_and_remove(
    current: Iterable[Named], put: Iterable[Named], removed: frozenset[str]
) -> tuple[Named, ...]:
    """Replace items by name, add new ones and omit removed ones."""
    items = {item.name: item for item in current}
    items.update({item.name: item for item in put})
    return sorted_by_name(item for item in items.values() if item.name not in removed)


def sorted_by_name(items: Iterable[Named]) -> tuple[Named, ...]:
    """Sort items, so that configurations compare equal whatever their history."""
    return tuple(sorted(items, key=lambda item: item.name))


def naming_problems(
    part: str, current: Iterable[Named], put: Iterable[Named], change: Change
) -> Iterable[str]:
    """List names that a change uses twice, or removes though they don't exist."""
    removed: tuple[str, ...] = getattr(change, f"remove_{part}")
    put_names = tuple(item.name for item in put)
    known = {item.name for item in current}
    yield from duplicate_name_problems(f"put_{part}", put_names)
    yield from duplicate_name_problems(f"remove_{part}", removed)
    for name in removed:
        if name in put_names:
            yield f"{part}: {name!r} is both put and removed"
        elif name not in known:
            yield f"remove_{part}: there is no {name!r}"


def drain_problems(change: Change) -> Iterable[str]:
    """List upstreams that a change names twice."""
    yield from duplicate_name_problems("drain", change.drain)
    yield from duplicate_name_problems("undrain", change.undrain)
    for upstream in sorted(set(change.drain) & set(change.undrain)):
        yield f"drain: {upstream!r} is both drained and undrained"
