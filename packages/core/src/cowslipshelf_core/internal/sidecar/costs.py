"""Learn what prompts and tokens cost an upstream, and which prefixes are cached."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from itertools import combinations
from statistics import median
from typing import NamedTuple

from cowslipshelf_core.internal.sidecar.attempt import Attempt

SAMPLES_PER_LENGTH = 3
"""Recent prefills kept for each doubling of the prompt length.

Long prompts are rare: in one common window they would be gone before the next one, and
the quadratic part with them.
"""

DECODE_SAMPLES = 32
MOST_PREFILLS_WITHOUT_CLEAN = 32
HOT_PREFIXES = 16


class PrefillSample(NamedTuple):
    """Be one observed prefill."""

    tokens: int
    seconds_per_token: float


class PrefillSlopes(NamedTuple):
    """Be the cost of a prefill: seconds per token, and per token squared."""

    linear: float = 0.0
    quadratic: float = 0.0


def fit_prefill(samples: list[PrefillSample]) -> PrefillSlopes:
    """Fit slopes to samples by medians (Theil and Sen), so that outliers don't count.

    Seconds per token grow linearly with the length if seconds grow quadratically.
    """
    if not samples:
        return PrefillSlopes()
    rises = [
        (other.seconds_per_token - one.seconds_per_token) / (other.tokens - one.tokens)
        for one, other in combinations(samples, 2)
        # Close lengths tell of noise only.
        if max(one.tokens, other.tokens) >= 2 * min(one.tokens, other.tokens)
    ]
    quadratic = max(0.0, median(rises)) if rises else 0.0
    remainders = [
        sample.seconds_per_token - quadratic * sample.tokens for sample in samples
    ]
    return PrefillSlopes(max(0.0, median(remainders)), quadratic)


@dataclass
class CostEstimator:
    """Learn slopes from the attempts that an upstream ran."""

    prefills: dict[int, deque[PrefillSample]] = field(default_factory=dict)
    decodes: deque[float] = field(default_factory=lambda: deque(maxlen=DECODE_SAMPLES))
    since_clean: int = MOST_PREFILLS_WITHOUT_CLEAN
    first_token_at: float = float("-inf")
    slopes: PrefillSlopes | None = None
    """None where samples came in since the last fit."""

    def note_first_token(self, attempt: Attempt, now: float) -> None:
        """Learn from a finished prefill.

        A prefill beside others took part of their time; only one alone tells its cost.
        On an upstream that is never so idle, the time since the last first token is the
        next best. A cached prefix hides how much was computed.
        """
        began_at = max(attempt.started_at, self.first_token_at)
        self.first_token_at = now
        self.since_clean += 1
        if attempt.found_prefix or attempt.hand_over.prompt_tokens <= 0:
            return
        if not attempt.overlapped:
            self.since_clean = 0
        elif self.since_clean < MOST_PREFILLS_WITHOUT_CLEAN:
            return
        self._add_prefill(attempt.hand_over.prompt_tokens, now - began_at)

    def _add_prefill(self, tokens: int, seconds: float) -> None:
        length = tokens.bit_length()
        samples = self.prefills.setdefault(length, deque(maxlen=SAMPLES_PER_LENGTH))
        samples.append(PrefillSample(tokens, seconds / tokens))
        self.slopes = None

    def note_decode(self, seconds: float, tokens: int) -> None:
        """Learn from a whole answer: the time after its first token."""
        if tokens > 1:
            self.decodes.append(seconds / (tokens - 1))

    def prefill_slopes(self) -> PrefillSlopes:
        """Return the slopes that fit the latest samples."""
        if self.slopes is None:
            self.slopes = fit_prefill(
                [sample for samples in self.prefills.values() for sample in samples]
            )
        return self.slopes

    def decode_seconds_per_token(self) -> float:
        """Return the median time between tokens; zero before the first answer."""
        return median(self.decodes) if self.decodes else 0.0


@dataclass
class HotPrefixes:
    """Keep the prefixes that were prefilled last, which the engine may have cached."""

    hashes: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def note(self, prefix_hash: int) -> None:
        """Count a prefix as the one used last; zero stands for none."""
        if prefix_hash == 0:
            return
        self.hashes[prefix_hash] = None
        self.hashes.move_to_end(prefix_hash)
        if len(self.hashes) > HOT_PREFIXES:
            self.hashes.popitem(last=False)

    def __contains__(self, prefix_hash: int) -> bool:
        return prefix_hash in self.hashes
