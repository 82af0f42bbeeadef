"""Find names that stand twice in one list."""

from collections.abc import Iterable


def repeated_names(where: str, names: Iterable[str]) -> Iterable[str]:
    """List a problem for each repetition."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield f"{where}: {name!r} stands there twice"
        seen.add(name)
