"""Decide how many waiting connections a gateway takes on, by how busy it is.

All requests that are read share the processor. Beyond what it can do, each one more
delays all others, until none meets its deadline.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, Self, TypeVar

Waiting = TypeVar("Waiting")


class AcceptThrottleConfig(NamedTuple):
    """Configure how much new work a gateway takes on."""

    max_turn_seconds: float = 0.02
    """Duration of a turn of the event loop above which no connection is admitted. A
    request takes some ten turns."""
    max_per_turn: int = 8
    """Most connections that are admitted in one turn: the work that they bring shows
    only in the next turns."""
    max_wait_seconds: float = 0.1
    """Time after which a connection is refused: a short burst is served late, and a
    caller that would wait longer can still try another gateway."""


class WaitingConnection(NamedTuple, Generic[Waiting]):
    """Hold a connection from which nothing was read yet."""

    connection: Waiting
    since: float


class TurnDecision(NamedTuple, Generic[Waiting]):
    """Hold the connections to admit and to refuse in one turn, the oldest first."""

    admitted: tuple[WaitingConnection[Waiting], ...]
    refused: tuple[WaitingConnection[Waiting], ...]


@dataclass(slots=True)
class AcceptThrottle(Generic[Waiting]):
    """Queue the connections from which nothing was read yet."""

    config: AcceptThrottleConfig
    waiting: deque[WaitingConnection[Waiting]] = field(default_factory=deque)
    turn_began_at: float | None = None
    """Time of the last decision, or of the connection that was queued first."""

    @classmethod
    def from_config(cls, config: AcceptThrottleConfig) -> Self:
        """Create a throttle without connections."""
        return cls(config)

    def add(self, connection: Waiting, now: float) -> None:
        """Queue a connection that was accepted."""
        if self.turn_began_at is None:
            self.turn_began_at = now
        self.waiting.append(WaitingConnection(connection, now))

    def turn_seconds(self, now: float) -> float:
        """Return how long the present turn of the event loop has lasted."""
        return 0.0 if self.turn_began_at is None else now - self.turn_began_at

    def decide(self, now: float) -> TurnDecision[Waiting]:
        """Decide in the next turn of the event loop; call it in each while any waits.

        The time since the last call is the duration of a turn.
        """
        admitted, refused = [], []
        if self.turn_seconds(now) <= self.config.max_turn_seconds:
            while self.waiting and len(admitted) < self.config.max_per_turn:
                admitted.append(self.waiting.popleft())
        oldest = now - self.config.max_wait_seconds
        while self.waiting and self.waiting[0].since < oldest:
            refused.append(self.waiting.popleft())
        self.turn_began_at = now if self.waiting else None
        return TurnDecision(tuple(admitted), tuple(refused))
