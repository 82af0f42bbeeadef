"""Keep records in the order they came, bounded in number and in bytes."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class BoundedRecords:
    """Keep encoded records; the oldest go first once a bound is passed.

    Records are kept encoded: a byte string costs about a quarter of the memory of
    the decoded objects, and the garbage collector need not look into it.
    """

    max_records: int
    max_bytes: int
    records: dict[str, bytes] = field(default_factory=dict)
    total_bytes: int = 0

    def get(self, key: str) -> bytes | None:
        """Read a record."""
        return self.records.get(key)

    def put(self, key: str, data: bytes) -> tuple[str, ...]:
        """Keep a record, and tell the keys of those that had to go."""
        self.remove(key)
        self.records[key] = data
        self.total_bytes += len(data)
        return tuple(self.evict_oldest())

    def remove(self, key: str) -> None:
        """Forget a record."""
        data = self.records.pop(key, b"")
        self.total_bytes -= len(data)

    def evict_oldest(self) -> Iterable[str]:
        """Drop the oldest until the bounds hold."""
        while self.exceeds_limits():
            key = next(iter(self.records))
            self.remove(key)
            yield key

    def exceeds_limits(self) -> bool:
        """Tell whether a bound is passed; the newest record always stays."""
        if len(self.records) <= 1:
            return False
        return len(self.records) > self.max_records or self.total_bytes > self.max_bytes

    def restore(self, records: dict[str, bytes]) -> None:
        """Take over the records of a snapshot."""
        self.records = records
        self.total_bytes = sum(len(data) for data in records.values())
