"""Write log lines without failing the thread that logs."""

import sys
import time
from collections import deque
from threading import Condition, Lock, Thread
from typing import TextIO

MAX_QUEUED_LINES = 4_000
"""Enough for a slow reader: some seconds of a busy process's lines."""
MAX_LINES_PER_SECOND = 400
"""Average rate, with a burst of one second's lines. A request logs three lines. A
process serves some ten requests per second, and a hundred if few processes are left."""
BATCH_SECONDS = 0.05
"""Time for which lines are collected before they go out in one write."""
STOP_SECONDS = 0.5
"""Time in which the last lines can go out when the process ends."""


class LineWriter:
    """Write lines to a stream, or to the current `sys.stderr`."""

    def __init__(self, stream: TextIO | None = None) -> None:
        self.stream = stream
        self.lock = Lock()
        self.lost_lines = 0
        """Lines that were not written."""

    def write_line(self, line: str) -> None:
        """Write one whole line; if that fails, count it as lost."""
        text = line.encode("utf-8", "backslashreplace").decode("utf-8") + "\n"
        with self.lock:
            stream = self.stream or sys.stderr
            try:
                stream.write(text)
                stream.flush()
            except (OSError, ValueError):
                # The reader of the stream is gone or the disk is full. Losing a log
                # line is better than failing the request that the thread serves.
                self.lost_lines += 1

    debug = info = warning = error = critical = msg = write_line
    exception = fatal = warn = log = write_line


class QueuedLineWriter(LineWriter):
    """Write lines on a background thread, at a limited rate.

    A write to a full pipe would block the logging thread; here only a bounded queue
    grows. Lines beyond the bounds are dropped, and their number is logged.
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
        """Queue one line, or drop it if the queue is full or the rate too high."""
        with self.condition:
            if not self.admit_line():
                self.dropped_lines += 1
                return
            self.queue.append(line)
            self.condition.notify()

    debug = info = warning = error = critical = msg = write_line
    exception = fatal = warn = log = write_line

    def admit_line(self) -> bool:
        """Take a token from the bucket; return False at the rate or queue limit."""
        now = time.monotonic()
        gained = (now - self.refilled_at) * MAX_LINES_PER_SECOND
        self.refilled_at = now
        self.tokens = min(MAX_LINES_PER_SECOND, self.tokens + gained)
        if self.tokens < 1 or len(self.queue) >= MAX_QUEUED_LINES:
            return False
        self.tokens -= 1
        return True

    def run(self) -> None:
        """Write the queued lines in batches until stopped; the thread runs this."""
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
        """Take all queued lines, and add a line with the number of dropped ones."""
        with self.condition:
            lines = list(self.queue)
            self.queue.clear()
            dropped, self.dropped_lines = self.dropped_lines, 0
        if dropped:
            self.lost_lines += dropped
            lines.append(f'{{"event": "logs: Lines dropped.", "count": {dropped}}}')
        return lines

    def stop(self) -> None:
        """Let the last lines go out, within `STOP_SECONDS`."""
        with self.condition:
            self.stopping = True
            self.condition.notify()
        self.thread.join(STOP_SECONDS)
