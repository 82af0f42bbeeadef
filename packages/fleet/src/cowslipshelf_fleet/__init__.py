"""Carry messages and attempts between the processes of the system."""

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
from cowslipshelf_fleet.internal.counters import MailboxCounters
from cowslipshelf_fleet.internal.frame_buffer import FrameBuffer
from cowslipshelf_fleet.internal.frame_codec import FrameDecoder, encode_frame
from cowslipshelf_fleet.internal.mailbox import Mailbox, MailboxConfig, Received

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
    "Mailbox",
    "MailboxConfig",
    "MailboxCounters",
    "Received",
    "StreamLostError",
    "encode_frame",
]
