"""Serve HTTP/1.1 on asyncio, with limits on request size and slowness."""

import asyncio
import math
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from cowslipshelf_core.dialect import Headers
from cowslipshelf_core.gateway import CallerLimits
from cowslipshelf_daemon.internal.early_listener import BACKLOG, listen
from cowslipshelf_daemon.internal.gateway.throttled_listener import ThrottledListener
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("http_server")

READ_AHEAD_BYTES = 262_144
"""Bytes buffered ahead of the parser; beyond this, reading pauses."""
OLDEST_WITH_CHUNKS = b"1.1"
"""HTTP version before which an answer without a length ends with its connection."""
UNUSED_SECONDS = 1.0
"""Age of a connection from which nothing has come yet at which it may be dropped if
there is no room for others."""
MAKE_ROOM_SECONDS = 0.1
"""Least time between two searches for unused connections."""
CLOSE_TIMEOUT_SECONDS = 2.0
"""Time for a caller to read the last answer before its connection is dropped."""


class HttpRequest(NamedTuple):
    """Hold a complete request."""

    method: str
    target: str
    headers: Headers
    body: bytes
    host: str
    peer: str

    @property
    def path(self) -> str:
        """Return the target without the query string."""
        return self.target.partition("?")[0]


class AnswerCutError(Exception):
    """Report that an answer was begun and can't be completed."""


Handler = Callable[[HttpRequest, "Responder"], Awaitable[None]]


class Responder:
    """Send the answer to one request."""

    def __init__(self, connection: "HttpConnection") -> None:
        self.connection = connection
        self.begun = False
        self.ended = False
        self.ends_with_connection = False

    async def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete answer."""
        length = (b"content-length", str(len(body)).encode())
        framed = [pair for pair in headers if pair[0] != b"content-length"]
        self.begin(status, [*framed, length])
        await self.write(body)
        await self.end()

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head; without a content length, the body is sent chunked."""
        self.begun = True
        if self.connection.server.closing or self.connection.close_after:
            headers = [*headers, (b"connection", b"close")]
        has_length = any(name == b"content-length" for name, _ in headers)
        if not has_length and not self.connection.takes_chunks:
            self.ends_with_connection = True
            self.connection.reset_if_closed(True)
        response = h11.Response(status_code=status, headers=headers)
        self.connection.send(response)

    async def write(self, data: bytes) -> None:
        """Send a part of the body, and wait while the caller reads too slowly."""
        if data and self.connection.method != "HEAD":
            self.connection.send(h11.Data(data=data))
            await self.connection.drained()

    async def end(self) -> None:
        """Complete the answer."""
        self.connection.send(h11.EndOfMessage())
        self.ended = True
        await self.connection.drained()
        if self.ends_with_connection:
            self.connection.reset_if_closed(False)


class HttpServer:
    """Listen on one address and pass each request to a handler."""

    def __init__(
        self,
        name: str,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        max_connections: int,
        metrics: Metrics | None = None,
    ) -> None:
        self.name = name
        self.handler = handler
        self.limits = limits
        self.max_connections = max_connections
        self.connections: set[HttpConnection] = set()
        self.closing = False
        self.metrics = metrics
        """Given to a server that refuses connections which it is too busy to serve."""
        self.server: asyncio.Server | ThrottledListener | None = None
        self.admitting: set[asyncio.Task] = set()
        self.made_room_at = -math.inf

    async def start(self, address: str, listener: socket.socket | None = None) -> None:
        """Listen on an address, given as IP and port, or on a bound socket."""
        listener = listener or listen(address)
        if self.metrics is not None:
            self.server = ThrottledListener(
                listener, self.admit, self.has_room, self.metrics
            )
            return
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: HttpConnection(self), backlog=BACKLOG, sock=listener
        )

    def admit(self, connection: socket.socket) -> None:
        """Serve an accepted connection."""
        loop = asyncio.get_running_loop()
        connecting = loop.connect_accepted_socket(
            lambda: HttpConnection(self), connection
        )
        task = loop.create_task(connecting)
        self.admitting.add(task)
        task.add_done_callback(self.admitting.discard)

    def has_room(self, more: int) -> bool:
        """Return whether so many connections fit, without the unused ones if needed."""
        if len(self.connections) + more > self.max_connections:
            self.drop_unused(time.monotonic())
        return len(self.connections) + more <= self.max_connections

    def drop_unused(self, now: float) -> None:
        """Drop the connections on which nothing has come for a while since they opened.

        Callers that open connections without using them must not take the place of
        others. One that has carried a request may be about to carry the next.
        """
        if now < self.made_room_at + MAKE_ROOM_SECONDS:
            return
        self.made_room_at = now
        unused = [each for each in self.connections if each.is_unused(now)]
        for connection in unused:
            # The transport reports the loss only in the next turn.
            self.connections.discard(connection)
            connection.abort()
        if unused:
            LOG.warning("Unused connections dropped.", dropped=len(unused))

    @property
    def busy(self) -> int:
        """Return the number of requests being answered."""
        return sum(connection.busy for connection in self.connections)

    def stop_listening(self) -> None:
        """Accept no more connections; open ones stay."""
        if self.server is not None:
            self.server.close()

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    def abort_all(self) -> None:
        """Drop all connections."""
        for connection in list(self.connections):
            connection.abort()


class HttpConnection(asyncio.Protocol):
    """Read and answer the requests of one caller connection, one at a time."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits().header_bytes
        )
        self.transport: asyncio.Transport | None = None
        self.peer = ""
        self.method = ""
        self.task: asyncio.Task[None] | None = None
        self.arrived = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()
        self.incoming = bytearray()
        self.opened_at = time.monotonic()
        self.used = False
        self.ended = False
        self.busy = False
        self.close_after = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving, unless the connection limit is reached."""
        self.transport = transport  # type: ignore[assignment]
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else ""
        if len(self.server.connections) >= self.server.max_connections:
            # Without free file descriptors, accepting would fail for every caller; one
            # connection is dropped instead.
            LOG.warning("Connection dropped.", server=self.server.name, reason="full")
            self.transport.abort()
            return
        self.server.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self.serve())

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; pause reading if the buffer is full."""
        self.used = True
        self.incoming += data
        if len(self.incoming) > READ_AHEAD_BYTES:
            self.transport.pause_reading()
        self.arrived.set()

    def eof_received(self) -> bool:
        """Treat the end of the caller's data as a disconnect."""
        self.caller_left()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work for a caller that disconnected, which is no error."""
        LOG.debug("Connection lost.", peer=self.peer, error=str(exc))
        self.server.connections.discard(self)
        self.caller_left()

    def caller_left(self) -> None:
        """Cancel the task, since the caller is gone."""
        self.ended = True
        self.arrived.set()
        self.writable.set()
        if self.busy and self.task is not None:
            self.task.cancel("caller left")

    def pause_writing(self) -> None:
        """Pause the answer while the caller does not read."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Resume the answer."""
        self.writable.set()

    # Methods of the serving task.

    @property
    def idle(self) -> bool:
        """Return whether no request is being answered or received."""
        return not self.busy and not self.has_begun

    def is_unused(self, now: float) -> bool:
        """Return whether nothing has come on it although it has been open for long."""
        return not self.used and now > self.opened_at + UNUSED_SECONDS

    @property
    def has_begun(self) -> bool:
        """Return whether bytes of the next request have arrived."""
        return bool(self.incoming or self.parser.trailing_data[0])

    async def serve(self) -> None:
        """Answer requests until either side closes."""
        try:
            while not self.ended:
                request = await self.read_request()
                if request is None:
                    break
                if not await self.answer(request):
                    break
                if self.server.closing and not self.has_begun:
                    # The head of this answer may have been sent before the shutdown
                    # began, without `connection: close`. Left open, the connection
                    # would bring requests until the grace period ends, and the last one
                    # would be cut.
                    break
                self.parser.start_next_cycle()
            await self.finish()
        except asyncio.CancelledError:
            self.abort()
        except Exception:
            LOG.exception("Connection failed.", server=self.server.name, peer=self.peer)
            self.abort()

    async def answer(self, request: HttpRequest) -> bool:
        """Answer one request; return whether the connection stays open."""
        self.busy = True
        self.method = request.method
        responder = Responder(self)
        try:
            await self.server.handler(request, responder)
        except AnswerCutError:
            # Without the last chunk, the caller can't take the answer for complete.
            self.abort()
            return False
        finally:
            self.busy = False
        return self.parser.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}

    async def read_request(self) -> HttpRequest | None:
        """Read a complete request; refuse an invalid one and return None."""
        limits = self.server.limits()
        try:
            head = await self.read_head(limits)
            if head is None:
                return None
            body = await self.read_body(head, limits)
        except TimeoutError:
            if self.parser.their_state is not h11.IDLE or self.has_begun:
                await self.refuse(408)
            return None
        except h11.RemoteProtocolError as error:
            await self.refuse(error.error_status_hint or 400)
            return None
        if body is None:
            return None
        headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        host = next((value for name, value in headers if name == b"host"), b"")
        return HttpRequest(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            headers,
            body,
            host.decode("latin-1").partition(":")[0],
            self.peer,
        )

    async def read_head(self, limits: CallerLimits) -> h11.Request | None:
        """Wait for a request to begin, then read its head."""
        while not self.has_begun:
            if self.ended:
                return None
            await self.wait_for_bytes(limits.idle_seconds)
        async with asyncio.timeout(limits.header_seconds):
            event = await self.next_event()
        return event if isinstance(event, h11.Request) else None

    async def read_body(self, head: h11.Request, limits: CallerLimits) -> bytes | None:
        """Read the body; refuse a too long one before all of it has arrived."""
        length = next((int(v) for n, v in head.headers if n == b"content-length"), 0)
        if length > limits.body_bytes:
            await self.refuse(413)
            return None
        if self.parser.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        while True:
            async with asyncio.timeout(limits.idle_seconds):
                event = await self.next_event()
            match event:
                case h11.Data(data=data):
                    body += data
                    if len(body) > limits.body_bytes:
                        await self.refuse(413)
                        return None
                case h11.EndOfMessage():
                    return bytes(body)
                case _:
                    return None

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of the HTTP parser, waiting for bytes if needed."""
        while True:
            event = self.parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            if not self.incoming:
                if self.ended:
                    return h11.ConnectionClosed()
                await self.wait_for_bytes(None)
                continue
            data = bytes(self.incoming)
            self.incoming.clear()
            self.parser.receive_data(data)
            self.transport.resume_reading()

    async def wait_for_bytes(self, seconds: float | None) -> None:
        """Wait until the caller sends bytes or disconnects."""
        self.arrived.clear()
        async with asyncio.timeout(seconds):
            await self.arrived.wait()

    async def refuse(self, status: int) -> None:
        """Answer an unreadable request with an error, and close."""
        LOG.info("Request not read.", peer=self.peer, status=status)
        self.close_after = True
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await Responder(self).respond(status, [])

    def send(self, event: h11.Event) -> None:
        """Write an event."""
        data = self.parser.send(event)
        if data and not self.transport.is_closing():
            self.transport.write(data)

    async def drained(self) -> None:
        """Wait while the caller reads too slowly."""
        if not self.writable.is_set():
            await self.writable.wait()

    @property
    def takes_chunks(self) -> bool:
        """Return whether the caller reads answers in chunks."""
        version = self.parser.their_http_version
        return version is None or version >= OLDEST_WITH_CHUNKS

    def reset_if_closed(self, enabled: bool) -> None:
        """Set whether closing the connection, or the end of the process, resets it.

        A caller takes the plain end of a connection for the end of an answer that has
        neither a length nor chunks. While resets are enabled, `drained` waits until the
        kernel has all bytes, since a reset discards what is left.
        """
        if self.transport.is_closing():
            return
        linger = struct.pack("ii", enabled, 0)
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if enabled:
            self.transport.set_write_buffer_limits(0)

    async def finish(self) -> None:
        """Flush the last bytes, then close."""
        if self.transport.is_closing():
            return
        self.close()
        await asyncio.sleep(CLOSE_TIMEOUT_SECONDS)
        self.abort()

    def close(self) -> None:
        """Close once all written bytes are sent."""
        if not self.transport.is_closing():
            self.transport.close()

    def abort(self) -> None:
        """Drop the connection at once."""
        self.transport.abort()
