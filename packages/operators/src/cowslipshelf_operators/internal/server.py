"""Serve operators over HTTP."""

import logging
import threading
from collections.abc import Callable
from traceback import format_exc

from cheroot.server import HTTPConnection
from cheroot.wsgi import Server

from cowslipshelf_operators.errors import OperatorsError
from cowslipshelf_operators.internal.application import OperatorsApplication
from cowslipshelf_operators.internal.connections import LimitedConnection
from cowslipshelf_operators.internal.handler import OperatorsHandler
from cowslipshelf_operators.internal.settings import OperatorsServerConfig

LOGGER = logging.getLogger(__name__)
SERVER_NAME = "cowslipshelf"
QUEUE_TIMEOUT_SECONDS = 0.05
"""Time limit for the accepting thread to wait for a place in the queue."""
STOP_TIMEOUT_SECONDS = 5


class LimitedServer(Server):
    """Run an HTTP server in which idle connections hold no thread."""

    ConnectionClass = LimitedConnection

    def __init__(
        self,
        config: OperatorsServerConfig,
        application: OperatorsApplication,
        report: Callable[[str], None],
    ) -> None:
        host, _, port = config.listen_address.rpartition(":")
        super().__init__(
            (host, int(port)),
            application,
            numthreads=config.threads,
            max=config.threads,
            server_name=SERVER_NAME,
            timeout=config.request_seconds,
            shutdown_timeout=STOP_TIMEOUT_SECONDS,
            accepted_queue_size=config.max_waiting_connections,
            accepted_queue_timeout=QUEUE_TIMEOUT_SECONDS,
        )
        self.max_request_header_size = config.max_header_bytes
        self.max_request_body_size = config.max_body_bytes
        self.keep_alive_conn_limit = config.max_waiting_connections
        self.report = report

    def process_conn(self, conn: HTTPConnection) -> None:
        """Let a new connection wait for its first byte without a thread.

        Otherwise as many silent connections as there are threads would lock all other
        operators out until they time out.
        """
        if conn.is_new and self.can_add_keepalive_connection:
            conn.is_new = False
            self.put_conn(conn)
        else:
            super().process_conn(conn)

    def error_log(self, msg: str = "", level: int = 0, traceback: bool = False) -> None:
        """Report messages of the HTTP library at level WARNING and above."""
        if level >= logging.WARNING:
            detail = f"\n{format_exc()}" if traceback else ""
            self.report(f"operators server: {msg}{detail}")


class OperatorsServer:
    """Serve operators with a thread pool of its own."""

    def __init__(self, server: LimitedServer) -> None:
        self.server = server
        self.thread: threading.Thread | None = None

    @classmethod
    def from_config(
        cls,
        config: OperatorsServerConfig,
        handler: OperatorsHandler,
        report: Callable[[str], None] = LOGGER.error,
    ) -> "OperatorsServer":
        """Create a server; `report` gets the errors that are not sent to operators."""
        application = OperatorsApplication(config.key_hashes, handler, report)
        return cls(LimitedServer(config, application, report))

    def start(self) -> None:
        """Listen and serve; raises `OperatorsError` if the address can't be bound."""
        try:
            self.server.prepare()
        except OSError as error:
            host, port = self.server.bind_addr[:2]
            detail = str(error)
            raise OperatorsError("listen", f"{host}:{port}", detail) from error
        self.thread = threading.Thread(
            target=self.server.serve, name="operators-server", daemon=True
        )
        self.thread.start()

    @property
    def address(self) -> str:
        """Return the IP:port on which the started server listens."""
        host, port = self.server.bind_addr[:2]
        return f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening, and wait a few seconds for running requests."""
        self.server.stop()
        if self.thread is not None:
            self.thread.join(STOP_TIMEOUT_SECONDS)
