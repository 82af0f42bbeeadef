"""Count how often news is still to be told, since a message may be lost."""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


@dataclass(slots=True)
class RetransmitQueue(Generic[Key]):
    """Hold what there is news of, each with how often it is still to be told."""

    left: dict[Key, int] = field(default_factory=dict)

    def add(self, keys: Iterable[Key], times: int) -> None:
        """Have some news told so many times more, however often it was told before."""
        self.left |= dict.fromkeys(keys, times)

    def take(self) -> frozenset[Key]:
        """Return what is to be told now, and count it."""
        due = frozenset(self.left)
        self.left = {key: times - 1 for key, times in self.left.items() if times > 1}
        return due
