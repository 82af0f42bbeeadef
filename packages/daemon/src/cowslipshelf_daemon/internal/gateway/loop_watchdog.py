"""End a process whose event loop runs one task forever.

Such a loop answers nobody, but its connections stay open, so callers, load balancers
and other gateways wait for it. A process that ends is restarted.
"""

import sys
import threading
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass

from cowslipshelf_host.logs import part_logger

LOG = part_logger("loop_watchdog")

CHECK_SECONDS = 1.0
MAX_TURN_CPU_SECONDS = 5.0
"""Processor time after which a turn of the loop counts as endless."""
MIN_CHECKS = 3
"""Checks in which a turn must go on. A machine that was suspended may count the pause
as processor time, and the first check after it may come before the loop."""
MAX_STACK_FRAMES = 15


@dataclass(slots=True)
class EndlessTurnDetector:
    """Detect a turn of an event loop that never ends.

    Processor time is measured instead of time: a process that is stopped, on a
    suspended machine or short of processor time uses none, however long a turn takes.
    """

    max_cpu_seconds: float = MAX_TURN_CPU_SECONDS
    turns: int = -1
    checks: int = 0
    """Checks in which the present turn has gone on."""
    cpu_seconds_at_turn: float = 0.0

    def is_endless(self, turns: int, cpu_seconds: float) -> bool:
        """Return whether the turn after `turns` has used too much processor time.

        `cpu_seconds` is the time that the loop's thread has used since it began.
        """
        if turns != self.turns:
            self.turns = turns
            self.checks = 0
            self.cpu_seconds_at_turn = cpu_seconds
            return False
        self.checks += 1
        used = cpu_seconds - self.cpu_seconds_at_turn
        return self.checks >= MIN_CHECKS and used >= self.max_cpu_seconds


class LoopWatchdog:
    """Watch the event loop of the thread that creates it, from a thread of its own."""

    def __init__(
        self,
        on_endless_turn: Callable[[], object],
        detector: EndlessTurnDetector | None = None,
    ) -> None:
        self.on_endless_turn = on_endless_turn
        self.detector = detector or EndlessTurnDetector()
        self.turns = 0
        self.loop_thread = threading.get_ident()
        self.cpu_clock = time.pthread_getcpuclockid(self.loop_thread)
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="loop-watchdog", daemon=True
        )

    def start(self) -> None:
        """Start to watch."""
        self.thread.start()

    def stop(self) -> None:
        """Stop watching; the thread ends by itself."""
        self.stopped.set()

    def record_turn(self) -> None:
        """Record, in a task of the loop, that the loop has come to it."""
        self.turns += 1

    def run(self) -> None:
        """Check the loop until stopped, or until a turn is endless."""
        while not self.stopped.wait(CHECK_SECONDS):
            cpu_seconds = time.clock_gettime(self.cpu_clock)
            if self.detector.is_endless(self.turns, cpu_seconds):
                try:
                    self.report()
                finally:
                    self.on_endless_turn()
                return

    def report(self) -> None:
        """Log where the loop's thread is."""
        frame = sys._current_frames()[self.loop_thread]  # noqa: SLF001 - no other access
        LOG.critical(
            "Event loop stuck.",
            cpu_seconds=self.detector.max_cpu_seconds,
            stack="".join(traceback.format_stack(frame, MAX_STACK_FRAMES)),
        )
