"""Notice that this process itself stood still."""

from dataclasses import dataclass

MIN_PAUSE_SECONDS = 1.0
"""Four times the time between the ticks by which leases are looked at: with ticks that
are later than that all the time, leases run slower than the clock. It has to be below
every lease by more than the time between two messages that renew it: at 5 s, pauses of
3.6 and 4.7 s ended the leases of 3 s of owners that lived, in eight of eight runs."""


@dataclass
class PauseDetector:
    """Measure how long this process stood still between ticks.

    A process that was frozen, or starved of processor time, finds on waking that every
    lease it keeps for others seems to have ended, because its first tick may come
    before the messages that waited meanwhile. Leases are prolonged by that time. What
    a tick may be late without a standstill always counts, so that the leases of the
    dead end even where every tick is late.
    """

    least_seconds: float = MIN_PAUSE_SECONDS
    """Only what is beyond so long a gap between ticks counts as a standstill."""
    ticked_at: float | None = None

    def tick(self, now: float) -> float:
        """Return the seconds for which this process stood still, mostly zero."""
        gap = 0.0 if self.ticked_at is None else now - self.ticked_at
        self.ticked_at = now
        return max(0.0, gap - self.least_seconds)
