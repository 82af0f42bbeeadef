"""Compare lists of named items, and find duplicate names."""

from collections.abc import Iterable
from typing import Generic, NamedTuple, TypeVar

from cowslipshelf_core.configuration import Customer, Model, Service

Named = TypeVar("Named", Customer, Service, Model)


class Difference(NamedTuple, Generic[Named]):
    """Hold an item that was added, removed or replaced."""

    name: str
    before: Named | None
    after: Named | None


def diff_by_name(
    before: Iterable[Named], after: Iterable[Named]
) -> tuple[Difference[Named], ...]:
    """List the items that differ, sorted by name."""
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    changed = [name for name, item in new.items() if old.get(name) != item]
    removed = [name for name in old if name not in new]
    return tuple(
        Difference(name, old.get(name), new.get(name))
        for name in sorted(changed + removed)
    )


def duplicate_name_problems(where: str, names: Iterable[str]) -> Iterable[str]:
    """List a problem for each duplicate name."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield f"{where}: {name!r} stands there twice"
        seen.add(name)
