"""Pass messages between processes that die, freeze and restart, by a counted time."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count

Action = Callable[[], None]

LATENCY_SECONDS = 0.01
TROUBLE_SECONDS = 0.3
"""For so long after its fault, messages are late, crossed or doubled."""
LATE_SECONDS = 8.0
COPY_SECONDS = (0.05, 6.0)
CROSSING = 3.0
CROSSED_SECONDS = 2.0
"""For so long after the trouble, what it delayed still comes to the wrong one."""


@dataclass
class Process:
    """Be one process: what arrives while it is frozen waits, and dies with it."""

    name: str
    start: int = 1
    alive: bool = True
    frozen: bool = False
    waiting: list[Action] = field(default_factory=list)

    def enter(self, action: Action) -> None:
        if self.alive:
            self.waiting.append(action) if self.frozen else action()

    def kill(self) -> None:
        self.start += 1
        self.alive = self.frozen = False
        self.waiting.clear()

    def resume(self) -> None:
        self.frozen = False
        while self.waiting and self.alive:
            self.waiting.pop(0)()


@dataclass(order=True)
class Due:
    """Be something that happens at its time."""

    at: float
    order: int
    action: Action = field(compare=False)
    message: bool = field(compare=False, default=False)


@dataclass
class Timeline:
    """Order everything that happens; equal histories every time."""

    now: float = 100.0
    queue: list[Due] = field(default_factory=list)
    numbers: count = field(default_factory=count)
    trouble: str = ""
    trouble_ends: float = 0.0

    def after(self, seconds: float, action: Action, message: bool = False) -> None:
        due = Due(self.now + seconds, next(self.numbers), action, message)
        heappush(self.queue, due)

    def timer(self, process: Process, seconds: float, action: Action) -> None:
        """Wake a process, unless it has died meanwhile."""
        start = process.start

        def wake() -> None:
            if process.start == start:
                process.enter(action)

        self.after(seconds, wake)

    def send(
        self, process: Process, action: Action, refused: Action | None = None
    ) -> None:
        """Send between our processes; without a listener the sender is told so."""

        def arrive() -> None:
            if process.alive:
                process.enter(action)
            elif refused is not None:
                self.after(LATENCY_SECONDS, refused)

        for seconds in self.travel_seconds():
            self.after(seconds, arrive, message=True)

    def travel_seconds(self) -> tuple[float, ...]:
        left = self.trouble_ends - self.now
        if left <= 0:
            return (LATENCY_SECONDS,)
        match self.trouble:
            case "late":
                return (LATENCY_SECONDS + LATE_SECONDS,)
            case "crossed":
                return (LATENCY_SECONDS + left * CROSSING,)
            case "doubled":
                return (LATENCY_SECONDS, *COPY_SECONDS)
        return (LATENCY_SECONDS,)

    def crosses(self) -> bool:
        """Tell whether answers come to the wrong request now."""
        over = self.now > self.trouble_ends + CROSSED_SECONDS
        return self.trouble == "crossed" and not over

    def begin_trouble(self, trouble: str) -> None:
        """Let messages go wrong, those on their way included."""
        self.trouble = trouble
        self.trouble_ends = self.now + TROUBLE_SECONDS
        for due in [due for due in self.queue if due.message]:
            seconds = [wait - LATENCY_SECONDS for wait in self.travel_seconds()]
            if trouble == "doubled":
                for wait in seconds[1:]:
                    self.after(wait, due.action, message=True)
            else:
                due.at += seconds[0]
        heapify(self.queue)

    def lose_messages(self) -> None:
        """Lose every message that is on its way."""
        self.queue = [due for due in self.queue if not due.message]
        heapify(self.queue)

    def run(self, until: float) -> None:
        while self.queue and self.queue[0].at <= until:
            due = heappop(self.queue)
            self.now = max(self.now, due.at)
            due.action()
        self.now = until
