"""Estimate the cost of prompts and tokens, and which prefixes are cached."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from itertools import combinations
from statistics import median
from typing import NamedTuple

from cowslipshelf_core.internal.sidecar.attempt import Attempt

SAMPLES_PER_LENGTH = 3
"""Recent prefills kept for each doubling of the prompt length.

Long prompts are rare. In one window for all lengths, short prompts would displace them
before the next long one arrives, and the quadratic term would be lost.
"""

MAX_DECODE_SAMPLES = 32
MAX_PREFILLS_SINCE_ISOLATED = 32
MAX_HOT_PREFIXES = 16


class PrefillSample(NamedTuple):
    """Hold the length and the speed of one observed prefill."""

    tokens: int
    seconds_per_token: float


class PrefillSlopes(NamedTuple):
    """Hold the cost of a prefill: seconds per token, and per token squared."""

    linear: float = 0.0
    quadratic: float = 0.0


def fit_prefill(samples: list[PrefillSample]) -> PrefillSlopes:
    """Fit slopes with the Theil-Sen estimator, whose medians resist outliers.

    The fit is linear, because seconds per token grow linearly with the length if
    seconds grow quadratically.
    """
    if not samples:
        return PrefillSlopes()
    pair_slopes = [
        (other.seconds_per_token - one.seconds_per_token) / (other.tokens - one.tokens)
        for one, other in combinations(samples, 2)
        # Between samples of similar length, noise dominates the slope.
        if max(one.tokens, other.tokens) >= 2 * min(one.tokens, other.tokens)
    ]
    quadratic = max(0.0, median(pair_slopes)) if pair_slopes else 0.0
    intercepts = [
        sample.seconds_per_token - quadratic * sample.tokens for sample in samples
    ]
    return PrefillSlopes(max(0.0, median(intercepts)), quadratic)


@dataclass
class CostEstimator:
    """Estimate costs from the attempts that an upstream has run."""

    prefills: dict[int, deque[PrefillSample]] = field(default_factory=dict)
    decodes: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_DECODE_SAMPLES)
    )
    prefills_since_isolated: int = MAX_PREFILLS_SINCE_ISOLATED
    first_token_at: float = float("-inf")
    slopes: PrefillSlopes | None = None
    """Result of the last fit; None if there are newer samples."""

    def record_first_token(self, attempt: Attempt, now: float) -> None:
        """Add a finished prefill to the samples if its duration shows its cost.

        Concurrent prefills slow each other down, so only an isolated one is a clean
        sample. On an upstream without isolated prefills, the time since the previous
        first token is the next best measure. A prefill with a cached prefix is skipped,
        because it is unknown how many tokens were computed.
        """
        began_at = max(attempt.started_at, self.first_token_at)
        self.first_token_at = now
        self.prefills_since_isolated += 1
        if attempt.prefix_was_hot or attempt.hand_over.prompt_tokens <= 0:
            return
        if not attempt.overlapped:
            self.prefills_since_isolated = 0
        elif self.prefills_since_isolated < MAX_PREFILLS_SINCE_ISOLATED:
            return
        self._add_prefill(attempt.hand_over.prompt_tokens, now - began_at)

    def _add_prefill(self, tokens: int, seconds: float) -> None:
        length = tokens.bit_length()
        samples = self.prefills.setdefault(length, deque(maxlen=SAMPLES_PER_LENGTH))
        samples.append(PrefillSample(tokens, seconds / tokens))
        self.slopes = None

    def record_decode(self, seconds: float, tokens: int) -> None:
        """Add a complete answer: the time after its first token, and its tokens."""
        if tokens > 1:
            self.decodes.append(seconds / (tokens - 1))

    def prefill_slopes(self) -> PrefillSlopes:
        """Return the slopes fitted to the current samples."""
        if self.slopes is None:
            self.slopes = fit_prefill(
                [sample for samples in self.prefills.values() for sample in samples]
            )
        return self.slopes

    def decode_seconds_per_token(self) -> float:
        """Return the median time between tokens; zero without samples."""
        return median(self.decodes) if self.decodes else 0.0


@dataclass
class HotPrefixes:
    """Hold the most recently prefilled prefixes, which the engine may have cached."""

    hashes: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def record(self, prefix_hash: int) -> None:
        """Mark a prefix as most recently used; zero means no prefix."""
        if prefix_hash == 0:
            return
        self.hashes[prefix_hash] = None
        self.hashes.move_to_end(prefix_hash)
        if len(self.hashes) > MAX_HOT_PREFIXES:
            self.hashes.popitem(last=False)

    def __contains__(self, prefix_hash: int) -> bool:
        return prefix_hash in self.hashes
