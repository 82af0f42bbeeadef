"""Store encoded records in insertion order, bounded in count and size."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class BoundedRecords:
    """Store encoded records and evict the oldest when a limit is exceeded.

    A record stays encoded because a byte string takes about a quarter of the memory
    of the decoded objects, and the garbage collector does not have to traverse it.
    """

    max_records: int
    max_bytes: int
    records: dict[str, bytes] = field(default_factory=dict)
    total_bytes: int = 0
    """Size of all stored records, without their keys."""

    def get(self, key: str) -> bytes | None:
        """Return a record, or None if the key is absent."""
        return self.records.get(key)

    def put(self, key: str, data: bytes) -> tuple[str, ...]:
        """Store a record as the newest, and return the keys that were evicted."""
        self.remove(key)
        self.records[key] = data
        self.total_bytes += len(data)
        return tuple(self.evict_oldest())

    def remove(self, key: str) -> None:
        """Remove a record if it is present."""
        data = self.records.pop(key, b"")
        self.total_bytes -= len(data)

    def evict_oldest(self) -> Iterable[str]:
        """Remove the oldest records until the limits hold, yielding their keys."""
        while self.exceeds_limits():
            key = next(iter(self.records))
            self.remove(key)
            yield key

    def exceeds_limits(self) -> bool:
        """Return whether a limit is exceeded; the newest record always stays."""
        if len(self.records) <= 1:
            return False
        return len(self.records) > self.max_records or self.total_bytes > self.max_bytes

    def restore(self, records: dict[str, bytes]) -> None:
        """Load the records of a snapshot."""
        self.records = records
        self.total_bytes = sum(len(data) for data in records.values())
