"""Account for the memory of the engine."""

from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.internal.sidecar.config import SidecarConfig
from cowslipshelf_core.internal.sidecar.events import HeldMemory


@dataclass(slots=True)
class UnclaimedMemory:
    """Be memory that the engine holds and no attempt here claims."""

    tokens: int
    since: float
    released_at: float = float("-inf")


@dataclass
class MemoryLedger:
    """Hold the reservations, and what the engine holds besides them.

    A reservation is found by its attempt id alone, so a completion that comes late, for
    an attempt that was cancelled and freed before, finds nothing to free.
    """

    config: SidecarConfig
    reservations: dict[AttemptId, int] = field(default_factory=dict)
    reserved_tokens: int = 0
    unclaimed: dict[AttemptId, UnclaimedMemory] = field(default_factory=dict)
    inventory_at: float = float("-inf")

    @property
    def is_bounded(self) -> bool:
        """Return whether the upstream has a memory to account for."""
        return self.config.description.memory_tokens > 0

    @property
    def unclaimed_tokens(self) -> int:
        """Return the tokens that the engine holds for nobody here."""
        return sum(memory.tokens for memory in self.unclaimed.values())

    def fits(self, tokens: int) -> bool:
        """Tell whether that many more tokens fit now."""
        taken = self.reserved_tokens + self.unclaimed_tokens
        return taken + tokens <= self.config.description.memory_tokens

    def reserve(self, attempt_id: AttemptId, tokens: int) -> None:
        """Reserve tokens for an attempt that is about to start."""
        self.reservations[attempt_id] = tokens
        self.reserved_tokens += tokens

    def free(self, attempt_id: AttemptId) -> None:
        """End the reservation of an attempt, if it has one."""
        self.reserved_tokens -= self.reservations.pop(attempt_id, 0)

    def compare(self, held: tuple[HeldMemory, ...], now: float) -> list[AttemptId]:
        """Return the attempts whose memory the engine is to release now.

        A cancel can be lost, and a sidecar can die while its attempts run: the engine
        then holds memory that nobody will free, and each such loss shrinks it for good.
        What is held and not claimed for longer than the grace is released, again and
        again until the engine holds it no more. The grace covers an inventory that was
        read just before an attempt ended; a claim is always older than its memory.
        """
        self.inventory_at = now
        known = self.unclaimed
        self.unclaimed = {}
        due = []
        for attempt_id, tokens in held:
            if attempt_id in self.reservations:
                continue
            memory = known.get(attempt_id) or UnclaimedMemory(tokens, now)
            memory.tokens = tokens
            self.unclaimed[attempt_id] = memory
            if self._is_release_due(memory, now):
                memory.released_at = now
                due.append(attempt_id)
        return due

    def _is_release_due(self, memory: UnclaimedMemory, now: float) -> bool:
        held_for = now - memory.since
        rested = now - memory.released_at >= self.config.cancel_repeat_seconds
        return held_for >= self.config.unclaimed_grace_seconds and rested

    def drop_old_inventory(self, now: float) -> None:
        """Stop counting unclaimed memory that no recent inventory shows."""
        if now - self.inventory_at > self.config.inventory_max_age_seconds:
            self.unclaimed.clear()
