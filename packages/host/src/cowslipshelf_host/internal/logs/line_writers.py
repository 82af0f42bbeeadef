"""Write log lines without ever stopping the thread that logs."""

import sys
import time
from collections import deque
from threading import Condition, Lock, Thread
from typing import TextIO

MAX_QUEUED_LINES = 4_000
"""Lines that wait for a slow reader: some seconds of a busy process's."""
MAX_LINES_PER_SECOND = 400
"""Lines written on average at most. A request takes three; a process serves some ten
requests a second, and a hundred when it is one of few that are left."""
BATCH_SECONDS = 0.05
"""Time for which lines are collected, so that many go out in one write."""
STOP_SECONDS = 0.5
"""Time for the last lines to go out when the process ends."""


class LineWriter:
    """Write lines to a stream, or to standard error as it is at that time."""

    def __init__(self, stream: TextIO | None = None) -> None:
        self.stream = stream
        self.lock = Lock()
        self.lost_lines = 0
        """Lines that could not be written."""

    def write_line(self, line: str) -> None:
        """Write one line, whole, and count it as lost where that fails."""
        text = line.encode("utf-8", "backslashreplace").decode("utf-8") + "\n"
        with self.lock:
            stream = self.stream or sys.stderr
            try:
                stream.write(text)
                stream.flush()
            except (OSError, ValueError):
                # The reader of the stream has gone or the disk behind it is full.
                # A log line is worth less than the request that the thread serves.
                self.lost_lines += 1

    debug = info = warning = error = critical = msg = write_line
    exception = fatal = warn = log = write_line


class QueuedLineWriter(LineWriter):
    """Write lines on a thread of its own, so many a second at most.

    A full pipe would hold up whoever writes to it; here only the queue grows, to its
    bound. Lines beyond the bounds are dropped and counted, and the count is written.
    """

    def __init__(self, stream: TextIO | None = None) -> None:
        super().__init__(stream)
        self.queue: deque[str] = deque()
        self.condition = Condition()
        self.tokens = float(MAX_LINES_PER_SECOND)
        self.refilled_at = time.monotonic()
        self.dropped_lines = 0
        self.stopping = False
        self.thread = Thread(target=self.run, name="log", daemon=True)
        self.thread.start()

    def write_line(self, line: str) -> None:
        """Queue one line, or drop it."""
        with self.condition:
            if not self.admit_line():
                self.dropped_lines += 1
                return
            self.queue.append(line)
            self.condition.notify()

    debug = info = warning = error = critical = msg = write_line
    exception = fatal = warn = log = write_line

    def admit_line(self) -> bool:
        """Spend the allowance of one line; the bounds are those of the constants."""
        now = time.monotonic()
        gained = (now - self.refilled_at) * MAX_LINES_PER_SECOND
        self.refilled_at = now
        self.tokens = min(MAX_LINES_PER_SECOND, self.tokens + gained)
        if self.tokens < 1 or len(self.queue) >= MAX_QUEUED_LINES:
            return False
        self.tokens -= 1
        return True

    def run(self) -> None:
        """Write what waits, until stopped; the work of the thread."""
        while True:
            with self.condition:
                while not self.queue and not self.stopping:
                    self.condition.wait()
                if not self.queue:
                    return
                ending = self.stopping
            if not ending:
                time.sleep(BATCH_SECONDS)
            super().write_line("\n".join(self.drain_queue()))

    def drain_queue(self) -> list[str]:
        """Take all lines that wait, and say how many were dropped before them."""
        with self.condition:
            lines = list(self.queue)
            self.queue.clear()
            dropped, self.dropped_lines = self.dropped_lines, 0
        if dropped:
            self.lost_lines += dropped
            lines.append(f'{{"event": "logs: Lines dropped.", "count": {dropped}}}')
        return lines

    def stop(self) -> None:
        """Let the last lines go out, within a short time."""
        with self.condition:
            self.stopping = True
            self.condition.notify()
        self.thread.join(STOP_SECONDS)
