"""Decide for how long engines hold memory for a prompt that another engine works on.

Whoever holds memory can't tell whether the engine that it is for still lives. Were it
held for as long as the gateway waits for that engine, memory would lie idle for all the
time in which a silence is excused. So it is leased by the last sign of life of that
engine, and no order to hold it reaches beyond that.
"""

from dataclasses import dataclass
from typing import NamedTuple, Self

HOLD_SHARE = 0.75
"""Part of the allowed time for which memory is held at once. Should the gateway die,
engines have it back after this."""
RENEW_SHARE = 0.25
"""Pause between renewals, and between questions to the engine that uses the memory:
two of either may be lost before the memory is."""
SILENCE_SHARE = 0.8
"""Part of the allowed time that a hold may reach beyond the last sign of life. The rest
is for an order that is on its way, since engines count from its arrival."""


class MemoryLeaseConfig(NamedTuple):
    """Bound how long memory may outlast the request that used it."""

    release_seconds: float = 4.0

    @property
    def renew_seconds(self) -> float:
        """Return the pause between two renewals."""
        return RENEW_SHARE * self.release_seconds


@dataclass(slots=True)
class MemoryLease:
    """Follow the signs of life of the engine that some memory is for."""

    config: MemoryLeaseConfig
    heard_at: float

    @classmethod
    def from_config(cls, config: MemoryLeaseConfig, now: float) -> Self:
        """Begin as a request is about to be sent, for which nothing is used yet."""
        return cls(config, now)

    def record_alive(self, heard_at: float) -> None:
        """Note that the engine lived at a time."""
        self.heard_at = max(self.heard_at, heard_at)

    def hold_seconds(self, now: float) -> float:
        """Return for how long memory may be held from now on; zero if no longer."""
        release_seconds = self.config.release_seconds
        ends_at = self.heard_at + SILENCE_SHARE * release_seconds
        return max(0.0, min(HOLD_SHARE * release_seconds, ends_at - now))
