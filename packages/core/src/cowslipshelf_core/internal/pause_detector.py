"""Detect pauses of this process, so that it does not expire live leases."""

from dataclasses import dataclass

MIN_PAUSE_SECONDS = 1.0
"""Four times the tick interval at which leases are checked. If ticks are always later
than this, leases run slower than the clock. It must be shorter than every lease by more
than the interval between two renewals: with 5 s, pauses of 3.6 and 4.7 s ended the 3 s
leases of live owners in eight of eight runs."""


@dataclass
class PauseDetector:
    """Measure how long this process was paused between ticks.

    When a process resumes after it was stopped or starved of CPU time, every lease that
    it tracks for others seems to have ended, because its first tick may run before the
    renewals that arrived meanwhile are read. Callers extend leases by the pause. Only
    the gap beyond `min_pause_seconds` counts as a pause, so the leases of dead owners
    end even where every tick is late.
    """

    min_pause_seconds: float = MIN_PAUSE_SECONDS
    """Gap between ticks that does not count as a pause, in seconds."""
    last_tick_at: float | None = None

    def tick(self, now: float) -> float:
        """Return how many seconds the process was paused; normally zero."""
        gap = 0.0 if self.last_tick_at is None else now - self.last_tick_at
        self.last_tick_at = now
        return max(0.0, gap - self.min_pause_seconds)
