"""Track the leases of the entries that own attempts."""

from dataclasses import dataclass, field
from typing import Self

from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.internal.pause_detector import PauseDetector
from cowslipshelf_core.internal.sidecar.config import SidecarConfig


@dataclass
class OwnerLeases:
    """Hold when each owner was last seen."""

    config: SidecarConfig
    pause_detector: PauseDetector
    last_seen: dict[InstanceId, float] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: SidecarConfig) -> Self:
        """Create an empty table of owners."""
        return cls(config, PauseDetector())

    def renew(self, owner: InstanceId, now: float) -> None:
        """Renew an owner's lease."""
        self.last_seen[owner] = now

    def tick(self, now: float) -> list[InstanceId]:
        """Return the owners whose leases have ended since the last tick."""
        pause = self.pause_detector.tick(now)
        # See PauseDetector: messages of live owners may still be waiting to be read.
        if pause:
            for owner, seen_at in self.last_seen.items():
                self.last_seen[owner] = min(now, seen_at + pause)
        oldest = now - self.config.owner_lease_seconds
        ended = [
            owner for owner, seen_at in self.last_seen.items() if seen_at <= oldest
        ]
        for owner in ended:
            del self.last_seen[owner]
        return ended
