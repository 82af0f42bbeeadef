"""Read callers' sockets with a deadline for each call as a whole.

A timeout for each read alone would let a caller that sends one byte now and then hold
a thread for ever. The time counts from the first byte of a call to its last.
"""

import io
import socket
import time

from cheroot.server import HTTPConnection

READ_BUFFER_BYTES = 16_384
LINGER_SECONDS = 1.0
MAX_LINGER_BYTES = 4_194_304
TIMED_OUT = "timed out"


class DeadlineSocketReader(io.RawIOBase):
    """Be the read side of a socket, until a deadline that moves with each call."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self.sock = sock
        self.deadline = float("inf")
        self.may_read = True

    def readable(self) -> bool:
        """Tell that this can be read."""
        return True

    def readinto(self, buffer) -> int | None:
        """Read what has arrived, or wait for it until the deadline."""
        if not self.may_read:
            return None
        left = self.deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError(TIMED_OUT)
        self.sock.settimeout(left if left < float("inf") else None)
        return self.sock.recv_into(buffer)


class CallReader(io.BufferedReader):
    """Buffer a caller's socket."""

    bytes_read = 0
    """Asked for by the server's statistics, which stay off."""

    def has_data(self) -> bool:
        """Tell whether bytes of a next call are in the buffer already."""
        self.raw.may_read = False
        try:
            return bool(self.peek(1))
        finally:
            self.raw.may_read = True


class SocketWriter:
    """Be the write side that the HTTP library needs for its interim answers."""

    bytes_written = 0

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def write(self, data: bytes) -> int:
        """Send bytes at once."""
        self.sock.sendall(data)
        return len(data)


def make_socket_file(sock: socket.socket, mode: str, _buffer_size: int = 0):
    """Make the reading or the writing side of a socket."""
    if "r" in mode:
        return CallReader(DeadlineSocketReader(sock), READ_BUFFER_BYTES)
    return SocketWriter(sock)


class CallerConnection(HTTPConnection):
    """Carry one call after another; waits between them without a thread."""

    was_registered = False

    def __init__(self, server, sock, _makefile=None) -> None:
        super().__init__(server, sock, make_socket_file)
        config = server.config
        size = config.send_buffer_bytes
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    def communicate(self) -> bool:
        """Read one call and answer it; True where the connection may carry more."""
        limit = self.server.config.request_seconds
        self.rfile.raw.deadline = time.monotonic() + limit
        return super().communicate()

    def close(self) -> None:
        """Close so that the caller can still read what it was last sent.

        Closing a socket with unread bytes resets the connection, and the reset
        overtakes the answer: a caller refused while it still sends would never see
        the refusal. So the rest is read away first, within bounds.
        """
        if self.linger:
            discard_input(self.socket)
        self.linger = False
        super().close()


def discard_input(sock: socket.socket) -> None:
    """Read and forget what a caller still sends, within bounds."""
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
