"""Keep records in the order they came, bounded in number and in bytes."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class BoundedRecords:
    """Keep encoded records; the oldest go first once a bound is passed.

    Records are kept encoded: a byte string costs about a quarter of the memory of
    the decoded objects, and the garbage collector need not look into it.
    """

    most_records: int
    most_bytes: int
    records: dict[str, bytes] = field(default_factory=dict)
    held_bytes: int = 0

    def get(self, key: str) -> bytes | None:
        """Read a record."""
        return self.records.get(key)

    def put(self, key: str, data: bytes) -> tuple[str, ...]:
        """Keep a record, and tell the keys of those that had to go."""
        self.drop(key)
        self.records[key] = data
        self.held_bytes += len(data)
        return tuple(self.evict_oldest())

    def drop(self, key: str) -> None:
        """Forget a record."""
        data = self.records.pop(key, b"")
        self.held_bytes -= len(data)

    def evict_oldest(self) -> Iterable[str]:
        """Drop the oldest until the bounds hold."""
        while self.is_over():
            key = next(iter(self.records))
            self.drop(key)
            yield key

    def is_over(self) -> bool:
        """Tell whether a bound is passed; the newest record always stays."""
        if len(self.records) <= 1:
            return False
        return (
            len(self.records) > self.most_records or self.held_bytes > self.most_bytes
        )

    def restore(self, records: dict[str, bytes]) -> None:
        """Take over the records of a snapshot."""
        self.records = records
        self.held_bytes = sum(len(data) for data in records.values())
