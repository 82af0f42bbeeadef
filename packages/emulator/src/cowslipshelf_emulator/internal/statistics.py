"""Summarize outcomes for each kind of request."""

from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from cowslipshelf_emulator.internal.fleet import Outcome
from cowslipshelf_emulator.internal.load import RequestKind

LONGEST_MILLISECONDS = 60_000
OUTPUT_WEIGHT = 10
"""Prompt tokens that one output token counts as in an answer's size."""


class KindFigures(NamedTuple):
    """Hold the figures of one kind: shares of its requests, and times in ms."""

    requests: int
    in_time: float
    late: float
    refused: float
    left: float
    first_p50: float
    first_p95: float
    pause_p95: float


class Figures(NamedTuple):
    """Hold the figures of one simulated load."""

    value: float
    """Share of the possible value that was earned."""
    kinds: dict[str, KindFigures]


def summarize(outcomes: list[Outcome]) -> Figures:
    """Summarize the outcomes of one simulated load."""
    kinds = {outcome.arrival.kind.name: outcome.arrival.kind for outcome in outcomes}
    earned = possible = 0.0
    of_kind = {}
    for kind in kinds.values():
        own = [each for each in outcomes if each.arrival.kind.name == kind.name]
        kind_earned, kind_possible = earned_and_possible_value(kind, own)
        earned += kind_earned
        possible += kind_possible
        of_kind[kind.name] = kind_figures(own)
    return Figures(earned / possible, of_kind)


def earned_and_possible_value(
    kind: RequestKind, outcomes: list[Outcome]
) -> tuple[float, float]:
    """Return the earned and the possible value; larger answers weigh more."""
    sizes = [size_of(outcome) for outcome in outcomes]
    mean = sum(sizes) / len(sizes)
    earned = possible = 0.0
    for outcome, size in zip(outcomes, sizes, strict=True):
        weight = min(4.0, 0.3 + 0.7 * size / mean)
        possible += weight * kind.value
        if outcome.in_time:
            earned += weight * kind.value
        elif outcome.end == "answered":
            earned += weight * kind.late_value
    return earned, possible


def size_of(outcome: Outcome) -> int:
    """Return the size of an answer as users weigh it."""
    arrival = outcome.arrival
    return arrival.size.prompt_tokens + OUTPUT_WEIGHT * arrival.output_tokens


def kind_figures(outcomes: list[Outcome]) -> KindFigures:
    """Summarize the outcomes of one kind."""
    first, pause = (HdrHistogram(1, LONGEST_MILLISECONDS, 3) for _ in range(2))
    for outcome in outcomes:
        if outcome.first_event_seconds is not None:
            first.record_value(max(1, round(outcome.first_event_seconds * 1000)))
            pause.record_value(max(1, round(outcome.max_pause_seconds * 1000)))
    count = len(outcomes)
    answered = sum(each.end == "answered" for each in outcomes)
    in_time = sum(each.in_time for each in outcomes)
    return KindFigures(
        count,
        in_time / count,
        (answered - in_time) / count,
        sum(each.end == "refused" for each in outcomes) / count,
        sum(each.end == "left" for each in outcomes) / count,
        first.get_value_at_percentile(50),
        first.get_value_at_percentile(95),
        pause.get_value_at_percentile(95),
    )
