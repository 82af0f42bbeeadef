"""Work out what one continuous-batching step does and how long it takes."""

from operator import attrgetter

from cowslipshelf_standins.internal.attempts import Attempt
from cowslipshelf_standins.internal.configuration import EngineConfig

SERVING_ORDER = attrgetter("priority", "arrival")


def prefill_seconds(config: EngineConfig, start: int, end: int) -> float:
    """Return the seconds to prefill the tokens from `start` up to `end`."""
    linear = config.prefill_seconds_per_token * (end - start)
    quadratic = config.prefill_seconds_per_token_squared * (end * end - start * start)
    return linear + quadratic


def decode_seconds(config: EngineConfig, decoders: int) -> float:
    """Return the seconds in which each of a batch's decoders gets one token."""
    if not decoders:
        return 0.0
    slow_down = 1.0 + config.batch_slow_down * (decoders - 1)
    return config.decode_seconds_per_token * slow_down


def prefill_step(config: EngineConfig, prefilling: list[Attempt]) -> float:
    """Spend one step's prefill budget in serving order; return its seconds."""
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
