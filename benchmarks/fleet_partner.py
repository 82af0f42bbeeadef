"""Run the other side of a measurement in a process of its own."""

import json
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path


class Partner:
    """Be a process that answers each line it is sent with a line of JSON."""

    def __init__(self, process: subprocess.Popen[str]) -> None:
        self.process = process

    def ask(self, question: str) -> dict:
        """Send a line and return the answer."""
        self.process.stdin.write(question + "\n")
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())


@contextmanager
def partner(script: str, *arguments: str) -> Iterator[Partner]:
    """Start a script as partner, and end it by closing its input."""
    with subprocess.Popen(
        [sys.executable, script, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        yield Partner(process)
        process.stdin.close()


def resident_kilobytes() -> int:
    """Return the memory that this process holds, as the kernel counts it."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise RuntimeError("no VmRSS in /proc/self/status")


def answer_questions(answers: dict[str, Callable[[], dict]]) -> None:
    """Answer questions from the input until it ends; the partner's main loop."""
    for line in sys.stdin:
        sys.stdout.write(json.dumps(answers[line.strip()]()) + "\n")
        sys.stdout.flush()
