"""Send ticks to actors at a fixed interval."""

import threading
import time
from collections.abc import Sequence

from pykka import ActorDeadError, ActorRef

from cowslipshelf_host.logs import part_logger

LOG = part_logger("ticker")

LATE_SECONDS = 0.25
"""Delay from which a late tick is logged: a quarter of the shortest silence after which
a peer counts as lost. A process that was paused thus logs that before it, or a peer,
acts on the missed messages."""


class Tick:
    """Ask an actor to pass the current time to its state machine."""


TICK = Tick()


class Ticker:
    """Send a tick to each actor at an interval, from a thread of its own."""

    def __init__(self, actors: Sequence[ActorRef], tick_seconds: float) -> None:
        self.actors = actors
        self.tick_seconds = tick_seconds
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, name="ticker", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread and wait for its end."""
        self.stopped.set()
        self.thread.join()

    def run(self) -> None:
        """Tick until stopped."""
        before = time.monotonic()
        while not self.stopped.wait(self.tick_seconds):
            now = time.monotonic()
            late = now - before - self.tick_seconds
            before = now
            if late >= LATE_SECONDS:
                LOG.warning("Tick late.", seconds=round(late, 3))
            for actor in self.actors:
                self.tell(actor)

    def tell(self, actor: ActorRef) -> None:
        """Send a tick to one actor, which may have stopped."""
        try:
            actor.tell(TICK)
        except ActorDeadError:
            return
