"""Estimate how slow an engine is from the pauses of one stream.

A pass that prefills a long prompt is long once, and a retransmitted packet delays one
event; a slow engine is slow in all of its passes. So the shortest of some consecutive
pauses counts.
"""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

MIN_PAUSES = 3
"""Consecutive pauses of which the shortest counts: a prefill that ends in the next pass
lengthens two."""
MIN_PASS_SHARE = 0.5
"""Share of the forecast pass under which events belong together: one of them was held
up on the way, since an engine sends one event of a stream in each pass."""
MIN_INTERVAL_SECONDS = 0.4
"""Shortest time between two estimates of one stream; some eight passes."""
HELD_UP_SECONDS = 0.01
"""Time that a caller may take for events before the next pause is not counted. It is a
fifth of the shortest pass, and a caller that reads takes far less."""
MAX_SLOWNESS = 5.0
"""Bound of one estimate: pauses that a slow engine does not explain made single ones
so high that an engine stayed marked long after them."""


class Pause(NamedTuple):
    """Hold a pause and the number of events that arrived at its end."""

    seconds: float
    events: int


@dataclass(slots=True)
class StreamSlowness:
    """Estimate the slowness of the engine that decodes one stream."""

    pass_seconds: float
    """Forecast length of a pass that only decodes."""
    last_at: float
    """Time of the last event; at first, that of the first one."""
    pauses: list[Pause] = field(default_factory=list)
    due_at: float = -math.inf
    held_up: bool = False
    """Whether the caller took the last events slowly."""

    def record_events(self, events: int, now: float) -> bool:
        """Record that events have arrived; return whether an estimate is due."""
        seconds, self.last_at = now - self.last_at, now
        if self.held_up:
            self.held_up = False
            return False
        pauses = self.pauses
        if seconds < MIN_PASS_SHARE * self.pass_seconds:
            # Without an earlier pause, its events belong to ones that were not counted.
            if pauses:
                last = pauses[-1]
                pauses[-1] = Pause(last.seconds + seconds, last.events + events)
            return False
        pauses.append(Pause(seconds, max(1, events)))
        if len(pauses) > MIN_PAUSES:
            del pauses[0]
        return len(pauses) == MIN_PAUSES and now >= self.due_at

    def record_taken(self, now: float) -> None:
        """Record that the caller has taken the last events."""
        if now - self.last_at > HELD_UP_SECONDS:
            self.held_up = True
            self.pauses.clear()

    @property
    def last_pause_began(self) -> float:
        """Return when the last pause began."""
        return self.last_at - self.pauses[-1].seconds

    def estimate(self, pass_seconds: float | None, now: float) -> float | None:
        """Return the slowness by the last pauses, given the present forecast of a pass.

        Without a forecast, since the engine prefills, the pauses show nothing.
        """
        if pass_seconds is None:
            self.pauses.clear()
            return None
        self.pass_seconds = pass_seconds
        self.due_at = now + MIN_INTERVAL_SECONDS
        shortest = min(each.seconds / each.events for each in self.pauses)
        return min(MAX_SLOWNESS, shortest / pass_seconds)
