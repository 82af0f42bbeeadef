"""Keep the leases of the entries that own attempts."""

from dataclasses import dataclass, field
from typing import Self

from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.internal.pause_detector import PauseDetector
from cowslipshelf_core.internal.sidecar.config import SidecarConfig


@dataclass
class OwnerLeases:
    """Know which owners were heard of lately."""

    config: SidecarConfig
    watch: PauseDetector
    seen: dict[InstanceId, float] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: SidecarConfig) -> Self:
        """Start knowing no owner."""
        return cls(config, PauseDetector())

    def renew(self, owner: InstanceId, now: float) -> None:
        """Prolong an owner's lease."""
        self.seen[owner] = now

    def tick(self, now: float) -> list[InstanceId]:
        """Return the owners whose leases have ended since the last tick."""
        standstill = self.watch.tick(now)
        # See PauseDetector: live owners' messages may still wait to be read.
        if standstill:
            for owner, seen_at in self.seen.items():
                self.seen[owner] = min(now, seen_at + standstill)
        oldest = now - self.config.owner_lease_seconds
        ended = [owner for owner, seen_at in self.seen.items() if seen_at <= oldest]
        for owner in ended:
            del self.seen[owner]
        return ended
