"""Write log lines without ever stopping the thread that logs."""

import sys
from threading import Lock
from typing import TextIO


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
