"""Hold this router's view of one upstream: load, attempts and slowness."""

from collections import deque
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId, CustomerName, Epoch, UpstreamId
from cowslipshelf_core.internal.routing.settings import (
    CostConfig,
    OutlierConfig,
    PromptClass,
)
from cowslipshelf_core.upstream import LoadReport, UpstreamDescription

MAX_SAMPLES = 9
MIN_SAMPLES = 5
SAMPLE_LIFETIME_SECONDS = 60.0
MIN_RATIO = 0.1
MAX_RATIO = 100.0
RATIO_OFFSET_SECONDS = 0.1
"""Added to both times, so that fixed delays do not make short requests look slow."""


@dataclass(slots=True)
class PlacedAttempt:
    """Hold one attempt that this router placed and that has not ended."""

    attempt_id: AttemptId
    upstream_id: UpstreamId
    customer: CustomerName
    prompt_class: PromptClass
    placed_at: float
    expires_at: float
    prefill_seconds: float
    prompt_tokens: int
    memory_tokens: int
    max_output_tokens: int
    predicted_first_token_seconds: float
    first_token_at: float | None = None
    counted_overdue: bool = False
    is_spread: bool = False
    """Whether other upstreams prefill parts; its time is then no sample of slowness."""


class SlownessSample(NamedTuple):
    """Hold one ratio of an observed to a predicted time to the first token."""

    observed_at: float
    factor: float


@dataclass(slots=True)
class SlownessEstimate:
    """Estimate how much slower an upstream is than predicted.

    The median of the last few samples is robust to outliers of any size. With too few
    samples the factor is 1: a single late answer would otherwise keep further requests
    away, and with them the answers that would correct it. For the same reason old
    samples are dropped.
    """

    samples: deque[SlownessSample] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    factor: float = 1.0
    last: SlownessSample | None = None

    def add(
        self, observed_seconds: float, predicted_seconds: float, now: float
    ) -> None:
        """Add an observed time to the first token and its prediction."""
        ratio = (observed_seconds + RATIO_OFFSET_SECONDS) / (
            predicted_seconds + RATIO_OFFSET_SECONDS
        )
        bounded = min(max(ratio, MIN_RATIO), MAX_RATIO)
        self.last = SlownessSample(now, bounded)
        self.samples.append(self.last)
        self.update_factor()

    def drop_old(self, now: float) -> None:
        """Drop samples that are past their lifetime."""
        if (
            not self.samples
            or self.samples[0].observed_at + SAMPLE_LIFETIME_SECONDS > now
        ):
            return
        while (
            self.samples
            and self.samples[0].observed_at + SAMPLE_LIFETIME_SECONDS <= now
        ):
            self.samples.popleft()
        self.update_factor()

    def last_factor(self, config: OutlierConfig, now: float) -> float:
        """Return the slowness of the last answer; 1 if there is none or it is old.

        A slow upstream has a long backlog, so it gets few requests and gives few
        answers: the factor, which needs several samples, may take a minute to rise. A
        long prompt placed there meanwhile would be answered far too late, so one late
        answer is enough to avoid the upstream. Shorter prompts still go there, and
        their answers update the value; otherwise it expires.
        """
        if self.last is None:
            return 1.0
        old = self.last.observed_at + config.max_ejection_seconds <= now
        return 1.0 if old else self.last.factor

    def update_factor(self) -> None:
        """Recompute the factor from the samples."""
        if len(self.samples) < MIN_SAMPLES:
            self.factor = 1.0
            return
        self.factor = median(sample.factor for sample in self.samples)


@dataclass(slots=True)
class UpstreamView:
    """Hold one available upstream: its last report and the attempts placed there."""

    description: UpstreamDescription
    epoch: Epoch
    load: LoadReport
    load_received_at: float
    available_since: float
    attempts: dict[AttemptId, PlacedAttempt] = field(default_factory=dict)
    slowness: SlownessEstimate = field(default_factory=SlownessEstimate)
    ejected_until: float | None = None
    ejection_count: int = 0
    avoid_for_long_prompts: bool = False
    """Whether its last answer was too late to risk a long prompt on it."""

    def update_load(self, load: LoadReport, now: float) -> None:
        """Replace the load report; ignore one that is older than the current one."""
        if load.sequence < self.load.sequence:
            return
        self.load = load
        self.load_received_at = now

    def unreported(self, cost: CostConfig) -> list[PlacedAttempt]:
        """Return our attempts that the last report may not include.

        A report describes the load some time before it arrived. Attempts placed after
        that time are counted in addition; otherwise all requests until the next report
        would go to the same upstream.
        """
        since = self.load_received_at - cost.report_lag_seconds
        recent = []
        for attempt in reversed(self.attempts.values()):
            if attempt.placed_at < since:
                break
            recent.append(attempt)
        return recent

    def memory_limit(self) -> int:
        """Return the memory of the upstream in tokens; zero if it has no limit."""
        return self.load.memory_tokens or self.description.memory_tokens

    def free_memory(self, unreported: list[PlacedAttempt]) -> int:
        """Estimate the free memory in tokens; only valid with a memory limit."""
        ours = sum(attempt.memory_tokens for attempt in unreported)
        return self.memory_limit() - self.load.reserved_tokens - ours

    def slow_start_share(self, config: OutlierConfig, now: float) -> float:
        """Return the share of its speed that a new upstream is assumed to have."""
        age = now - self.available_since
        if age >= config.slow_start_seconds:
            return 1.0
        return max(config.min_slow_start_share, age / config.slow_start_seconds)
