"""Serve callers over HTTP."""

import logging
import threading
from queue import Full

from cheroot.server import HTTPServer

from cowslipshelf_callers.errors import CallerGoneError
from cowslipshelf_callers.internal.answer_writer import AnswerWriter
from cowslipshelf_callers.internal.connection import CallerConnection
from cowslipshelf_callers.internal.handler import CallersHandler
from cowslipshelf_callers.internal.http_request import (
    CallerRequestReader,
    CallResponder,
    new_request_id,
)
from cowslipshelf_callers.internal.server_config import CallersServerConfig
from cowslipshelf_callers.internal.thread_pool import CallThreadPool
from cowslipshelf_core.body_memory import UNLIMITED, HoldsBodies
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason

LOG = logging.getLogger("cowslipshelf.callers")
LISTEN_BACKLOG = 1024
EXPIRY_INTERVAL_SECONDS = 0.2
MAX_DISCARD_BYTES = 65_536


class CallerHttpConnection(CallerConnection):
    """Parse requests with `CallerRequestReader`."""

    RequestHandlerClass = CallerRequestReader


class CallersHttpServer(HTTPServer):
    """Limit all resources that callers can hold in the HTTP library's server."""

    ConnectionClass = CallerHttpConnection

    def __init__(
        self,
        config: CallersServerConfig,
        handler: CallersHandler,
        memory: HoldsBodies,
    ) -> None:
        host, _, port = config.listen_address.rpartition(":")
        super().__init__((host.strip("[]"), int(port)), CallResponder)
        self.config = config
        self.handler = handler
        self.memory = memory
        self.draining = False
        self.requests = CallThreadPool(self, config.min_threads, config.max_open_calls)
        self.request_queue_size = LISTEN_BACKLOG
        self.timeout = config.idle_seconds
        self.expiration_interval = EXPIRY_INTERVAL_SECONDS
        self.max_request_header_size = config.max_header_bytes
        self.max_request_body_size = config.max_body_bytes
        self.keep_alive_conn_limit = config.max_idle_connections

    def may_keep_connections(self) -> bool:
        """Tell whether a connection may stay open for another call."""
        return not self.draining and self.can_add_keepalive_connection

    def stop_listening(self) -> None:
        """Close the listening socket after accepting the connections in its backlog.

        A connection in the backlog may already carry a call. Closing the socket would
        reset it, and a graceful shutdown must abort no call.
        """
        listening = self.socket
        if listening is None:
            return
        # The library has no public way to stop listening and keep serving.
        manager = self._connections
        manager._selector.unregister(listening.fileno())
        listening.settimeout(0.0)
        while (waiting := manager._from_server_socket(listening)) is not None:
            self.process_conn(waiting)
        self.socket = None
        listening.close()

    def process_conn(self, conn: CallerConnection) -> None:
        """Let a new connection wait without a thread; answer one with a call."""
        if not conn.was_registered:
            conn.was_registered = True
            if self.can_add_keepalive_connection:
                self.put_conn(conn)
            else:
                # With a thread each, silent connections would take all threads.
                self.refuse_at_once(conn)
            return
        try:
            self.requests.put(conn)
        except Full:
            self.refuse_at_once(conn)

    def refuse_at_once(self, conn: CallerConnection) -> None:
        """Refuse a call above the limit without waiting for the caller."""
        refusal = Refusal(
            RefusalCode.NOT_RUN,
            RefusalReason.OVERLOADED,
            "accept",
            detail="too many open calls",
            retry_after_seconds=1.0,
        )
        writer = AnswerWriter(
            socket=conn.socket,
            peer=f"{conn.remote_addr}:{conn.remote_port}",
            request_id=new_request_id(),
            write_seconds=0.0,
            method="GET",
            allows_chunked=True,
            keep_alive=False,
        )
        try:
            writer.refusal(refusal, False)
            # Closing with unread data would reset the connection and lose the refusal.
            conn.socket.recv(MAX_DISCARD_BYTES)
        except (CallerGoneError, OSError) as error:
            LOG.info("callers: refused a call above the limit: %s", error)
        conn.close()

    def error_log(self, msg="", level=logging.INFO, traceback=False) -> None:
        """Log a message of the HTTP library."""
        LOG.log(level, "callers: %s", msg, exc_info=traceback)


class CallersServer:
    """Serve callers on one address, with one thread for each open call."""

    def __init__(self, server: CallersHttpServer) -> None:
        self.server = server
        self.thread: threading.Thread | None = None

    @classmethod
    def from_config(
        cls,
        config: CallersServerConfig,
        handler: CallersHandler,
        memory: HoldsBodies = UNLIMITED,
    ) -> "CallersServer":
        """Create the server; the address is not bound before `start`."""
        return cls(CallersHttpServer(config, handler, memory))

    def start(self) -> None:
        """Bind the address and serve in background threads.

        Raises OSError if the address cannot be bound.
        """
        self.server.prepare()
        self.thread = threading.Thread(
            target=self.server.serve, name="callers", daemon=True
        )
        self.thread.start()

    @property
    def address(self) -> str:
        """Return the bound IP:port."""
        host, port = self.server.bind_addr[:2]
        return f"{host}:{port}"

    def open_calls(self) -> int:
        """Return the number of calls that are being answered."""
        return self.server.requests.open_calls()

    def drain(self) -> None:
        """Accept no new connection and no further call on one; open calls continue."""
        self.server.draining = True
        self.server.stop_listening()

    def stop(self, grace_seconds: float) -> None:
        """Wait for open calls for at most `grace_seconds`, then abort them."""
        self.server.draining = True
        self.server.shutdown_timeout = grace_seconds
        self.server.stop()
        if self.thread is not None:
            self.thread.join()
