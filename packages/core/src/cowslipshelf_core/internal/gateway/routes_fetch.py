"""Decide whom to ask for a newer configuration, and when to ask somebody else."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import InstanceId

GATHER_SECONDS = 0.03
"""Time between the first word of a newer configuration and the question for it. The
replicas tell at the same moment; asked at once, a few links carried most copies: of 70
of one version, two gateways sent 26 each, and of 77 of another, one sent 27."""
ANSWER_SECONDS = 0.3
"""Time for a question and its answer beside what the copy itself takes."""
ASSUMED_SECONDS_PER_BYTE = 1 / 60_000
"""Pace of copies before one has come: that of a slow link with many copies on it."""
PATIENCE_FACTOR = 3.0
"""How much slower than the last one a copy may come before somebody else is asked."""


@dataclass(slots=True)
class RoutesFetch:
    """Have one question open at a time; times are monotonic seconds.

    A gateway that asks again before the copy can have come gets it twice, fills its
    link with what it has, and makes the next one later still: with a fixed patience of
    0.3 s and copies that took a second, three copies of each version came, up to six,
    and changes and answers were late by seconds. So the patience follows the size of
    the copy and the pace of the last one, and doubles with each question in vain.
    """

    due: float | None = None
    """When to ask; nothing while no newer configuration is known."""
    asked: list[InstanceId] = field(default_factory=list)
    """Who was asked in vain, or is asked now."""
    asked_at: float = 0.0
    seconds_per_byte: float = ASSUMED_SECONDS_PER_BYTE

    def is_waiting(self, alive: Callable[[InstanceId], bool], now: float) -> bool:
        """Tell whether nobody else needs to be asked yet.

        Each word of a newer configuration asks so, and hundreds of gateways tell of
        it; to list and order its holders each time would cost more than the copy.
        """
        if self.due is None or now >= self.due:
            return False
        return not self.asked or alive(self.asked[-1])

    def next_peer(
        self, holders: Sequence[InstanceId], size: int, waits: bool, now: float
    ) -> InstanceId | None:
        """Return whom to ask now, if anybody.

        The holders have a newer configuration, of the size in bytes, the best to ask
        first. Who has none at all waits for no others to tell.
        """
        if not holders:
            self.forget()
            return None
        if self.due is None:
            self.due = now if waits else now + GATHER_SECONDS
        gone = bool(self.asked) and self.asked[-1] not in holders
        if now < self.due and not gone:
            return None
        chosen = next((peer for peer in holders if peer not in self.asked), None)
        if chosen is None:
            chosen = holders[len(self.asked) % len(holders)]
        self.due = now + self.answer_timeout(size) * 2 ** min(len(self.asked), 8)
        self.asked.append(chosen)
        self.asked_at = now
        return chosen

    def answer_timeout(self, size: int) -> float:
        """Return how long a copy of a size may take, in seconds."""
        return ANSWER_SECONDS + PATIENCE_FACTOR * size * self.seconds_per_byte

    def note_received(self, size: int, now: float) -> None:
        """Take in that a copy came; a slow one is remembered, and slowly forgotten."""
        if self.asked and size:
            pace = (now - self.asked_at) / size
            self.seconds_per_byte = max(pace, self.seconds_per_byte / 2)
        self.forget()

    def restarted(self, peer: InstanceId, now: float) -> None:
        """Ask somebody else at once where the one that was asked has started anew."""
        if self.asked and self.asked[-1] == peer:
            self.due = now

    def forget(self) -> None:
        """Begin anew with the next newer configuration."""
        self.due = None
        self.asked.clear()
