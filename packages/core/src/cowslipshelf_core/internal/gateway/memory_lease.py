"""Decide for how long engines reserve memory for a prompt of another engine.

An engine that reserves memory can't tell whether the engine that uses it is alive. If
memory were reserved for as long as the gateway waits for a silent engine, it would be
idle for all of that time. So the reservation is a lease that starts at the last sign of
life of the engine that uses the memory, and no renewal goes beyond its end.
"""

from dataclasses import dataclass
from typing import NamedTuple, Self

RESERVE_SHARE = 0.75
"""Share of the release time for which memory is reserved at a time. If the gateway
dies, engines have the memory back after this."""
RENEW_SHARE = 0.25
"""Interval between renewals, and between status requests to the engine that uses the
memory, as a share of the release time: two of either may be lost before the lease
ends."""
SILENCE_SHARE = 0.8
"""Share of the release time that a reservation may extend beyond the last sign of life.
The rest is for the delay of the request, since engines count from its arrival."""


class MemoryLeaseConfig(NamedTuple):
    """Configure how long memory may stay reserved after its request has ended."""

    release_seconds: float = 4.0

    @property
    def renew_seconds(self) -> float:
        """Return the interval between two renewals."""
        return RENEW_SHARE * self.release_seconds


@dataclass(slots=True)
class MemoryLease:
    """Track the signs of life of the engine that uses reserved memory."""

    config: MemoryLeaseConfig
    heard_at: float

    @classmethod
    def from_config(cls, config: MemoryLeaseConfig, now: float) -> Self:
        """Start a lease before the request that uses the memory is sent."""
        return cls(config, now)

    def record_alive(self, heard_at: float) -> None:
        """Record that the engine was alive at a time."""
        self.heard_at = max(self.heard_at, heard_at)

    def hold_seconds(self, now: float) -> float:
        """Return for how long memory may be reserved from now on, or zero."""
        release_seconds = self.config.release_seconds
        ends_at = self.heard_at + SILENCE_SHARE * release_seconds
        return max(0.0, min(RESERVE_SHARE * release_seconds, ends_at - now))
