"""Deliver messages in simulated time to processes that die, freeze and restart."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count

Action = Callable[[], None]

LATENCY_SECONDS = 0.01
MESSAGE_FAULT_SECONDS = 0.3
"""How long after the fault messages are delayed, reordered or duplicated."""
DELAY_SECONDS = 8.0
DUPLICATE_DELAYS_SECONDS = (0.05, 6.0)
REORDER_FACTOR = 3.0
"""Delays shrink as the fault goes on, so messages sent later arrive earlier."""
MISDELIVERY_SECONDS = 2.0
"""How long after the fault reordered answers still reach the wrong request."""


@dataclass
class Process:
    """Hold the state of one process; a frozen one queues actions, a kill drops them."""

    name: str
    start: int = 1
    """Number of this start; timers of earlier starts don't run."""
    alive: bool = True
    frozen: bool = False
    pending: list[Action] = field(default_factory=list)

    def deliver(self, action: Action) -> None:
        if self.alive:
            self.pending.append(action) if self.frozen else action()

    def kill(self) -> None:
        self.start += 1
        self.alive = self.frozen = False
        self.pending.clear()

    def resume(self) -> None:
        self.frozen = False
        while self.pending and self.alive:
            self.pending.pop(0)()


@dataclass(order=True)
class ScheduledEvent:
    """Hold an action and the simulated time at which it runs."""

    at: float
    order: int
    action: Action = field(compare=False)
    message: bool = field(compare=False, default=False)


@dataclass
class EventScheduler:
    """Run all actions in order of simulated time, the same way in every run."""

    now: float = 100.0
    queue: list[ScheduledEvent] = field(default_factory=list)
    sequence_numbers: count = field(default_factory=count)
    message_fault: str = ""
    message_fault_ends: float = 0.0

    def call_later(self, seconds: float, action: Action, message: bool = False) -> None:
        due = ScheduledEvent(
            self.now + seconds, next(self.sequence_numbers), action, message
        )
        heappush(self.queue, due)

    def set_timer(self, process: Process, seconds: float, action: Action) -> None:
        """Run an action in a process, unless it has died meanwhile."""
        start = process.start

        def wake() -> None:
            if process.start == start:
                process.deliver(action)

        self.call_later(seconds, wake)

    def send(
        self, process: Process, action: Action, refused: Action | None = None
    ) -> None:
        """Send a message to a process; if it is dead, run `refused` at the sender."""

        def arrive() -> None:
            if process.alive:
                process.deliver(action)
            elif refused is not None:
                self.call_later(LATENCY_SECONDS, refused)

        for seconds in self.delivery_delays():
            self.call_later(seconds, arrive, message=True)

    def delivery_delays(self) -> tuple[float, ...]:
        left = self.message_fault_ends - self.now
        if left <= 0:
            return (LATENCY_SECONDS,)
        match self.message_fault:
            case "late":
                return (LATENCY_SECONDS + DELAY_SECONDS,)
            case "crossed":
                return (LATENCY_SECONDS + left * REORDER_FACTOR,)
            case "doubled":
                return (LATENCY_SECONDS, *DUPLICATE_DELAYS_SECONDS)
        return (LATENCY_SECONDS,)

    def misdelivers_answers(self) -> bool:
        """Return whether answers currently reach the wrong request."""
        over = self.now > self.message_fault_ends + MISDELIVERY_SECONDS
        return self.message_fault == "crossed" and not over

    def start_message_fault(self, message_fault: str) -> None:
        """Apply a fault to messages from now on, and to those in flight."""
        self.message_fault = message_fault
        self.message_fault_ends = self.now + MESSAGE_FAULT_SECONDS
        for due in [due for due in self.queue if due.message]:
            seconds = [wait - LATENCY_SECONDS for wait in self.delivery_delays()]
            if message_fault == "doubled":
                for wait in seconds[1:]:
                    self.call_later(wait, due.action, message=True)
            else:
                due.at += seconds[0]
        heapify(self.queue)

    def lose_messages(self) -> None:
        """Drop every message in flight."""
        self.queue = [due for due in self.queue if not due.message]
        heapify(self.queue)

    def run(self, until: float) -> None:
        while self.queue and self.queue[0].at <= until:
            due = heappop(self.queue)
            self.now = max(self.now, due.at)
            due.action()
        self.now = until
