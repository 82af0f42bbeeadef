"""Serve a sidecar's attempts to entries over HTTP."""

import logging
from socket import IPPROTO_TCP, TCP_USER_TIMEOUT, socket
from threading import Event, Thread
from typing import Any, NamedTuple, Protocol

from cheroot.server import HTTPConnection, HTTPServer

from cowslipshelf_core.identifiers import AttemptId, Epoch
from cowslipshelf_core.messages import AttemptRefused, MayHaveRun, NeverRan
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_fleet.internal.addresses import (
    HostPort,
    format_address,
    parse_address,
)
from cowslipshelf_fleet.internal.attempts_protocol import (
    MAX_BODY_BYTES,
    attempts_tagger,
)
from cowslipshelf_fleet.internal.attempts_responder import AttemptsResponder
from cowslipshelf_fleet.internal.frame_buffer import FrameBuffer
from cowslipshelf_fleet.internal.growing_pool import GrowingThreadPool

logger = logging.getLogger(__name__)

MAX_HEADER_BYTES = 16 * 1024
SHUTDOWN_TIMEOUT_SECONDS = 2.0
ACCEPT_POLL_SECONDS = 0.1
"""Longest time for which the accepting thread overlooks that it is to stop."""


class AttemptsServerConfig(NamedTuple):
    """Say where a sidecar takes attempts, and how it keeps streams alive."""

    listen_address: str
    """IP:port; port 0 takes a free one, to be read from `AttemptsServer.address`."""
    cluster_key: bytes
    heartbeat_seconds: float
    stalled_seconds: float = 10.0
    """A client that reads nothing, or sends half a request, is cut after so long."""
    spare_threads: int = 8
    max_threads: int = 600
    """Streams at a time; further connections wait."""


class AttemptsHandler(Protocol):
    """Decide about attempts; called from many threads at once."""

    def hand_over(self, hand_over: HandOver) -> AttemptRefused | FrameBuffer:
        """Take an attempt and return where its frames will be, or refuse it."""

    def frames(self, attempt_id: AttemptId) -> FrameBuffer | None:
        """Return the frames of an attempt that is not forgotten."""

    def revoke(
        self, attempt_id: AttemptId, epoch: Epoch, load_sequence: int
    ) -> NeverRan | MayHaveRun:
        """Promise that an attempt never runs, or say that it may have run."""

    def begin(self, attempt_id: AttemptId, parts: tuple[KvReference, ...]) -> None:
        """Let a reserved attempt begin; a repeated word does nothing."""

    def cancel(self, attempt_id: AttemptId) -> None:
        """Cancel an attempt, if there is one."""


class EntryConnection(HTTPConnection):
    """Let the kernel end a connection whose peer acknowledges nothing.

    An entry that vanished without closing leaves a stream whose heartbeats go into
    the kernel's buffer: by default it would hold its thread for a quarter of an hour.
    """

    def __init__(self, server: HTTPServer, sock: socket, *more: Any) -> None:
        milliseconds = int(server.timeout * 1000)
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds)
        super().__init__(server, sock, *more)


class AttemptsServer(HTTPServer):
    """Take hand-overs and stream the frames of attempts."""

    ConnectionClass = EntryConnection
    keep_alive_conn_limit = None
    expiration_interval = ACCEPT_POLL_SECONDS
    max_request_header_size = MAX_HEADER_BYTES
    max_request_body_size = MAX_BODY_BYTES
    shutdown_timeout = SHUTDOWN_TIMEOUT_SECONDS

    def __init__(self, config: AttemptsServerConfig, handler: AttemptsHandler) -> None:
        listen = parse_address(config.listen_address)
        super().__init__(tuple(listen), AttemptsResponder, server_name="cowslipshelf")
        self.config = config
        self.handler = handler
        self.tagger = attempts_tagger(config.cluster_key)
        self.timeout = config.stalled_seconds
        self.requests = GrowingThreadPool(
            self, spare_threads=config.spare_threads, max_threads=config.max_threads
        )
        self.stopping = Event()
        self.accept_thread = Thread(
            target=self.serve, name="attempts-accept", daemon=True
        )

    @classmethod
    def from_config(
        cls, config: AttemptsServerConfig, handler: AttemptsHandler
    ) -> "AttemptsServer":
        """Make a server that is not listening yet."""
        return cls(config, handler)

    @property
    def address(self) -> str:
        """Return the address that the server listens on, with its real port."""
        return format_address(HostPort(*self.bind_addr[:2]))

    def start(self) -> None:
        """Listen and serve on threads of the server; raise `OSError` if it can't."""
        self.prepare()
        self.accept_thread.start()

    def stop(self) -> None:
        """Cut the streams that are left, and end every thread of the server."""
        self.stopping.set()
        super().stop()
        self.accept_thread.join()

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log what the library reports."""
        logger.log(level, "attempts: %s", msg, exc_info=traceback)
