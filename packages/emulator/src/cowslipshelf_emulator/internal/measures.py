"""Turn outcomes into figures for each kind of request."""

from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from cowslipshelf_emulator.internal.fleet import Outcome
from cowslipshelf_emulator.internal.load import Kind

LONGEST_MILLISECONDS = 60_000
OUTPUT_WEIGHT = 10
"""Prompt tokens that an output token counts for in an answer's size."""


class KindFigures(NamedTuple):
    """Be what the callers of one kind got; shares of its requests, times in ms."""

    requests: int
    in_time: float
    late: float
    refused: float
    left: float
    first_p50: float
    first_p95: float
    pause_p95: float


class Figures(NamedTuple):
    """Be what all callers got."""

    worth: float
    """Share of the worth that could have been earned."""
    kinds: dict[str, KindFigures]


def figures(outcomes: list[Outcome]) -> Figures:
    """Work out the figures of one play."""
    kinds = {outcome.arrival.kind.name: outcome.arrival.kind for outcome in outcomes}
    earned = owed = 0.0
    of_kind = {}
    for kind in kinds.values():
        own = [each for each in outcomes if each.arrival.kind.name == kind.name]
        kind_earned, kind_owed = credit(kind, own)
        earned += kind_earned
        owed += kind_owed
        of_kind[kind.name] = kind_figures(own)
    return Figures(earned / owed, of_kind)


def credit(kind: Kind, outcomes: list[Outcome]) -> tuple[float, float]:
    """Return the worth that was earned and that was owed; larger ones weigh more."""
    sizes = [size_of(outcome) for outcome in outcomes]
    mean = sum(sizes) / len(sizes)
    earned = owed = 0.0
    for outcome, size in zip(outcomes, sizes, strict=True):
        weight = min(4.0, 0.3 + 0.7 * size / mean)
        owed += weight * kind.worth
        if outcome.in_time:
            earned += weight * kind.worth
        elif outcome.end == "answered":
            earned += weight * kind.late_worth
    return earned, owed


def size_of(outcome: Outcome) -> int:
    """Return an answer's size as the users count it."""
    arrival = outcome.arrival
    return arrival.size.prompt_tokens + OUTPUT_WEIGHT * arrival.output_tokens


def kind_figures(outcomes: list[Outcome]) -> KindFigures:
    """Work out the figures of one kind."""
    first, pause = (HdrHistogram(1, LONGEST_MILLISECONDS, 3) for _ in range(2))
    for outcome in outcomes:
        if outcome.first is not None:
            first.record_value(max(1, round(outcome.first * 1000)))
            pause.record_value(max(1, round(outcome.longest_pause * 1000)))
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
