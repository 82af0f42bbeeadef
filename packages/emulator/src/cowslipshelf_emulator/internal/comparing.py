"""Play logged attempts on emulated engines, where they really ran, and compare.

Only the engines are compared: which engines read each prompt is taken from the log.
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
from cowslipshelf_emulator.internal.load import Arrival, Fleet, Kind, Lengths
from cowslipshelf_emulator.internal.policies import LeastOutstanding
from cowslipshelf_host.log_entries import LogEntry, read_entries

BEGINS = "request: Attempt begins."
ENDED = "request: Attempt ended."
BOUNDS = (("short", 24_000), ("middle", 110_001), ("long", 10_000_000))
"""Kinds by prompt tokens below a bound."""
ANY_LENGTHS = Lengths(1.0, 0.0, 1.0)
NEVER_SECONDS = 1e6


class LoggedAttempt(NamedTuple):
    """Be one attempt on engines, as its gateway logged it."""

    name: str
    at: float
    """Seconds since 1970."""
    tokens: int
    engines: tuple[UpstreamId, ...]
    first: float
    pause: float
    seconds: float


class Compared(TypedDict):
    """Be one kind's times in ms, measured and emulated."""

    attempts: int
    first_p50: tuple[float, float]
    first_p95: tuple[float, float]
    pause_p50: tuple[float, float]
    pause_p95: tuple[float, float]


def read_attempts(paths: Iterable[Path]) -> Iterator[LoggedAttempt]:
    """Read the whole answers that engines gave; other lines are passed over."""
    begun: dict[str, LogEntry] = {}
    for entry in read_entries(paths):
        fields = entry.fields
        if entry.event == BEGINS and fields.get("tokens"):
            begun[fields["request"]] = entry
        elif entry.event == ENDED:
            first = begun.pop(fields["request"], None)
            if first is not None and fields.get("outcome") == "Answered":
                yield logged(first, fields)


def logged(begins: LogEntry, ended: dict) -> LoggedAttempt:
    """Join an attempt's two lines."""
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
class Replay(EmulatedFleet):
    """Be a fleet whose placements are given."""

    logged: dict[str, LoggedAttempt] = field(default_factory=dict)

    def arrive(self, arrival: Arrival) -> None:
        """Send a request where it was sent."""
        outcome = Outcome(arrival)
        self.outcomes.append(outcome)
        attempt = self.logged[arrival.request]
        for name in attempt.engines:
            self.engines.setdefault(name, EmulatedEngine(name, self.fleet.model))
        parts = tuple(
            EnginePart(name, 0.0, 1, number == 0)
            for number, name in enumerate(attempt.engines)
        )
        work = EngineWork(arrival.request, parts, 1.0, 1.0, 1.0)
        self.send(outcome, EnginesChosen(work, 0.0, 0.0))


def compare(fleet: Fleet, attempts: list[LoggedAttempt]) -> dict[str, Compared]:
    """Play the attempts and put the times beside those measured."""
    attempts = sorted(attempts, key=lambda attempt: attempt.at)
    arrivals = [arrival_of(fleet, one, attempts[0].at) for one in attempts]
    replay = Replay(
        fleet,
        [LeastOutstanding((), fleet.model, None)],
        Delays(caller=0.0),
        logged={one.name: one for one in attempts},
    )
    played = {one.arrival.request: one for one in replay.play(arrivals)}
    compared = {}
    for kind, _ in BOUNDS:
        own = [one for one in attempts if kind_of(one.tokens) == kind]
        if own:
            compared[kind] = compare_kind(own, [played[one.name] for one in own])
    return compared


def kind_of(tokens: int) -> str:
    """Name the kind of a prompt by its length."""
    return next(name for name, bound in BOUNDS if tokens < bound)


def arrival_of(fleet: Fleet, attempt: LoggedAttempt, start: float) -> Arrival:
    """Make a request of an attempt; its answer's length is guessed from its time."""
    kind = Kind(
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
    events = max(1, round((attempt.seconds - attempt.first) / pass_seconds) + 1)
    size = PromptSize(attempt.tokens, events * steps)
    at = attempt.at - start
    return Arrival(attempt.name, at, kind, size, events * steps, 0)


def compare_kind(measured: list[LoggedAttempt], played: list[Outcome]) -> Compared:
    """Put the times of one kind side by side."""
    first = [
        histogram(one.first for one in measured),
        histogram(o.first for o in played),
    ]
    pauses = (one.pause for one in measured), (one.longest_pause for one in played)
    pause = [histogram(values) for values in pauses]
    return Compared(
        attempts=len(measured),
        first_p50=both(first, 50),
        first_p95=both(first, 95),
        pause_p50=both(pause, 50),
        pause_p95=both(pause, 95),
    )


def both(histograms: list[HdrHistogram], percentile: float) -> tuple[float, float]:
    """Return a percentile of both, measured first."""
    measured, played = (one.get_value_at_percentile(percentile) for one in histograms)
    return measured, played


def histogram(seconds: Iterator[float]) -> HdrHistogram:
    """Record times in milliseconds."""
    recorded = HdrHistogram(1, 60_000, 3)
    for value in seconds:
        recorded.record_value(max(1, round(value * 1000)))
    return recorded
