"""Distinguish a network fault at this entry from failures of single upstreams."""

from dataclasses import dataclass

from cowslipshelf_core.internal.directory.config import DirectoryConfig
from cowslipshelf_core.internal.directory.events import (
    DirectoryEffect,
    MassLossBegan,
    MassLossEnded,
)
from cowslipshelf_core.internal.directory.record import UpstreamRecord


@dataclass
class MassLossDetector:
    """Detect whether most of the fleet is silent at the same time.

    When an entry is partitioned from most upstreams, or only their announcements are
    lost, dropping the silent ones would refuse requests that they could still serve, or
    overload the few that are heard.
    """

    config: DirectoryConfig
    ongoing: bool = False
    any_heard: bool = False

    def update(
        self, silent: list[UpstreamRecord], known: int, now: float
    ) -> list[DirectoryEffect]:
        """Update the state from the silent upstreams among `known` ones."""
        self.any_heard = len(silent) < known
        window = self.config.mass_loss_window_seconds
        recent_count = sum(record.silent_seconds(now) <= window for record in silent)
        limit = self.config.mass_loss_share * known
        effects: list[DirectoryEffect] = []
        if self.ongoing and len(silent) <= limit:
            self.ongoing = False
            effects.append(MassLossEnded(len(silent), known))
        elif not self.ongoing and recent_count > limit:
            self.ongoing = recent_count >= self.config.mass_loss_min_upstreams
            if self.ongoing:
                effects.append(MassLossBegan(len(silent), known))
        if self.ongoing:
            for record in silent:
                record.part_of_mass_loss = True
        return effects

    def is_doubtful(self, record: UpstreamRecord, now: float) -> bool:
        """Return whether a silent upstream stays in use because of a mass loss."""
        if not self.ongoing or record.silent_since is None:
            return False
        recent = record.silent_seconds(now) < self.config.doubtful_seconds
        return recent or not self.any_heard
