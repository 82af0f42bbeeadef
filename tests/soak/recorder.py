"""Record what callers received and what upstreams ran, and compare the two."""

import threading
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
    """Name a kind of request by how it may be retried."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
EVENTS = 6


class CallResult(NamedTuple):
    """Hold what a caller received for one attempt."""

    attempt_id: str
    kind: Kind
    status: int
    """Zero if no answer came."""
    body: bytes
    whole: bool


@dataclass
class CallRecorder:
    """Collect runs and results from all threads of a soak run."""

    runs: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    results: list[CallResult] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def record_run(self, attempt_id: str) -> None:
        """Record that an upstream started to run an attempt."""
        with self.lock:
            self.runs[attempt_id] += 1

    def record_result(self, result: CallResult) -> None:
        """Record what a caller received."""
        with self.lock:
            self.results.append(result)

    def record_violation(self, text: str) -> None:
        """Record a violated guarantee."""
        with self.lock:
            self.violations.append(text)

    def all_violations(self) -> list[str]:
        """List all violated guarantees."""
        found = list(self.violations)
        for result in self.results:
            found += list(problems(result, self.runs[result.attempt_id]))
        return found


def problems(result: CallResult, runs: int):
    """List the violated guarantees of one attempt."""
    name = f"{result.kind} {result.attempt_id}"
    if result.kind is Kind.ONCE and runs > 1:
        yield f"{name}: ran {runs} times"
    if result.kind is Kind.ONCE and result.status in NOT_RUN_STATUSES and runs:
        yield f"{name}: answered {result.status} and ran"
    if result.status != 200 or not result.whole:
        return
    if result.kind is Kind.STREAM:
        if result.body != events_after(0):
            yield f"{name}: events {result.body!r}"
    elif result.body != result.attempt_id.encode():
        yield f"{name}: got the answer {result.body!r}"


def events_after(last: int) -> bytes:
    """Return the events of a stream that follow event number `last`."""
    return b"".join(event(number) for number in range(last + 1, EVENTS + 1))


def event(number: int) -> bytes:
    """Return one encoded event."""
    return b"id: %d\ndata: part %d\n\n" % (number, number)
