"""Keep what this router believes about one upstream."""

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
"""Added to both times, so that fixed delays of short requests do not look slow."""


@dataclass(slots=True)
class PlacedAttempt:
    """Be one attempt that this router placed and that has not ended."""

    attempt_id: AttemptId
    upstream_id: UpstreamId
    customer: CustomerName
    prompt_class: PromptClass
    placed_at: float
    expires_at: float
    prefill_seconds: float
    prompt_tokens: int
    memory_tokens: int
    most_output_tokens: int
    predicted_first_token_seconds: float
    first_token_at: float | None = None
    counted_overdue: bool = False
    is_spread: bool = False
    """Whether other upstreams prefill parts; its time says little of this one's."""


class SlownessSample(NamedTuple):
    """Be one observed time over the predicted one."""

    observed_at: float
    factor: float


@dataclass(slots=True)
class SlownessEstimate:
    """Estimate how much slower an upstream is than predicted.

    The median of the last few ratios ignores a few outliers whatever their size. Until
    there are enough it claims nothing: a single late answer would otherwise keep
    further requests away, and with them the answers that would put it right. For the
    same reason ratios are dropped when they are old.
    """

    samples: deque[SlownessSample] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    factor: float = 1.0
    last: SlownessSample | None = None

    def add(
        self, observed_seconds: float, predicted_seconds: float, now: float
    ) -> None:
        """Take in one observed time beside the one that was predicted."""
        ratio = (observed_seconds + RATIO_OFFSET_SECONDS) / (
            predicted_seconds + RATIO_OFFSET_SECONDS
        )
        bounded = min(max(ratio, MIN_RATIO), MAX_RATIO)
        self.last = SlownessSample(now, bounded)
        self.samples.append(self.last)
        self.estimate()

    def drop_old(self, now: float) -> None:
        """Forget what was observed long ago."""
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
        self.estimate()

    def last_factor(self, config: OutlierConfig, now: float) -> float:
        """Return how slow the last answer was; one long ago says nothing.

        A slow upstream shows a long backlog, gets little for that, and so gives few
        answers: the factor, which needs several, may not notice for a minute. A long
        prompt placed there meanwhile is lost. One late answer is reason enough to place
        it elsewhere; shorter ones still go there and lift the doubt, or time does.
        """
        if self.last is None:
            return 1.0
        old = self.last.observed_at + config.max_ejection_seconds <= now
        return 1.0 if old else self.last.factor

    def estimate(self) -> None:
        """Bring the factor up to date."""
        if len(self.samples) < MIN_SAMPLES:
            self.factor = 1.0
            return
        self.factor = median(ratio.factor for ratio in self.samples)


@dataclass(slots=True)
class UpstreamView:
    """Be one available upstream: its last report and our hand-overs since."""

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
    """Whether a long prompt is too much to lose on what little is known of it."""

    def update_load(self, load: LoadReport, now: float) -> None:
        """Replace the report; one that a newer report has overtaken is ignored."""
        if load.sequence < self.load.sequence:
            return
        self.load = load
        self.load_received_at = now

    def unreported(self, cost: CostConfig) -> list[PlacedAttempt]:
        """Return our attempts that the last report can't have counted.

        A report describes a moment before it arrived. An attempt placed after that
        moment is added on top, or every entry would send its next request there too.
        """
        since = self.load_received_at - cost.report_lag_seconds
        recent = []
        for attempt in reversed(self.attempts.values()):
            if attempt.placed_at < since:
                break
            recent.append(attempt)
        return recent

    def memory_limit(self) -> int:
        """Return the tokens that fit the upstream; zero where it has no such limit."""
        return self.load.memory_tokens or self.description.memory_tokens

    def free_memory(self, unreported: list[PlacedAttempt]) -> int:
        """Return the tokens believed free; meaningless without a memory limit."""
        ours = sum(attempt.memory_tokens for attempt in unreported)
        return self.memory_limit() - self.load.reserved_tokens - ours

    def slow_start_share(self, config: OutlierConfig, now: float) -> float:
        """Return the share of its speed that a new upstream is credited with."""
        age = now - self.available_since
        if age >= config.slow_start_seconds:
            return 1.0
        return max(config.min_slow_start_share, age / config.slow_start_seconds)
