"""Run the other side of a measurement in a separate process."""

import json
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path


class HelperProcess:
    """Query a process that answers each line of input with a line of JSON."""

    def __init__(self, process: subprocess.Popen[str]) -> None:
        self.process = process

    def query(self, name: str) -> dict:
        """Send a query and return the answer."""
        self.process.stdin.write(name + "\n")
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())


@contextmanager
def helper_process(script: str, *arguments: str) -> Iterator[HelperProcess]:
    """Start a script as a helper process, and end it by closing its input."""
    with subprocess.Popen(
        [sys.executable, script, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        yield HelperProcess(process)
        process.stdin.close()


def resident_kilobytes() -> int:
    """Return the resident memory of this process."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise RuntimeError("no VmRSS in /proc/self/status")


def serve_queries(answers: dict[str, Callable[[], dict]]) -> None:
    """Answer queries from standard input until it is closed."""
    for line in sys.stdin:
        sys.stdout.write(json.dumps(answers[line.strip()]()) + "\n")
        sys.stdout.flush()
