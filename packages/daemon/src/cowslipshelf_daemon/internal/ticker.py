"""Tell actors that time has passed."""

import threading
import time
from collections.abc import Sequence

from pykka import ActorDeadError, ActorRef

from cowslipshelf_host.logs import part_logger

LOG = part_logger("ticker")

LATE_SECONDS = 0.25
"""Lateness of a tick that is logged: a quarter of the shortest silence after which a
peer counts as lost, so that a process that stood still shows in its log before it, or
another, acts on what it missed."""


class Tick:
    """Ask an actor to let its decider look at the clock."""


TICK = Tick()


class Ticker:
    """Own the thread that tells each actor a tick, until stopped."""

    def __init__(self, actors: Sequence[ActorRef], tick_seconds: float) -> None:
        self.actors = actors
        self.tick_seconds = tick_seconds
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, name="ticker", daemon=True)

    def start(self) -> None:
        """Begin to tick."""
        self.thread.start()

    def stop(self) -> None:
        """End ticking and wait until the thread has gone."""
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
        """Tell one actor, which may just be stopping."""
        try:
            actor.tell(TICK)
        except ActorDeadError:
            return
