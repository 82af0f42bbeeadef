"""Notice that this process itself stood still."""

from dataclasses import dataclass


@dataclass
class StandstillWatch:
    """Measure the gaps between ticks.

    A process that was frozen, or starved of processor time, finds on waking that every
    lease it keeps for others seems to have ended, because its first tick may come
    before the messages that waited meanwhile. Leases are prolonged by such a gap.
    """

    least_seconds: float
    """A longer gap between ticks counts as a standstill."""
    ticked_at: float | None = None

    def tick(self, now: float) -> float:
        """Return the seconds for which this process stood still, mostly zero."""
        gap = 0.0 if self.ticked_at is None else now - self.ticked_at
        self.ticked_at = now
        return gap if gap > self.least_seconds else 0.0
