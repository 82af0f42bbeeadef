"""Forward TCP connections to a target, and inject failures."""

import socket
from contextlib import suppress
from threading import Condition, Thread
from time import sleep
from typing import Self

PIECE_BYTES = 65536


def close_socket(end: socket.socket) -> None:
    """Close a socket so that a thread that waits on it wakes."""
    with suppress(OSError):
        end.shutdown(socket.SHUT_RDWR)
    end.close()


class ForwardedConnection:
    """Forward one connection; its methods may be called at any time.

    A silent connection reads and forwards no bytes, not even its end, and reports no
    error, like one that a firewall between its ends has dropped from its state table.
    After `resume`, the pending bytes are forwarded.
    """

    def __init__(
        self, caller: socket.socket, target: socket.socket, limits: "CutLimits"
    ) -> None:
        self.caller = caller
        self.target = target
        self.limits = limits
        self.silent = False
        self.closed = False
        self.delay_seconds = 0.0
        self.changed = Condition()

    def start(self) -> None:
        """Start to forward bytes."""
        caller, target, limits = self.caller, self.target, self.limits
        for direction in (
            (caller, target, limits.after_caller_bytes),
            (target, caller, limits.after_target_bytes),
        ):
            Thread(target=self.pump, args=direction, daemon=True).start()

    def silence(self) -> None:
        """Stop forwarding bytes, in both directions."""
        with self.changed:
            self.silent = True

    def resume(self) -> None:
        """Forward the pending bytes, and those that follow."""
        with self.changed:
            self.silent = False
            self.changed.notify_all()

    def cut(self) -> None:
        """Close both sides."""
        with self.changed:
            self.closed = True
            self.changed.notify_all()
        close_socket(self.caller)
        close_socket(self.target)

    def pump(
        self, source: socket.socket, sink: socket.socket, limit: int | None
    ) -> None:
        """Forward bytes in one direction until the end, or until the limit."""
        left = limit
        with suppress(OSError):
            while left is None or left > 0:
                piece = source.recv(PIECE_BYTES)
                if left is not None:
                    piece = piece[:left]
                    left -= len(piece)
                if not self.wait_until_passing() or not piece:
                    break
                sink.sendall(piece)
        if self.wait_until_passing():
            self.cut()

    def wait_until_passing(self) -> bool:
        """Wait while silent; return whether the connection is still open."""
        with self.changed:
            self.changed.wait_for(lambda: not self.silent or self.closed)
            delay, open_still = self.delay_seconds, not self.closed
        sleep(delay)
        return open_still


class CutLimits:
    """Hold the number of bytes of either side after which connections are cut."""

    def __init__(
        self,
        after_caller_bytes: int | None = None,
        after_target_bytes: int | None = None,
    ) -> None:
        self.after_caller_bytes = after_caller_bytes
        self.after_target_bytes = after_target_bytes


class Forwarder:
    """Listen on a free port and forward to `target`, an `ip:port`."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.limits = CutLimits()
        self.connections: list[ForwardedConnection] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address = "{}:{}".format(*self.listener.getsockname())
        Thread(target=self.accept_all, daemon=True).start()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def accept_all(self) -> None:
        """Forward every new connection until stopped."""
        with suppress(OSError):
            while True:
                caller, _ = self.listener.accept()
                self.forward(caller)

    def forward(self, caller: socket.socket) -> None:
        """Connect to the target for one caller."""
        try:
            target = socket.create_connection(self.target, timeout=5)
        except OSError:
            close_socket(caller)
            return
        target.settimeout(None)
        for end in (caller, target):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ForwardedConnection(caller, target, self.limits)
        # It is listed first: a test that got an answer may cut all connections at once.
        self.connections.append(connection)
        connection.start()

    def silence_existing(self) -> None:
        """Make every present connection silent; new ones work."""
        for connection in list(self.connections):
            connection.silence()

    def resume_existing(self) -> None:
        """Resume every silent connection."""
        for connection in list(self.connections):
            connection.resume()

    def cut_existing(self) -> None:
        """Close every present connection; new ones work."""
        for connection in list(self.connections):
            connection.cut()

    def delay_existing(self, seconds: float) -> None:
        """Delay each piece on every present connection."""
        for connection in list(self.connections):
            connection.delay_seconds = seconds

    def stop(self) -> None:
        """Close the listener and every connection."""
        close_socket(self.listener)
        self.cut_existing()
