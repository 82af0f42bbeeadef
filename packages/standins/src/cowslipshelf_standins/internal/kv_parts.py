"""Track parts of a prompt's KV cache, exported and imported by reference."""

import msgspec

from cowslipshelf_standins.internal.http_serving import BadRequestError


class KvPart(msgspec.Struct, frozen=True):
    """Refer to the KV cache of a token range of one prompt."""

    handle: str
    prompt_seed: int
    from_token: int
    to_token: int


class KvExport(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request a reference to KV cache that an attempt holds."""

    attempt_id: str
    from_token: int
    to_token: int


class KvImport(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Import references to KV cache that other engines hold."""

    parts: tuple[KvPart, ...]


class KvImported(msgspec.Struct, frozen=True):
    """Report the number of imported parts."""

    imported: int


class KvParts:
    """Hold the imported parts."""

    def __init__(self) -> None:
        self.parts: dict[str, KvPart] = {}

    def add(self, parts: tuple[KvPart, ...]) -> KvImported:
        """Add parts."""
        self.parts.update((part.handle, part) for part in parts)
        return KvImported(len(parts))

    def imported_tokens(
        self, handles: tuple[str, ...], seed: int, start: int, end: int
    ) -> int:
        """Return the number of tokens of a range that the parts cover."""
        covered: set[tuple[int, int]] = set()
        for handle in handles:
            part = self.parts.get(handle)
            if part is None or part.prompt_seed != seed:
                raise BadRequestError(409, "unknown_kv_part", f"no part {handle}")
            covered.add((max(start, part.from_token), min(end, part.to_token)))
        return merged_length(sorted(covered))


def merged_length(ranges: list[tuple[int, int]]) -> int:
    """Return the length of the union of sorted ranges."""
    total = 0
    reached = 0
    for start, end in ranges:
        total += max(0, end - max(start, reached))
        reached = max(reached, end)
    return total
