"""Simulate continuous batching with chunked prefill."""

from operator import attrgetter

from cowslipshelf_standins.internal.attempts import Attempt, AttemptState
from cowslipshelf_standins.internal.configuration import EngineConfig
from cowslipshelf_standins.internal.prefix_cache import PrefixCache

SERVING_ORDER = attrgetter("priority", "arrival")

Progress = dict[Attempt, int]
"""Output tokens of each attempt after some steps, not yet published."""


class Batch:
    """Hold the waiting and the running attempts, and the reserved memory."""

    def __init__(self, config: EngineConfig, cache: PrefixCache) -> None:
        self.config = config
        self.cache = cache
        self.waiting: list[Attempt] = []
        self.prefilling: list[Attempt] = []
        self.decoding: list[Attempt] = []
        self.reserved_tokens = 0

    def has_work(self) -> bool:
        """Return whether any attempt waits or runs."""
        return bool(self.waiting or self.prefilling or self.decoding)

    def queue_is_full_for(self, attempt: Attempt) -> bool:
        """Return whether an attempt would have to wait and the queue is full."""
        ahead = sum(other.needed_tokens for other in self.waiting)
        free = self.config.memory_tokens - self.reserved_tokens - ahead
        must_wait = attempt.needed_tokens > free
        return must_wait and len(self.waiting) >= self.config.queue_limit

    def admit(self) -> None:
        """Move waiting attempts into the batch, in serving order, while they fit.

        The first that does not fit blocks all after it; otherwise a stream of small
        ones would starve it.
        """
        self.waiting.sort(key=SERVING_ORDER)
        running = len(self.prefilling) + len(self.decoding)
        while self.waiting and running < self.config.most_running:
            free = self.config.memory_tokens - self.reserved_tokens
            if self.waiting[0].needed_tokens > free:
                return
            self.begin_prefill(self.waiting.pop(0))
            running += 1

    def begin_prefill(self, attempt: Attempt) -> None:
        """Reserve memory, and skip the tokens that are cached or imported."""
        attempt.reserved_tokens = attempt.needed_tokens
        self.reserved_tokens += attempt.reserved_tokens
        cached = self.cache.cached_tokens(attempt.prompt.block_hashes)
        imported_end = attempt.range_start + attempt.imported_tokens
        # The last token is always computed: the first output token depends on it.
        max_skipped = attempt.range_end - 1
        attempt.position = min(max(cached, imported_end), max_skipped)
        attempt.state = AttemptState.PREFILLING
        self.prefilling.append(attempt)

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt in any state, and free its memory."""
        for members in (self.waiting, self.prefilling, self.decoding):
            if attempt in members:
                members.remove(attempt)
        self.free(attempt)

    def free(self, attempt: Attempt) -> None:
        """Release an attempt's memory; a second call has no effect."""
        self.reserved_tokens -= attempt.reserved_tokens
        attempt.reserved_tokens = 0

    def run_tick(self, scale: float) -> tuple[float, Progress]:
        """Run steps until they fill a tick; return its scaled seconds and tokens.

        One wake-up covers several short steps, so that an engine with a small time
        scale uses no more CPU time than its readers. A finished prefill ends the tick,
        so that first tokens are on time.
        """
        seconds = 0.0
        progress: Progress = {}
        self.admit()
        while self.prefilling or self.decoding:
            prefilling = len(self.prefilling)
            seconds += self.run_step(progress) * scale
            first_tokens = len(self.prefilling) < prefilling
            if first_tokens or seconds >= self.config.tick_seconds:
                break
        return seconds, progress

    def run_step(self, progress: Progress) -> float:
        """Run one step; return its duration in seconds, before scaling."""
        seconds = decode_seconds(self.config, len(self.decoding))
        seconds += prefill_step(self.config, self.prefilling)
        for attempt in self.decoding:
            progress[attempt] = progress.get(attempt, attempt.generated) + 1
        prefilled = [a for a in self.prefilling if a.position >= a.prefill_end]
        for attempt in prefilled:
            progress[attempt] = attempt.generated + (
                0 if attempt.is_prefill_only else 1
            )
            self.prefilling.remove(attempt)
        self.decoding = [
            attempt
            for attempt in (*self.decoding, *prefilled)
            if not (attempt.is_prefill_only or is_done(attempt, progress[attempt]))
        ]
        return seconds


def is_done(attempt: Attempt, generated: int) -> bool:
    """Return whether an attempt has generated all its output."""
    return generated >= attempt.prompt.max_output_tokens


def prefill_seconds(config: EngineConfig, start: int, end: int) -> float:
    """Return the seconds to prefill the tokens from `start` up to `end`."""
    linear = config.prefill_seconds_per_token * (end - start)
    quadratic = config.prefill_seconds_per_token_squared * (end * end - start * start)
    return linear + quadratic


def decode_seconds(config: EngineConfig, decoders: int) -> float:
    """Return the seconds of one decode step of `decoders` attempts."""
    if not decoders:
        return 0.0
    slow_down = 1.0 + config.batch_slow_down * (decoders - 1)
    return config.decode_seconds_per_token * slow_down


def prefill_step(config: EngineConfig, prefilling: list[Attempt]) -> float:
    """Prefill one step's chunk in serving order; return its seconds."""
    budget = config.prefill_chunk_tokens
    seconds = 0.0
    for attempt in sorted(prefilling, key=SERVING_ORDER):
        end = min(attempt.prefill_end, attempt.position + budget)
        seconds += prefill_seconds(config, attempt.position, end)
        budget -= end - attempt.position
        attempt.position = end
        if not budget:
            break
    return seconds
