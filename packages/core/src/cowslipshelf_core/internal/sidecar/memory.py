"""Track the memory of the engine."""

from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.internal.sidecar.config import SidecarConfig
from cowslipshelf_core.internal.sidecar.events import HeldMemory


@dataclass(slots=True)
class UnclaimedMemory:
    """Hold memory that the engine reports and that has no reservation here."""

    tokens: int
    since: float
    released_at: float = float("-inf")


@dataclass
class MemoryTracker:
    """Track reservations, and memory that the engine holds without one.

    Reservations are keyed by attempt id, so a late completion of an attempt that was
    cancelled and freed before does not free another attempt's memory.
    """

    config: SidecarConfig
    reservations: dict[AttemptId, int] = field(default_factory=dict)
    reserved_tokens: int = 0
    unclaimed: dict[AttemptId, UnclaimedMemory] = field(default_factory=dict)
    inventory_at: float = float("-inf")

    @property
    def is_bounded(self) -> bool:
        """Return whether the upstream has limited memory; a plain service has none."""
        return self.config.description.memory_tokens > 0

    @property
    def unclaimed_tokens(self) -> int:
        """Return the tokens that the engine holds without a reservation."""
        return sum(memory.tokens for memory in self.unclaimed.values())

    def fits(self, tokens: int) -> bool:
        """Return whether that many more tokens fit now."""
        taken = self.reserved_tokens + self.unclaimed_tokens
        return taken + tokens <= self.config.description.memory_tokens

    def reserve(self, attempt_id: AttemptId, tokens: int) -> None:
        """Reserve tokens for an attempt that is about to start."""
        self.reservations[attempt_id] = tokens
        self.reserved_tokens += tokens

    def free(self, attempt_id: AttemptId) -> None:
        """End the reservation of an attempt, if it has one."""
        self.reserved_tokens -= self.reservations.pop(attempt_id, 0)

    def reconcile(self, held: tuple[HeldMemory, ...], now: float) -> list[AttemptId]:
        """Compare an inventory with the reservations; return what to release now.

        If a cancel is lost, or a sidecar crashes while its attempts run, the engine
        keeps memory that nobody frees, and each such leak reduces its capacity for
        good. Memory without a reservation for longer than the grace time is released,
        repeatedly until the engine no longer reports it. The grace time covers an
        inventory that was read just before an attempt ended; a reservation is always
        made before the engine allocates its memory.
        """
        self.inventory_at = now
        previous = self.unclaimed
        self.unclaimed = {}
        due = []
        for attempt_id, tokens in held:
            if attempt_id in self.reservations:
                continue
            memory = previous.get(attempt_id) or UnclaimedMemory(tokens, now)
            memory.tokens = tokens
            self.unclaimed[attempt_id] = memory
            if self._is_release_due(memory, now):
                memory.released_at = now
                due.append(attempt_id)
        return due

    def _is_release_due(self, memory: UnclaimedMemory, now: float) -> bool:
        held_for = now - memory.since
        repeat_due = now - memory.released_at >= self.config.cancel_repeat_seconds
        return held_for >= self.config.unclaimed_grace_seconds and repeat_due

    def expire_inventory(self, now: float) -> None:
        """Stop counting unclaimed memory when the last inventory is too old."""
        if now - self.inventory_at > self.config.inventory_max_age_seconds:
            self.unclaimed.clear()
