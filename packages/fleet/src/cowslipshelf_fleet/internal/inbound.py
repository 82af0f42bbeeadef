"""Receive the messages of other mailboxes, within a limit on all that have begun.

The messaging library limits a message, but neither their sum nor the connections, and
anybody can connect. So this side of its protocol is served here: after a greeting of
eight bytes each way, every message is preceded by its length in eight bytes. See the
SP mapping for TCP of the nanomsg project (RFC "sp-tcp-mapping-01").
"""

import logging
import selectors
import socket
from collections.abc import Callable
from threading import Event
from time import monotonic
from typing import NamedTuple

from cowslipshelf_core.gateway import (
    Holding,
    MemoryBudget,
    MemoryBudgetConfig,
    MemoryPurpose,
)
from cowslipshelf_fleet.internal.addresses import (
    HostPort,
    format_address,
    parse_address,
)

logger = logging.getLogger(__name__)

GREETING = b"\0SP\0\0\x51\0\0"
"""Says that this side pulls messages."""
PEER_GREETING = b"\0SP\0\0\x50\0\0"
LENGTH_BYTES = 8
READ_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 16_384
"""Bytes that the kernel may receive on a connection before they are read."""
BACKLOG = 512
MAX_CONNECTIONS = 1024
"""More than the largest fleet has instances."""
CONNECTION_BYTES = 2_048
SMALL_MESSAGE_BYTES = 16_384
RETRY_SECONDS = 0.05
"""Interval at which connections that wait for memory try again."""
KEEPALIVE_SECONDS = 5
KEEPALIVE_PROBES = 3


class InboundConfig(NamedTuple):
    """Configure the address and the limits of what is received."""

    listen_address: str
    """IP:port; port 0 picks a free port."""
    max_message_bytes: int
    max_begun_bytes: int
    """Limit on the bytes of all messages that have begun."""


class InboundConnection:
    """Hold what has come of the next message on one connection."""

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.sock = sock
        self.received = bytearray()
        self.greeted = False
        self.trusted = False
        """Whether a valid message has come on it."""
        self.heard_at = now
        self.holding = Holding()

    @property
    def needed_bytes(self) -> int:
        """Return how long the greeting or the message is that has begun."""
        if not self.greeted:
            return len(PEER_GREETING)
        if len(self.received) < LENGTH_BYTES:
            return LENGTH_BYTES
        return LENGTH_BYTES + int.from_bytes(self.received[:LENGTH_BYTES])

    @property
    def is_whole(self) -> bool:
        """Return whether what has begun is complete."""
        if self.greeted and len(self.received) < LENGTH_BYTES:
            return False
        return len(self.received) >= self.needed_bytes

    def take(self) -> bytes:
        """Return what is complete, without its length, and remove it."""
        size = self.needed_bytes
        data = bytes(self.received[LENGTH_BYTES if self.greeted else 0 : size])
        del self.received[:size]
        return data


class InboundMessages:
    """Accept connections and receive whole messages, all on one thread."""

    def __init__(
        self,
        config: InboundConfig,
        receive: Callable[[bytes], bool],
        reject_oversized: Callable[[], None],
    ) -> None:
        self.config = config
        self.receive = receive
        """Handles the bytes of a message; returns whether they were valid."""
        self.reject_oversized = reject_oversized
        self.budget = MemoryBudget.from_config(
            MemoryBudgetConfig(config.max_begun_bytes)
        )
        self.connections: set[InboundConnection] = set()
        self.paused: set[InboundConnection] = set()
        """Connections that are not read until there is memory for their messages."""
        self.resumed_at = 0.0
        self.stopping = Event()
        self.selector: selectors.BaseSelector | None = None
        self.listener: socket.socket | None = None
        self.waker: socket.socket | None = None
        self.woken: socket.socket | None = None

    def listen(self) -> str:
        """Bind the address and return it; raise `OSError` if it is taken."""
        address = parse_address(self.config.listen_address)
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # Accepted connections inherit it.
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            listener.bind(tuple(address))
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        listener.setblocking(False)
        self.listener = listener
        self.selector = selectors.DefaultSelector()
        self.waker, self.woken = socket.socketpair()
        return format_address(HostPort(*listener.getsockname()[:2]))

    def run(self) -> None:
        """Receive until stopped."""
        self.selector.register(self.listener, selectors.EVENT_READ, self.accept)
        self.selector.register(self.woken, selectors.EVENT_READ, None)
        while not self.stopping.is_set():
            timeout = RETRY_SECONDS if self.paused else None
            for key, _ in self.selector.select(timeout):
                if isinstance(key.data, InboundConnection):
                    self.read(key.data)
                elif key.data is not None:
                    key.data()
            self.resume_paused(monotonic())
        for connection in list(self.connections):
            self.close(connection)
        self.selector.close()
        self.listener.close()
        self.woken.close()

    def stop(self) -> None:
        """Make `run` return; may be called from any thread."""
        self.stopping.set()
        if self.waker is not None:
            self.waker.close()

    def accept(self) -> None:
        """Accept a connection, in place of another one if there are too many."""
        try:
            sock, _ = self.listener.accept()
        except OSError as error:
            logger.info("mailbox: connection not accepted: %s", error)
            return
        now = monotonic()
        connection = InboundConnection(sock, now)
        if len(self.connections) >= MAX_CONNECTIONS:
            self.close(min(self.connections, key=usefulness))
        if not self.hold(connection, CONNECTION_BYTES, now):
            sock.close()
            return
        sock.setblocking(False)
        set_keepalive(sock)
        self.connections.add(connection)
        self.selector.register(sock, selectors.EVENT_READ, connection)

    def read(self, connection: InboundConnection) -> None:
        """Read what has come on a connection, and handle what is complete."""
        if connection not in self.connections:
            return
        now = monotonic()
        try:
            data = connection.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close(connection)
            return
        connection.received += data
        connection.heard_at = now
        connection.holding.moved_bytes += len(data)
        while connection.is_whole:
            if not self.handle(connection, connection.take()):
                self.close(connection)
                return
            connection.holding.stop_awaiting()
        self.hold_next(connection, now)

    def handle(self, connection: InboundConnection, data: bytes) -> bool:
        """Handle a greeting or a message; return whether it was valid."""
        if connection.greeted:
            connection.trusted = self.receive(data)
            return connection.trusted
        connection.greeted = data == PEER_GREETING
        try:
            return connection.greeted and connection.sock.send(GREETING) > 0
        except OSError:
            return False

    def hold_next(self, connection: InboundConnection, now: float) -> None:
        """Hold memory for the message that has begun; read no more without it."""
        needed = connection.needed_bytes if connection.received else 0
        if connection.greeted and needed > LENGTH_BYTES + self.config.max_message_bytes:
            self.reject_oversized()
            self.close(connection)
            return
        if connection.received and not connection.holding.is_awaiting:
            connection.holding.await_client(now)
        if not self.hold(connection, CONNECTION_BYTES + needed, now):
            connection.holding.stop_awaiting()
            self.selector.unregister(connection.sock)
            self.paused.add(connection)

    def resume_paused(self, now: float) -> None:
        """Look from time to time whether there is memory for those that wait."""
        if now < self.resumed_at + RETRY_SECONDS:
            return
        self.resumed_at = now
        for connection in list(self.paused):
            self.resume(connection, now)

    def resume(self, connection: InboundConnection, now: float) -> None:
        """Read a connection again if there is memory for its message now."""
        if self.hold(connection, CONNECTION_BYTES + connection.needed_bytes, now):
            self.paused.discard(connection)
            connection.holding.await_client(now)
            self.selector.register(connection.sock, selectors.EVENT_READ, connection)

    def hold(self, connection: InboundConnection, size: int, now: float) -> bool:
        """Hold so much for a connection; drop slow ones if that is needed."""
        holding = connection.holding
        more = size - holding.held_bytes
        if more <= 0:
            self.budget.shrink(holding, -more)
            return True
        small = size <= SMALL_MESSAGE_BYTES
        purpose = MemoryPurpose.SMALL if small else MemoryPurpose.BODY
        if not self.budget.has_room(more, purpose):
            self.drop_slow(more, purpose, now)
        return self.budget.grow(holding, more, purpose)

    def drop_slow(self, more: int, purpose: MemoryPurpose, now: float) -> None:
        """Close slow connections until there is room, trusted ones last."""
        owners = {each.holding: each for each in self.connections}
        slow = [owners[each] for each in self.budget.slowest_first(now)]
        for connection in sorted(slow, key=lambda each: each.trusted):
            if self.budget.has_room(more, purpose):
                return
            logger.warning(
                "mailbox: slow connection dropped, %d bytes held, %d of them by it",
                self.budget.held_bytes,
                connection.holding.held_bytes,
            )
            self.close(connection)

    def close(self, connection: InboundConnection) -> None:
        """Close a connection and forget what has come on it."""
        if connection in self.paused:
            self.paused.discard(connection)
        elif connection in self.connections:
            self.selector.unregister(connection.sock)
        self.connections.discard(connection)
        self.budget.shrink(connection.holding, connection.holding.held_bytes)
        connection.sock.close()


def usefulness(connection: InboundConnection) -> tuple[bool, float]:
    """Order connections by whether they are trusted, then by when they were heard."""
    return connection.trusted, connection.heard_at


def set_keepalive(sock: socket.socket) -> None:
    """Let the kernel close a connection whose peer is gone."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
