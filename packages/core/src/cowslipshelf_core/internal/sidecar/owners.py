"""Keep the leases of the entries that own attempts."""

from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.internal.sidecar.config import SidecarConfig


@dataclass
class OwnerLeases:
    """Know which owners were heard of lately."""

    config: SidecarConfig
    seen: dict[InstanceId, float] = field(default_factory=dict)
    ticked_at: float | None = None

    def renew(self, owner: InstanceId, now: float) -> None:
        """Prolong an owner's lease."""
        self.seen[owner] = now

    def tick(self, now: float) -> list[InstanceId]:
        """Return the owners whose leases have ended since the last tick."""
        self._allow_for_own_freeze(now)
        oldest = now - self.config.owner_lease_seconds
        ended = [owner for owner, seen_at in self.seen.items() if seen_at <= oldest]
        for owner in ended:
            del self.seen[owner]
        return ended

    def _allow_for_own_freeze(self, now: float) -> None:
        """Prolong the leases by the time for which this process stood still.

        When a frozen sidecar wakes, its first tick may come before the owners' messages
        that waited meanwhile, and it would cancel what live owners still want.
        """
        if self.ticked_at is not None:
            gap = now - self.ticked_at
            if gap > self.config.freeze_seconds:
                for owner, seen_at in self.seen.items():
                    self.seen[owner] = min(now, seen_at + gap)
        self.ticked_at = now
