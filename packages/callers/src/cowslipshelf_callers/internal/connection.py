"""Read callers' sockets with one deadline for each whole call.

With only a timeout for each read, a caller that sends a byte now and then could hold a
thread forever. The time runs from the first byte of a call to its last.
"""

import io
import socket
import time

from cheroot.server import HTTPConnection

from cowslipshelf_callers.internal.answer_writer import resets_on_close

READ_BUFFER_BYTES = 16_384
LINGER_SECONDS = 1.0
MAX_LINGER_BYTES = 4_194_304
TIMED_OUT = "timed out"


class DeadlineSocketReader(io.RawIOBase):
    """Read from a socket until a deadline, which is set anew for each call."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self.sock = sock
        self.deadline = float("inf")
        self.may_read = True
        """False while `has_data` looks at the buffer alone."""

    def readable(self) -> bool:
        """Return True, since the stream supports reading."""
        return True

    def readinto(self, buffer) -> int | None:
        """Read what has arrived, or wait for data until the deadline."""
        if not self.may_read:
            return None
        left = self.deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError(TIMED_OUT)
        self.sock.settimeout(left if left < float("inf") else None)
        return self.sock.recv_into(buffer)


class CallReader(io.BufferedReader):
    """Buffer what is read from a caller's socket."""

    bytes_read = 0
    """Required by the statistics of the HTTP library, which stay off."""

    def has_data(self) -> bool:
        """Tell whether the buffer already holds data of a next call."""
        self.raw.may_read = False
        try:
            return bool(self.peek(1))
        finally:
            self.raw.may_read = True


class SocketWriter:
    """Write the interim answers of the HTTP library to a socket."""

    bytes_written = 0

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def write(self, data: bytes) -> int:
        """Send all of the data."""
        self.sock.sendall(data)
        return len(data)


def make_socket_file(sock: socket.socket, mode: str, _buffer_size: int = 0):
    """Return the reader or the writer of a socket."""
    if "r" in mode:
        return CallReader(DeadlineSocketReader(sock), READ_BUFFER_BYTES)
    return SocketWriter(sock)


class CallerConnection(HTTPConnection):
    """Serve one call after another; waiting between calls takes no thread."""

    was_registered = False
    """Whether the server has registered it to wait for its first call."""

    def __init__(self, server, sock, _makefile=None) -> None:
        super().__init__(server, sock, make_socket_file)
        config = server.config
        size = config.send_buffer_bytes
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    def communicate(self) -> bool:
        """Read and answer one call; return whether the connection may serve more."""
        limit = self.server.config.request_seconds
        self.rfile.raw.deadline = time.monotonic() + limit
        return super().communicate()

    def close(self) -> None:
        """Close so that the caller can still read the last answer.

        Closing a socket with unread data resets the connection, and the reset
        overtakes the answer: a caller refused while it still sends would never see
        the refusal. So the rest of the input is read and discarded first, within
        limits of time and size. An answer that was cut is reset instead, without the
        shutdown that would end it like a whole one.
        """
        if resets_on_close(self.socket):
            self.rfile.close()
            self.socket.close()
            return
        if self.linger:
            discard_input(self.socket)
        self.linger = False
        super().close()


def discard_input(sock: socket.socket) -> None:
    """Read and discard what a caller still sends, up to a time and size limit."""
    until = time.monotonic() + LINGER_SECONDS
    seen = 0
    try:
        sock.shutdown(socket.SHUT_WR)
        while seen < MAX_LINGER_BYTES:
            sock.settimeout(max(until - time.monotonic(), 0.001))
            got = len(sock.recv(READ_BUFFER_BYTES))
            if not got:
                return
            seen += got
    except OSError:
        return
