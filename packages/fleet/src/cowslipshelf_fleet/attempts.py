"""Provide the HTTP client and server through which attempts are handed over."""

from cowslipshelf_fleet.errors import (
    FleetError,
    FrameError,
    FrameOrderError,
    HandOverFailed,
    StreamLostError,
)
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
from cowslipshelf_fleet.internal.frame_buffer import FrameBuffer
from cowslipshelf_fleet.internal.frame_codec import FrameDecoder, encode_frame

__all__ = [
    "AttemptStream",
    "AttemptsClient",
    "AttemptsClientConfig",
    "AttemptsHandler",
    "AttemptsServer",
    "AttemptsServerConfig",
    "FleetError",
    "FrameBuffer",
    "FrameDecoder",
    "FrameError",
    "FrameOrderError",
    "HandOverFailed",
    "StreamLostError",
    "encode_frame",
]
