"""Hand attempts from entries to sidecars, and stream their frames back."""

from cowslipshelf_fleet.errors import HandOverFailed, StreamLostError
from cowslipshelf_fleet.internal.attempt_stream import AttemptStream
from cowslipshelf_fleet.internal.attempts_client import (
    AttemptsClient,
    AttemptsClientConfig,
)
from cowslipshelf_fleet.internal.attempts_server import (
    AttemptsHandler,
    AttemptsServer,
    AttemptsServerConfig,
)

__all__ = [
    "AttemptStream",
    "AttemptsClient",
    "AttemptsClientConfig",
    "AttemptsHandler",
    "AttemptsServer",
    "AttemptsServerConfig",
    "HandOverFailed",
    "StreamLostError",
]
