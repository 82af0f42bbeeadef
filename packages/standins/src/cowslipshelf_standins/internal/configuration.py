"""Describe an engine stand-in."""

from typing import NamedTuple


class EngineConfig(NamedTuple):
    """Say how large and how fast an engine is; times are before scaling."""

    memory_tokens: int = 400_000
    prefill_seconds_per_token: float = 5e-5
    prefill_seconds_per_token_squared: float = 5e-11
    decode_seconds_per_token: float = 0.02
    batch_slow_down: float = 0.01
    """Part by which each further decoding attempt makes a step longer."""
    prefill_chunk_tokens: int = 2_048
    """Prompt tokens prefilled in one step, beside one token for each decoder."""
    most_running: int = 256
    queue_limit: int = 64
    cache_tokens: int = 200_000
    cache_event_delay_seconds: float = 1.0
    cache_event_loss: float = 0.02
    load_lag_seconds: float = 1.0
    load_order_seconds: float = 2.0
    retention_seconds: float = 300.0
    """Seconds, not scaled, for which a finished attempt's answer is kept."""
    keep_alive_seconds: float = 1.0
    """Seconds, not scaled, after which a quiet stream sends a comment."""
    tick_seconds: float = 0.002
    """Seconds, not scaled, that one wake-up of the scheduler covers at least."""
    time_scale: float = 1.0
    """Real seconds for one second of the engine."""
    checks_fencing: bool = True
    models: tuple[str, ...] = ()
    """Models that it serves from the start; none means any."""
    seed: int = 0
