"""Sum up the outcomes of a load."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from cowslipshelf_cli.internal.load.outcome import Ending, Outcome

BUCKET_ENDS = (3_000, 10_000, 30_000, 100_000, 300_000, 1_000_000)
"""Longest prompts of the buckets but the last, which has no end."""
PERCENTILES = (50.0, 95.0, 99.0)
SIGNIFICANT_DIGITS = 3
UNITS_PER_ONE = 1_000_000
LARGEST_UNITS = 100_000 * UNITS_PER_ONE
LATE_SECONDS = 0.01


class Quantiles(NamedTuple):
    """Be what is told of a distribution; seconds, or ratios."""

    count: int
    p50: float
    p95: float
    p99: float
    most: float

    @classmethod
    def from_values(cls, values: Iterable[float]) -> "Quantiles":
        """Record values in a histogram and read it."""
        histogram = HdrHistogram(1, LARGEST_UNITS, SIGNIFICANT_DIGITS)
        for value in values:
            units = round(value * UNITS_PER_ONE)
            histogram.record_value(min(max(1, units), LARGEST_UNITS))
        count = histogram.get_total_count()
        if not count:
            return cls(0, 0.0, 0.0, 0.0, 0.0)
        found = histogram.get_percentile_to_value_dict(list(PERCENTILES))
        read = [found[percentile] / UNITS_PER_ONE for percentile in PERCENTILES]
        return cls(count, *read, histogram.get_max_value() / UNITS_PER_ONE)


class UnloadedTime(NamedTuple):
    """Predict the time to first token of a prompt that is alone in the fleet."""

    fixed_seconds: float
    seconds_per_token: float

    @classmethod
    def from_samples(
        cls, samples: Sequence[tuple[int, float]]
    ) -> "UnloadedTime | None":
        """Fit a line through (tokens, seconds), neither part of it below zero."""
        if not samples:
            return None
        count = len(samples)
        mean_tokens = sum(tokens for tokens, _ in samples) / count
        mean_seconds = sum(seconds for _, seconds in samples) / count
        spread = sum((tokens - mean_tokens) ** 2 for tokens, _ in samples)
        together = sum(
            (tokens - mean_tokens) * (seconds - mean_seconds)
            for tokens, seconds in samples
        )
        slope = max(0.0, together / spread) if spread else 0.0
        fixed = mean_seconds - slope * mean_tokens
        if fixed < 0:
            return cls(0.0, mean_seconds / mean_tokens)
        return cls(fixed, slope)

    def seconds(self, tokens: int) -> float:
        """Predict for a prompt length."""
        return self.fixed_seconds + self.seconds_per_token * tokens


class CustomerFigures(NamedTuple):
    """Be what became of one customer's requests."""

    planned: int
    whole: int
    refused: int


class LoadFigures(NamedTuple):
    """Be the figures of a load."""

    planned: int
    endings: dict[str, int]
    refusals: dict[str, int]
    """By code and reason."""
    breaks: dict[str, int]
    """By what broke, for answers that were cut and requests without one."""
    late_arrivals: int
    """Requests that the tool itself sent late; many of them void the figures."""
    in_time_share: float
    """Share of planned requests that were answered whole within the deadline."""
    first_token_seconds: dict[str, Quantiles]
    """By bucket of prompt lengths, of whole answers."""
    short_slowdown: Quantiles | None
    """Time to first token over the unloaded one; None where that is not known."""
    customers: dict[str, CustomerFigures]


class FiguresConfig(NamedTuple):
    """Set what counts as short, as in time, and as unloaded."""

    short_tokens: int
    deadline_seconds: float
    unloaded: UnloadedTime | None


def summarize(outcomes: Sequence[Outcome], config: FiguresConfig) -> LoadFigures:
    """Sum up the outcomes of all planned requests."""
    whole = [each for each in outcomes if each.ending is Ending.WHOLE]
    broken = (Ending.CUT, Ending.UNREACHABLE)
    in_time = [
        each for each in whole if (each.total_seconds or 0) <= config.deadline_seconds
    ]
    return LoadFigures(
        planned=len(outcomes),
        endings=count_values(each.ending.value for each in outcomes),
        refusals=count_values(
            each.code for each in outcomes if each.ending is Ending.REFUSED
        ),
        breaks=count_values(each.code for each in outcomes if each.ending in broken),
        late_arrivals=sum(each.late_seconds > LATE_SECONDS for each in outcomes),
        in_time_share=len(in_time) / len(outcomes) if outcomes else 0.0,
        first_token_seconds=by_bucket(whole),
        short_slowdown=slowdown(whole, config),
        customers=by_customer(outcomes),
    )


def count_values(values: Iterable[str]) -> dict[str, int]:
    """Count equal values, the most frequent first."""
    return dict(Counter(values).most_common())


def bucket_name(tokens: int) -> str:
    """Name the bucket of a prompt length."""
    index = bisect_left(BUCKET_ENDS, tokens)
    if index == len(BUCKET_ENDS):
        return f"over {thousands(BUCKET_ENDS[-1])}"
    return f"to {thousands(BUCKET_ENDS[index])}"


def thousands(tokens: int) -> str:
    """Write a number of tokens shortly."""
    return f"{tokens // 1000}k"


def by_bucket(whole: Sequence[Outcome]) -> dict[str, Quantiles]:
    """Sum up times to first token by bucket, the shortest prompts first."""
    times: dict[str, list[float]] = {}
    for each in sorted(whole, key=lambda outcome: outcome.arrival.prompt_tokens):
        bucket = times.setdefault(bucket_name(each.arrival.prompt_tokens), [])
        if each.first_token_seconds is not None:
            bucket.append(each.first_token_seconds)
    return {name: Quantiles.from_values(values) for name, values in times.items()}


def slowdown(whole: Sequence[Outcome], config: FiguresConfig) -> Quantiles | None:
    """Compare short prompts' times with those of a fleet at rest."""
    unloaded = config.unloaded
    if unloaded is None:
        return None
    return Quantiles.from_values(
        each.first_token_seconds / unloaded.seconds(each.arrival.prompt_tokens)
        for each in whole
        if each.first_token_seconds is not None
        and each.arrival.prompt_tokens <= config.short_tokens
        and unloaded.seconds(each.arrival.prompt_tokens) > 0
    )


def by_customer(outcomes: Sequence[Outcome]) -> dict[str, CustomerFigures]:
    """Sum up by customer, in the order of their names."""
    endings: dict[str, Counter[Ending]] = {}
    for each in outcomes:
        endings.setdefault(each.arrival.customer, Counter())[each.ending] += 1
    return {
        name: CustomerFigures(
            counted.total(), counted[Ending.WHOLE], counted[Ending.REFUSED]
        )
        for name, counted in sorted(endings.items())
    }
