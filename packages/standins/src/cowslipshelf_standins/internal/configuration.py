"""Define the configuration of an engine stand-in."""

from typing import NamedTuple


class EngineConfig(NamedTuple):
    """Configure an engine's size and speed; durations are before scaling."""

    memory_tokens: int = 400_000
    prefill_seconds_per_token: float = 5e-5
    prefill_seconds_per_token_squared: float = 5e-11
    decode_seconds_per_token: float = 0.02
    batch_slow_down: float = 0.01
    """Share by which each further decoding attempt lengthens a step."""
    prefill_chunk_tokens: int = 2_048
    """Prompt tokens prefilled in a step, besides one token per decoding attempt."""
    most_running: int = 256
    queue_limit: int = 64
    cache_tokens: int = 200_000
    cache_event_delay_seconds: float = 1.0
    cache_event_loss: float = 0.02
    load_lag_seconds: float = 1.0
    load_order_seconds: float = 2.0
    retention_seconds: float = 300.0
    """Time, not scaled, for which a finished attempt's answer is kept."""
    keep_alive_seconds: float = 1.0
    """Time, not scaled, without an event after which a stream sends a comment."""
    tick_seconds: float = 0.002
    """Minimum time, not scaled, that one wake-up of the engine loop covers."""
    time_scale: float = 1.0
    """Real seconds per second of the engine."""
    checks_fencing: bool = True
    models: tuple[str, ...] = ()
    """Models loaded at the start; if empty, any model is served."""
    seed: int = 0
