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

RATIOS_KEPT = 9
LEAST_RATIOS = 5
RATIO_KEPT_SECONDS = 60.0
SMALLEST_RATIO = 0.1
LARGEST_RATIO = 100.0
RATIO_FLOOR_SECONDS = 0.1
"""Added to both times, so that fixed delays of short requests do not look slow."""


@dataclass(slots=True)
class PlacedAttempt:
    """Be one attempt that this router placed and that has not ended."""

    attempt_id: AttemptId
    upstream_id: UpstreamId
    customer: CustomerName
    prompt_class: PromptClass
    placed_at: float
    forget_at: float
    prefill_seconds: float
    prompt_tokens: int
    memory_tokens: int
    most_output_tokens: int
    predicted_first_token_seconds: float
    first_token_at: float | None = None
    counted_overdue: bool = False
    is_spread: bool = False
    """Whether other upstreams prefill parts; its time says little of this one's."""


class Ratio(NamedTuple):
    """Be one observed time over the predicted one."""

    seen_at: float
    factor: float


@dataclass(slots=True)
class SlownessEstimate:
    """Estimate how much slower an upstream is than predicted.

    The median of the last few ratios ignores a few outliers whatever their size. Until
    there are enough it claims nothing: a single late answer would otherwise keep
    further requests away, and with them the answers that would put it right. For the
    same reason ratios are dropped when they are old.
    """

    ratios: deque[Ratio] = field(default_factory=lambda: deque(maxlen=RATIOS_KEPT))
    factor: float = 1.0
    last: Ratio | None = None

    def add(
        self, observed_seconds: float, predicted_seconds: float, now: float
    ) -> None:
        """Take in one observed time beside the one that was predicted."""
        ratio = (observed_seconds + RATIO_FLOOR_SECONDS) / (
            predicted_seconds + RATIO_FLOOR_SECONDS
        )
        bounded = min(max(ratio, SMALLEST_RATIO), LARGEST_RATIO)
        self.last = Ratio(now, bounded)
        self.ratios.append(self.last)
        self.estimate()

    def drop_old(self, now: float) -> None:
        """Forget what was observed long ago."""
        if not self.ratios or self.ratios[0].seen_at + RATIO_KEPT_SECONDS > now:
            return
        while self.ratios and self.ratios[0].seen_at + RATIO_KEPT_SECONDS <= now:
            self.ratios.popleft()
        self.estimate()

    def doubt(self, config: OutlierConfig, now: float) -> float:
        """Return how slow the last answer was; one long ago says nothing.

        A slow upstream shows a long backlog, gets little for that, and so gives few
        answers: the factor, which needs several, may not notice for a minute. A long
        prompt placed there meanwhile is lost. One late answer is reason enough to place
        it elsewhere; shorter ones still go there and lift the doubt, or time does.
        """
        if self.last is None:
            return 1.0
        old = self.last.seen_at + config.most_set_aside_seconds <= now
        return 1.0 if old else self.last.factor

    def estimate(self) -> None:
        """Bring the factor up to date."""
        if len(self.ratios) < LEAST_RATIOS:
            self.factor = 1.0
            return
        self.factor = median(ratio.factor for ratio in self.ratios)


@dataclass(slots=True)
class UpstreamView:
    """Be one available upstream: its last report and our hand-overs since."""

    description: UpstreamDescription
    epoch: Epoch
    load: LoadReport
    load_at: float
    available_since: float
    attempts: dict[AttemptId, PlacedAttempt] = field(default_factory=dict)
    slowness: SlownessEstimate = field(default_factory=SlownessEstimate)
    set_aside_until: float | None = None
    times_set_aside: int = 0
    kept_from_long: bool = False
    """Whether a long prompt is too much to lose on what little is known of it."""

    def take_load(self, load: LoadReport, now: float) -> None:
        """Replace the report; one that a newer report has overtaken is ignored."""
        if load.sequence < self.load.sequence:
            return
        self.load = load
        self.load_at = now

    def unreported(self, cost: CostConfig) -> list[PlacedAttempt]:
        """Return our attempts that the last report can't have counted.

        A report describes a moment before it arrived. An attempt placed after that
        moment is added on top, or every entry would send its next request there too.
        """
        since = self.load_at - cost.report_lag_seconds
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

    def ramp(self, config: OutlierConfig, now: float) -> float:
        """Return the share of its speed that a new upstream is credited with."""
        age = now - self.available_since
        if age >= config.slow_start_seconds:
            return 1.0
        return max(config.slow_start_floor, age / config.slow_start_seconds)
