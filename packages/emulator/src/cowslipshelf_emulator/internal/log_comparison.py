"""Replay logged attempts on emulated engines and compare their times.

Only the engine model is compared: each prompt is prefilled by the engines that the log
names.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

from cowslipshelf_core.gateway import EnginePart, EnginesChosen, EngineWork, PromptSize
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_emulator.internal.engine import EmulatedEngine
from cowslipshelf_emulator.internal.fleet import Delays, EmulatedFleet, Outcome
from cowslipshelf_emulator.internal.load import (
    Arrival,
    Fleet,
    LengthDistribution,
    RequestKind,
)
from cowslipshelf_emulator.internal.policies import LeastOutstanding
from cowslipshelf_host.log_entries import LogEntry, read_entries

ATTEMPT_BEGINS = "request: Attempt begins."
ATTEMPT_ENDED = "request: Attempt ended."
KIND_BOUNDS = (("short", 24_000), ("middle", 110_001), ("long", 10_000_000))
"""Kinds, each with the prompt tokens that it stays below."""
ANY_LENGTHS = LengthDistribution(1.0, 0.0, 1.0)
"""Placeholder, as the lengths come from the log."""
NEVER_SECONDS = 1e6
"""Limit that emulated callers never reach."""


class LoggedAttempt(NamedTuple):
    """Hold one attempt on engines, as its gateway logged it."""

    request: str
    at: float
    """Seconds since 1970."""
    tokens: int
    engines: tuple[UpstreamId, ...]
    first_event_seconds: float
    max_pause_seconds: float
    total_seconds: float


class KindComparison(TypedDict):
    """Hold the times of one kind in ms, each as a pair of measured and emulated."""

    attempts: int
    first_p50: tuple[float, float]
    first_p95: tuple[float, float]
    pause_p50: tuple[float, float]
    pause_p95: tuple[float, float]


def read_attempts(paths: Iterable[Path]) -> Iterator[LoggedAttempt]:
    """Read the attempts that engines answered in full; skip other lines."""
    begun: dict[str, LogEntry] = {}
    for entry in read_entries(paths):
        fields = entry.fields
        if entry.event == ATTEMPT_BEGINS and fields.get("tokens"):
            begun[fields["request"]] = entry
        elif entry.event == ATTEMPT_ENDED:
            first = begun.pop(fields["request"], None)
            if first is not None and fields.get("outcome") == "Answered":
                yield join_entries(first, fields)


def join_entries(begins: LogEntry, ended: dict) -> LoggedAttempt:
    """Build an attempt from its first and last log entry."""
    fields = begins.fields
    return LoggedAttempt(
        fields["request"],
        begins.at.timestamp(),
        fields["tokens"],
        (UpstreamId(fields["upstream"]), *map(UpstreamId, fields["helpers"])),
        ended["first"],
        ended["pause"] or 0.0,
        ended["seconds"],
    )


@dataclass
class ReplayedFleet(EmulatedFleet):
    """Emulate a fleet in which the log decides the placement of prompts."""

    attempts: dict[str, LoggedAttempt] = field(default_factory=dict)

    def arrive(self, arrival: Arrival) -> None:
        """Send a request to the engines of its logged attempt."""
        outcome = Outcome(arrival)
        self.outcomes.append(outcome)
        attempt = self.attempts[arrival.request]
        for name in attempt.engines:
            self.engines.setdefault(name, EmulatedEngine(name, self.fleet.model))
        parts = tuple(
            EnginePart(name, 0.0, 1, number == 0)
            for number, name in enumerate(attempt.engines)
        )
        work = EngineWork(arrival.request, parts, 1.0, 1.0, 1.0)
        self.dispatch(outcome, EnginesChosen(work, 0.0, 0.0))


def compare(fleet: Fleet, attempts: list[LoggedAttempt]) -> dict[str, KindComparison]:
    """Replay attempts and return their measured and emulated times by kind."""
    attempts = sorted(attempts, key=lambda attempt: attempt.at)
    arrivals = [arrival_of(fleet, one, attempts[0].at) for one in attempts]
    replay = ReplayedFleet(
        fleet,
        [LeastOutstanding((), fleet.model, None)],
        Delays(caller=0.0),
        attempts={one.request: one for one in attempts},
    )
    emulated = {one.arrival.request: one for one in replay.run(arrivals)}
    compared = {}
    for kind, _ in KIND_BOUNDS:
        own = [one for one in attempts if kind_of(one.tokens) == kind]
        if own:
            compared[kind] = compare_kind(own, [emulated[one.request] for one in own])
    return compared


def kind_of(tokens: int) -> str:
    """Return the kind of a prompt by its length."""
    return next(name for name, bound in KIND_BOUNDS if tokens < bound)


def arrival_of(fleet: Fleet, attempt: LoggedAttempt, start: float) -> Arrival:
    """Build the request of an attempt, with its output estimated from its duration."""
    kind = RequestKind(
        kind_of(attempt.tokens),
        ANY_LENGTHS,
        ANY_LENGTHS,
        NEVER_SECONDS,
        NEVER_SECONDS,
        NEVER_SECONDS,
        1.0,
        1.0,
        1.0,
    )
    steps = fleet.model.steps_per_pass
    pass_seconds = fleet.model.step_seconds * steps
    events = max(
        1,
        round((attempt.total_seconds - attempt.first_event_seconds) / pass_seconds) + 1,
    )
    size = PromptSize(attempt.tokens, events * steps)
    at = attempt.at - start
    return Arrival(attempt.request, at, kind, size, events * steps, 0)


def compare_kind(
    measured: list[LoggedAttempt], emulated: list[Outcome]
) -> KindComparison:
    """Compare the times of one kind."""
    first = [
        histogram(one.first_event_seconds for one in measured),
        histogram(o.first_event_seconds for o in emulated),
    ]
    pauses = (
        (one.max_pause_seconds for one in measured),
        (one.max_pause_seconds for one in emulated),
    )
    pause = [histogram(values) for values in pauses]
    return KindComparison(
        attempts=len(measured),
        first_p50=percentile_pair(first, 50),
        first_p95=percentile_pair(first, 95),
        pause_p50=percentile_pair(pause, 50),
        pause_p95=percentile_pair(pause, 95),
    )


def percentile_pair(
    histograms: list[HdrHistogram], percentile: float
) -> tuple[float, float]:
    """Return a percentile of both histograms, measured first."""
    measured, emulated = (one.get_value_at_percentile(percentile) for one in histograms)
    return measured, emulated


def histogram(seconds: Iterator[float]) -> HdrHistogram:
    """Record times in milliseconds."""
    recorded = HdrHistogram(1, 60_000, 3)
    for value in seconds:
        recorded.record_value(max(1, round(value * 1000)))
    return recorded
