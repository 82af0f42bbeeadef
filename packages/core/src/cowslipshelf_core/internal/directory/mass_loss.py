"""Tell a cut on our side from the deaths of single upstreams."""

from dataclasses import dataclass

from cowslipshelf_core.internal.directory.config import DirectoryConfig
from cowslipshelf_core.internal.directory.events import (
    DirectoryEffect,
    MassLossBegan,
    MassLossEnded,
)
from cowslipshelf_core.internal.directory.record import UpstreamRecord


@dataclass
class MassLossJudge:
    """Know whether most of the fleet is silent together.

    When the network cuts an entry off from most upstreams, or stops only their
    announcements, dropping the silent ones would refuse callers whom the upstreams
    could still serve, or heap all load on the few that are heard.
    """

    config: DirectoryConfig
    ongoing: bool = False
    anyone_heard: bool = False

    def judge(
        self, silent: list[UpstreamRecord], known: int, now: float
    ) -> list[DirectoryEffect]:
        """Look at the silent ones of a fleet of `known` upstreams."""
        self.anyone_heard = len(silent) < known
        window = self.config.mass_loss_window_seconds
        together = sum(record.silent_seconds(now) <= window for record in silent)
        most = self.config.mass_loss_share * known
        effects: list[DirectoryEffect] = []
        if self.ongoing and len(silent) <= most:
            self.ongoing = False
            effects.append(MassLossEnded(len(silent), known))
        elif not self.ongoing and together > most:
            self.ongoing = together >= self.config.mass_loss_min_upstreams
            if self.ongoing:
                effects.append(MassLossBegan(len(silent), known))
        if self.ongoing:
            for record in silent:
                record.lost_in_mass = True
        return effects

    def is_doubtful(self, record: UpstreamRecord, now: float) -> bool:
        """Tell whether a silent upstream stays in use, as one of very many."""
        if not self.ongoing or record.silent_since is None:
            return False
        recent = record.silent_seconds(now) < self.config.doubtful_seconds
        return recent or not self.anyone_heard
