"""Limit what a slow or broken client costs, and answer it in JSON."""

import contextlib
import socket
import time
from collections.abc import Iterator
from http import HTTPStatus

from cheroot.makefile import StreamReader, StreamWriter
from cheroot.server import HTTPConnection, HTTPRequest, HTTPServer

from cowslipshelf_operators.internal.answers import encode_error
from cowslipshelf_operators.internal.settings import ANSWER_SECONDS

STATUS_DIGITS = 3
DISCARD_SECONDS = 1.0
DISCARD_BLOCK_BYTES = 65_536
TIMED_OUT = "timed out"
"""The text by which the HTTP library distinguishes a timeout from a broken socket."""


class DeadlineSocket(socket.SocketIO):
    """Read from or write to a socket until a deadline.

    The timeout of the HTTP library restarts with each byte: a client that sends or
    reads one byte every few seconds would hold a thread for hours, and a few of them
    would block the whole server. Here a whole request shares one deadline.
    """

    def __init__(self, sock: socket.socket, mode: str) -> None:
        super().__init__(sock, mode)
        self.connection = sock
        self.deadline = float("inf")

    def readinto(self, buffer: memoryview) -> int | None:
        """Read what has arrived; raises `TimeoutError` at the deadline."""
        with self.until_deadline():
            return super().readinto(buffer)

    def write(self, data: bytes) -> int | None:
        """Write what the client accepts; raises `TimeoutError` at the deadline."""
        with self.until_deadline():
            return super().write(data)

    @contextlib.contextmanager
    def until_deadline(self) -> Iterator[None]:
        """Limit the socket's timeout to the time left until the deadline."""
        timeout = self.connection.gettimeout()
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError(TIMED_OUT)
        self.connection.settimeout(min(remaining, timeout or remaining))
        try:
            yield
        finally:
            if self.connection.fileno() >= 0:
                self.connection.settimeout(timeout)


class DeadlineReader(StreamReader):
    """Provide the HTTP library's reader over a socket with a deadline."""

    def __init__(self, sock: socket.socket, mode: str, buffer_size: int) -> None:
        self.deadline_socket = DeadlineSocket(sock, mode)
        super(StreamReader, self).__init__(self.deadline_socket, buffer_size)
        self.bytes_read = 0


class DeadlineWriter(StreamWriter):
    """Provide the HTTP library's writer over a socket with a deadline."""

    def __init__(self, sock: socket.socket, mode: str, buffer_size: int) -> None:
        self.deadline_socket = DeadlineSocket(sock, mode)
        super(StreamWriter, self).__init__(self.deadline_socket, buffer_size)
        self.bytes_written = 0


def make_file(
    sock: socket.socket, mode: str, buffer_size: int
) -> DeadlineReader | DeadlineWriter:
    """Return the reader or the writer of a connection."""
    file_class = DeadlineReader if "r" in mode else DeadlineWriter
    return file_class(sock, mode, buffer_size)


class JsonRequest(HTTPRequest):
    """Send errors in JSON for requests that never reach the application, too."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send an error answer, after which the connection closes."""
        number = HTTPStatus(int(str(status)[:STATUS_DIGITS]))
        code = number.phrase.lower().replace(" ", "_")
        body = encode_error(code, msg or number.phrase, "read request", "operator")
        head = (
            f"HTTP/1.1 {number.value} {number.phrase}\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Content-Type: application/json\r\n"
            "Connection: close\r\n\r\n"
        )
        self.close_connection = True
        self.conn.answered_early = True
        # A client that has disconnected can't be sent the error.
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode("ascii") + body)


class LimitedConnection(HTTPConnection):
    """Serve the requests of one connection, each with a time limit."""

    RequestHandlerClass = JsonRequest

    def __init__(
        self, server: HTTPServer, sock: socket.socket, _makefile: object = None
    ) -> None:
        super().__init__(server, sock, make_file)
        self.is_new = True
        self.answered_early = False

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        now = time.monotonic()
        self.rfile.deadline_socket.deadline = now + self.server.timeout
        self.wfile.deadline_socket.deadline = now + self.server.timeout + ANSWER_SECONDS
        keep_open = super().communicate()
        if self.answered_early:
            self.discard_input()
        return keep_open

    def discard_input(self) -> None:
        """Read and discard input for a moment before closing.

        Closing with unread data makes the kernel reset the connection. The client,
        still sending its oversized body, would never see why it was refused.
        """
        until = time.monotonic() + DISCARD_SECONDS
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            while (remaining := until - time.monotonic()) > 0:
                self.socket.settimeout(remaining)
                if not self.socket.recv(DISCARD_BLOCK_BYTES):
                    return
