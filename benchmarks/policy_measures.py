"""Compute the statistics of one run from the outcomes of its requests."""

from math import ceil
from typing import TypedDict

from policy_engine import idle_first_token_seconds
from policy_run import START_TIME, Progress, Scenario

WARM_UP_SHARE = 0.15
BUCKETS = (
    ("1k-8k", 0, 8_000),
    ("8k-32k", 8_000, 32_000),
    ("32k-100k", 32_000, 100_000),
    ("over 100k", 100_000, 10_000_000),
)
SHORT, LONG = BUCKETS[0][0], BUCKETS[-1][0]


class BucketStatistics(TypedDict):
    """Hold the statistics of one range of prompt lengths; times in seconds."""

    requests: int
    ttft_p50: float
    ttft_p95: float
    ttft_p99: float
    slowdown_p50: float
    slowdown_p95: float
    slowdown_p99: float
    in_time_share: float


class RunStatistics(TypedDict):
    """Hold the statistics of one run."""

    requests: int
    in_time_share: float
    refused: int
    late: int
    goodput_per_second: float
    """Value of the requests completed in time, per second of the run."""
    answered_per_second: float
    small_customers_short_p95: float
    """p95 time to first token of the seven small customers' short requests."""
    buckets: dict[str, BucketStatistics]


def quantile(values: list[float], share: float) -> float:
    """Return a quantile; NaN without values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[max(0, ceil(share * len(ordered)) - 1)]


def summarize_bucket(progress: list[Progress]) -> BucketStatistics:
    """Return the statistics of the requests in one bucket.

    A request that passed its deadline without a first token counts with its whole
    deadline, or a policy would look fast by failing. Requests refused at admission are
    left out.
    """
    times, slowdowns = [], []
    for p in progress:
        if p.first_token_at is not None:
            seconds = p.first_token_at - START_TIME - p.request.at
        elif p.refusal == "late":
            seconds = p.request.deadline_seconds
        else:
            continue
        times.append(seconds)
        slowdowns.append(seconds / idle_first_token_seconds(p.request.prompt_tokens))
    in_time = sum(p.finished_at is not None for p in progress)
    return BucketStatistics(
        requests=len(progress),
        ttft_p50=quantile(times, 0.5),
        ttft_p95=quantile(times, 0.95),
        ttft_p99=quantile(times, 0.99),
        slowdown_p50=quantile(slowdowns, 0.5),
        slowdown_p95=quantile(slowdowns, 0.95),
        slowdown_p99=quantile(slowdowns, 0.99),
        in_time_share=in_time / max(1, len(progress)),
    )


def summarize(scenario: Scenario, progress: list[Progress]) -> RunStatistics:
    """Return the statistics of one run, without its warm-up."""
    begin = WARM_UP_SHARE * scenario.seconds
    counted = [p for p in progress if p.request.at >= begin]
    answered = [p for p in counted if p.finished_at is not None]
    value = sum(
        scenario.shape.long_prompt_weight if p.request.is_long else 1.0
        for p in answered
    )
    measured_seconds = scenario.seconds - begin
    small = [
        p
        for p in counted
        if p.request.customer not in LARGE_CUSTOMERS and p.request.is_short
    ]
    return RunStatistics(
        requests=len(counted),
        in_time_share=len(answered) / max(1, len(counted)),
        refused=sum(p.refusal not in ("", "late") for p in counted),
        late=sum(p.refusal == "late" for p in counted),
        goodput_per_second=value / measured_seconds,
        answered_per_second=len(answered) / measured_seconds,
        small_customers_short_p95=summarize_bucket(small)["ttft_p95"],
        buckets={
            name: summarize_bucket(
                [p for p in counted if lower < p.request.prompt_tokens <= upper]
            )
            for name, lower, upper in BUCKETS
        },
    )


LARGE_CUSTOMERS = ("customer-0", "customer-1", "customer-2")
