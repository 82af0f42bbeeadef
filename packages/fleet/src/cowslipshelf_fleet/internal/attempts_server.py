"""Serve the attempts of a sidecar to entries over HTTP."""

import logging
from socket import IPPROTO_TCP, TCP_USER_TIMEOUT, socket
from threading import Event, Thread
from typing import Any, NamedTuple, Protocol

from cheroot.server import HTTPConnection, HTTPServer

from cowslipshelf_core.body_memory import UNLIMITED, HoldsBodies
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
"""Maximum delay until the accepting thread notices a stop request."""


class AttemptsServerConfig(NamedTuple):
    """Configure the address, the timeouts and the threads of the server."""

    listen_address: str
    """IP:port; port 0 picks a free port, see `AttemptsServer.address`."""
    cluster_key: bytes
    heartbeat_seconds: float
    stalled_seconds: float = 10.0
    """Time after which a client that stops reading or sending is disconnected."""
    spare_threads: int = 8
    max_threads: int = 600
    """Concurrent streams; further connections wait."""


class AttemptsHandler(Protocol):
    """Handle requests about attempts, called from many threads concurrently."""

    def hand_over(self, hand_over: HandOver) -> AttemptRefused | FrameBuffer:
        """Accept an attempt and return the buffer of its frames, or refuse it."""

    def frames(self, attempt_id: AttemptId) -> FrameBuffer | None:
        """Return the frames of an attempt that is still known."""

    def revoke(
        self, attempt_id: AttemptId, epoch: Epoch, load_sequence: int
    ) -> NeverRan | MayHaveRun:
        """Guarantee that an attempt never runs, or report that it may have run."""

    def begin(self, attempt_id: AttemptId, parts: tuple[KvReference, ...]) -> None:
        """Start a reserved attempt; repeated calls have no effect."""

    def cancel(self, attempt_id: AttemptId) -> None:
        """Cancel an attempt, if it exists."""


class EntryConnection(HTTPConnection):
    """Let the kernel close a connection whose peer acknowledges nothing.

    If an entry vanishes without closing its connection, the heartbeats of its stream
    still go into the kernel's send buffer: by default the stream would occupy its
    thread for a quarter of an hour.
    """

    def __init__(self, server: HTTPServer, sock: socket, *more: Any) -> None:
        milliseconds = int(server.timeout * 1000)
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds)
        super().__init__(server, sock, *more)


class AttemptsServer(HTTPServer):
    """Accept hand-overs and stream the frames of attempts."""

    ConnectionClass = EntryConnection
    keep_alive_conn_limit = None
    expiration_interval = ACCEPT_POLL_SECONDS
    max_request_header_size = MAX_HEADER_BYTES
    max_request_body_size = MAX_BODY_BYTES
    shutdown_timeout = SHUTDOWN_TIMEOUT_SECONDS

    def __init__(
        self,
        config: AttemptsServerConfig,
        handler: AttemptsHandler,
        memory: HoldsBodies,
    ) -> None:
        listen = parse_address(config.listen_address)
        super().__init__(tuple(listen), AttemptsResponder, server_name="cowslipshelf")
        self.config = config
        self.handler = handler
        self.memory = memory
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
        cls,
        config: AttemptsServerConfig,
        handler: AttemptsHandler,
        memory: HoldsBodies = UNLIMITED,
    ) -> "AttemptsServer":
        """Create a server that is not listening yet."""
        return cls(config, handler, memory)

    @property
    def address(self) -> str:
        """Return the address that the server listens on, with the actual port."""
        return format_address(HostPort(*self.bind_addr[:2]))

    def start(self) -> None:
        """Listen and serve in background threads; raise `OSError` if that fails."""
        self.prepare()
        self.accept_thread.start()

    def stop(self) -> None:
        """Close the open streams, and stop every thread of the server."""
        self.stopping.set()
        super().stop()
        self.accept_thread.join()

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log an error reported by the library."""
        logger.log(level, "attempts: %s", msg, exc_info=traceback)
