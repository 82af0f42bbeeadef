"""Report the engine's load with a delay."""

from collections import deque

import msgspec

SNAPSHOTS_PER_LAG = 16


class EngineLoad(msgspec.Struct, frozen=True):
    """Describe an engine's load at one time."""

    running: int = 0
    decoding: int = 0
    queued: int = 0
    prefill_tokens: int = 0
    reserved_tokens: int = 0
    memory_tokens: int = 0


class LaggedLoad:
    """Record loads, and return the newest one that is older than the lag."""

    def __init__(self, lag_seconds: float, first: EngineLoad) -> None:
        self.lag_seconds = lag_seconds
        self.history: deque[tuple[float, EngineLoad]] = deque([(0.0, first)])

    def record(self, load: EngineLoad, now: float) -> None:
        """Record the current load, at most `SNAPSHOTS_PER_LAG` times per lag."""
        at = self.history[-1][0]
        if len(self.history) > 1 and now - at < self.lag_seconds / SNAPSHOTS_PER_LAG:
            self.history.pop()
        else:
            at = now
        self.history.append((at, load))
        self.drop_replaced(now)

    def read(self, now: float) -> EngineLoad:
        """Return the load as it was `lag_seconds` ago."""
        self.drop_replaced(now)
        return self.history[0][1]

    def drop_replaced(self, now: float) -> None:
        """Drop the loads before the newest one that is older than the lag."""
        while len(self.history) > 1 and self.history[1][0] <= now - self.lag_seconds:
            self.history.popleft()
