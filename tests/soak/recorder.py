"""Remember what callers were told and what upstreams ran, and compare the two."""

import threading
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
    """Name what may be repeated of a request."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
EVENTS = 6


class CallResult(NamedTuple):
    """Be what a caller got for one attempt."""

    attempt_id: str
    kind: Kind
    status: int
    """Zero where no answer came."""
    body: bytes
    whole: bool


@dataclass
class CallRecorder:
    """Collect from all threads of a run."""

    runs: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    told: list[CallResult] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def ran(self, attempt_id: str) -> None:
        """Note that an upstream began to work on an attempt."""
        with self.lock:
            self.runs[attempt_id] += 1

    def tell(self, told: CallResult) -> None:
        """Note what a caller got."""
        with self.lock:
            self.told.append(told)

    def break_promise(self, text: str) -> None:
        """Note a promise that was seen broken."""
        with self.lock:
            self.broken.append(text)

    def verdict(self) -> list[str]:
        """List every promise that was broken."""
        found = list(self.broken)
        for told in self.told:
            found += list(problems(told, self.runs[told.attempt_id]))
        return found


def problems(told: CallResult, runs: int):
    """List what is wrong with one attempt."""
    name = f"{told.kind} {told.attempt_id}"
    if told.kind is Kind.ONCE and runs > 1:
        yield f"{name}: ran {runs} times"
    if told.kind is Kind.ONCE and told.status in PROMISES_NOT_RUN and runs:
        yield f"{name}: answered {told.status} and ran"
    if told.status != 200 or not told.whole:
        return
    if told.kind is Kind.STREAM:
        if told.body != events_after(0):
            yield f"{name}: events {told.body!r}"
    elif told.body != told.attempt_id.encode():
        yield f"{name}: got the answer {told.body!r}"


def events_after(last: int) -> bytes:
    """Write the events of a stream behind one of them."""
    return b"".join(event(number) for number in range(last + 1, EVENTS + 1))


def event(number: int) -> bytes:
    """Write one event."""
    return b"id: %d\ndata: part %d\n\n" % (number, number)
