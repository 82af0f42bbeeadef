"""Summarize the outcomes of a load."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from cowslipshelf_cli.internal.load.outcome import Ending, Outcome

BUCKET_MAX_TOKENS = (3_000, 10_000, 30_000, 100_000, 300_000, 1_000_000)
"""Longest prompt of each bucket; one more bucket holds all longer prompts."""
PERCENTILES = (50.0, 95.0, 99.0)
SIGNIFICANT_DIGITS = 3
UNITS_PER_ONE = 1_000_000
MAX_UNITS = 100_000 * UNITS_PER_ONE
MAX_LATE_SECONDS = 0.01
"""Arrivals that were sent later than this count as late."""


class Quantiles(NamedTuple):
    """Hold quantiles of a distribution of seconds or ratios."""

    count: int
    p50: float
    p95: float
    p99: float
    most: float

    @classmethod
    def from_values(cls, values: Iterable[float]) -> "Quantiles":
        """Compute the quantiles of values with a histogram."""
        histogram = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
        for value in values:
            units = round(value * UNITS_PER_ONE)
            histogram.record_value(min(max(1, units), MAX_UNITS))
        count = histogram.get_total_count()
        if not count:
            return cls(0, 0.0, 0.0, 0.0, 0.0)
        found = histogram.get_percentile_to_value_dict(list(PERCENTILES))
        read = [found[percentile] / UNITS_PER_ONE for percentile in PERCENTILES]
        return cls(count, *read, histogram.get_max_value() / UNITS_PER_ONE)


class UnloadedTime(NamedTuple):
    """Predict the time to first token of a prompt on an idle fleet."""

    fixed_seconds: float
    seconds_per_token: float

    @classmethod
    def from_samples(
        cls, samples: Sequence[tuple[int, float]]
    ) -> "UnloadedTime | None":
        """Fit a line through (tokens, seconds) with no negative coefficient."""
        if not samples:
            return None
        count = len(samples)
        mean_tokens = sum(tokens for tokens, _ in samples) / count
        mean_seconds = sum(seconds for _, seconds in samples) / count
        variance_sum = sum((tokens - mean_tokens) ** 2 for tokens, _ in samples)
        covariance_sum = sum(
            (tokens - mean_tokens) * (seconds - mean_seconds)
            for tokens, seconds in samples
        )
        slope = max(0.0, covariance_sum / variance_sum) if variance_sum else 0.0
        fixed = mean_seconds - slope * mean_tokens
        if fixed < 0:
            return cls(0.0, mean_seconds / mean_tokens)
        return cls(fixed, slope)

    def seconds(self, tokens: int) -> float:
        """Return the predicted seconds for a prompt length."""
        return self.fixed_seconds + self.seconds_per_token * tokens


class CustomerFigures(NamedTuple):
    """Count one customer's requests by how they ended."""

    planned: int
    whole: int
    refused: int


class LoadFigures(NamedTuple):
    """Hold the figures of a load."""

    planned: int
    endings: dict[str, int]
    refusals: dict[str, int]
    """Number of refusals by code and reason."""
    breaks: dict[str, int]
    """Number of cut answers and of requests without an answer, by error."""
    late_arrivals: int
    """Requests that the tool itself sent late; if many, the figures are invalid."""
    in_time_share: float
    """Share of planned requests with a complete answer within the deadline."""
    first_token_seconds: dict[str, Quantiles]
    """For complete answers, by bucket of prompt lengths."""
    short_slowdown: Quantiles | None
    """Time to first token relative to an idle fleet; None if that is unknown."""
    customers: dict[str, CustomerFigures]


class FiguresConfig(NamedTuple):
    """Configure which prompts are short, the deadline, and times on an idle fleet."""

    short_tokens: int
    deadline_seconds: float
    unloaded: UnloadedTime | None


def summarize(outcomes: Sequence[Outcome], config: FiguresConfig) -> LoadFigures:
    """Summarize the outcomes of all planned requests."""
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
        late_arrivals=sum(each.late_seconds > MAX_LATE_SECONDS for each in outcomes),
        in_time_share=len(in_time) / len(outcomes) if outcomes else 0.0,
        first_token_seconds=quantiles_by_bucket(whole),
        short_slowdown=slowdown_of_short(whole, config),
        customers=figures_by_customer(outcomes),
    )


def count_values(values: Iterable[str]) -> dict[str, int]:
    """Count equal values, the most frequent first."""
    return dict(Counter(values).most_common())


def bucket_name(tokens: int) -> str:
    """Return the name of a prompt length's bucket."""
    index = bisect_left(BUCKET_MAX_TOKENS, tokens)
    if index == len(BUCKET_MAX_TOKENS):
        return f"over {thousands(BUCKET_MAX_TOKENS[-1])}"
    return f"to {thousands(BUCKET_MAX_TOKENS[index])}"


def thousands(tokens: int) -> str:
    """Abbreviate a number of tokens."""
    return f"{tokens // 1000}k"


def quantiles_by_bucket(whole: Sequence[Outcome]) -> dict[str, Quantiles]:
    """Summarize times to first token by bucket, the shortest prompts first."""
    times: dict[str, list[float]] = {}
    for each in sorted(whole, key=lambda outcome: outcome.arrival.prompt_tokens):
        bucket = times.setdefault(bucket_name(each.arrival.prompt_tokens), [])
        if each.first_token_seconds is not None:
            bucket.append(each.first_token_seconds)
    return {name: Quantiles.from_values(values) for name, values in times.items()}


def slowdown_of_short(
    whole: Sequence[Outcome], config: FiguresConfig
) -> Quantiles | None:
    """Compare short prompts' times with those on an idle fleet."""
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


def figures_by_customer(outcomes: Sequence[Outcome]) -> dict[str, CustomerFigures]:
    """Count outcomes by customer, in the order of names."""
    endings: dict[str, Counter[Ending]] = {}
    for each in outcomes:
        endings.setdefault(each.arrival.customer, Counter())[each.ending] += 1
    return {
        name: CustomerFigures(
            counted.total(), counted[Ending.WHOLE], counted[Ending.REFUSED]
        )
        for name, counted in sorted(endings.items())
    }
