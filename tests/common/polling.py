"""Wait for conditions, with a timeout too long to affect a test's result."""

from collections.abc import Callable
from time import monotonic, sleep

TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.01


def wait_for(condition: Callable[[], object], seconds: float = TIMEOUT_SECONDS) -> None:
    """Return once the condition holds; fail on timeout."""
    end = monotonic() + seconds
    while not condition():
        assert monotonic() < end, "the condition never held"
        sleep(POLL_SECONDS)
