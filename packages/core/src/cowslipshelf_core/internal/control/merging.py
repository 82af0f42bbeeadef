"""Work out the configuration that a change would lead to, and what is wrong with it."""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from cowslipshelf_core.configuration import (
    Customer,
    FleetConfiguration,
)
from cowslipshelf_core.internal.control.names import Named, repeated_names
from cowslipshelf_core.internal.control.plans import Change, NotDone, WantedState


class Merged(NamedTuple):
    """Be the configuration that a change leads to, still under the old version."""

    configuration: FleetConfiguration
    problems: tuple[str, ...]
    not_done: tuple[NotDone, ...] = ()


def merge(present: FleetConfiguration, change: Change | WantedState) -> Merged:
    """Apply a change to the present configuration, without judging the result."""
    match change:
        case Change():
            return merge_change(present, change)
        case WantedState():
            return merge_wanted(present, change)


def merge_wanted(present: FleetConfiguration, wanted: WantedState) -> Merged:
    """Replace the present configuration as a whole."""
    problems = [
        *repeated_names("customers", (entry.name for entry in wanted.customers)),
        *repeated_names("services", (entry.name for entry in wanted.services)),
        *repeated_names("models", (entry.name for entry in wanted.models)),
        *repeated_names("draining", wanted.draining),
    ]
    configuration = FleetConfiguration(
        version=present.version,
        customers=by_name(keep_hashes(present, wanted.customers)),
        services=by_name(wanted.services),
        models=by_name(wanted.models),
        draining=tuple(sorted(set(wanted.draining))),
        weight_store=wanted.weight_store,
    )
    return Merged(configuration, tuple(problems))


def merge_change(present: FleetConfiguration, change: Change) -> Merged:
    """Put and remove what a change names."""
    customers = keep_hashes(present, change.put_customers)
    draining = set(present.draining)
    problems = [
        *naming_problems("customers", present.customers, customers, change),
        *naming_problems("services", present.services, change.put_services, change),
        *naming_problems("models", present.models, change.put_models, change),
        *drain_problems(change),
    ]
    not_done = [
        NotDone(f"undrain {upstream}", "it is not draining")
        for upstream in change.undrain
        if upstream not in draining
    ]
    configuration = FleetConfiguration(
        version=present.version,
        customers=put_and_remove(
            present.customers, customers, frozenset(change.remove_customers)
        ),
        services=put_and_remove(
            present.services, change.put_services, frozenset(change.remove_services)
        ),
        models=put_and_remove(
            present.models, change.put_models, frozenset(change.remove_models)
        ),
        draining=tuple(sorted((draining | set(change.drain)) - set(change.undrain))),
        weight_store=change.weight_store or present.weight_store,
    )
    return Merged(configuration, tuple(problems), tuple(not_done))


def keep_hashes(
    present: FleetConfiguration, customers: Iterable[Customer]
) -> tuple[Customer, ...]:
    """Fill empty key hashes with those that the customers have now."""
    known = {entry.name: entry.key_hash for entry in present.customers}
    return tuple(
        entry
        if entry.key_hash
        else msgspec.structs.replace(entry, key_hash=known.get(entry.name, ""))
        for entry in customers
    )


def put_and_remove(
    present: Iterable[Named], put: Iterable[Named], removed: frozenset[str]
) -> tuple[Named, ...]:
    """Replace entries by name, add new ones and leave out removed ones."""
    entries = {entry.name: entry for entry in present}
    entries.update({entry.name: entry for entry in put})
    return by_name(entry for entry in entries.values() if entry.name not in removed)


def by_name(entries: Iterable[Named]) -> tuple[Named, ...]:
    """Sort entries, so that equal configurations are equal whatever their history."""
    return tuple(sorted(entries, key=lambda entry: entry.name))


def naming_problems(
    part: str, present: Iterable[Named], put: Iterable[Named], change: Change
) -> Iterable[str]:
    """Find names that a change uses twice, or removes though nobody has them."""
    removed: tuple[str, ...] = getattr(change, f"remove_{part}")
    put_names = tuple(entry.name for entry in put)
    known = {entry.name for entry in present}
    yield from repeated_names(f"put_{part}", put_names)
    yield from repeated_names(f"remove_{part}", removed)
    for name in removed:
        if name in put_names:
            yield f"{part}: {name!r} is both put and removed"
        elif name not in known:
            yield f"remove_{part}: there is no {name!r}"


def drain_problems(change: Change) -> Iterable[str]:
    """Find upstreams that a change names twice."""
    yield from repeated_names("drain", change.drain)
    yield from repeated_names("undrain", change.undrain)
    for upstream in sorted(set(change.drain) & set(change.undrain)):
        yield f"drain: {upstream!r} is both drained and undrained"
