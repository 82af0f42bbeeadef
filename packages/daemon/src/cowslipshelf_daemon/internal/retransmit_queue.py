"""Send each item several times, since a message may be lost."""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


@dataclass(slots=True)
class RetransmitQueue(Generic[Key]):
    """Hold the items to send, each with the number of sends that are left."""

    left: dict[Key, int] = field(default_factory=dict)

    def add(self, keys: Iterable[Key], times: int) -> None:
        """Queue some items for this many sends, whatever number they had left."""
        self.left |= dict.fromkeys(keys, times)

    def take(self) -> frozenset[Key]:
        """Return all items to send now, and count this as one send of each."""
        due = frozenset(self.left)
        self.left = {key: times - 1 for key, times in self.left.items() if times > 1}
        return due
