"""Serve one client's HTTP/1.1 connection, one request at a time."""

import asyncio
import socket
import struct
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING

import h11

from cowslipshelf_core.dialect import Headers
from cowslipshelf_core.gateway import MemoryPurpose
from cowslipshelf_daemon.internal.gateway.http_exchange import (
    AnswerCutError,
    HttpRequest,
    Responder,
)
from cowslipshelf_daemon.internal.gateway.request_reader import (
    NOT_RUN,
    READ_AHEAD_BYTES,
    READ_BODY_BYTES,
    RETRY_AFTER,
    RefusedError,
    RequestReader,
)
from cowslipshelf_host.logs import part_logger

if TYPE_CHECKING:
    from cowslipshelf_daemon.internal.gateway.http_server import HttpServer

LOG = part_logger("http_server")

CONNECTION_BYTES = 16_384
"""Memory of an open connection with a usual request."""
UNREAD_BYTES = 65_536
"""Bytes that the kernel holds at most of a connection that is not read."""
WRITE_BUFFER_BYTES = 8_192
"""Bytes of answers that are buffered before the answering task waits."""
STALLED_BYTES = 49_152
"""Bytes of an answer that are buffered at most while the client does not read."""
REQUEST_BYTES = 65_536
"""Memory of a request while it is answered: that of the connection to its upstream,
which may have sent more than the client takes."""
OLDEST_WITH_CHUNKS = b"1.1"
"""HTTP version before which an answer without a length ends with its connection."""
UNUSED_SECONDS = 1.0
"""Age of a connection from which nothing has come yet at which it may be dropped if
there is no room for others."""
STALLED_SECONDS = 0.25
"""Time for which a client may leave a request or an answer unfinished, if there is no
room for others."""
IDLE_SECONDS = 0.05
"""Least time for which a connection waits for its client before others replace it."""
CLOSE_TIMEOUT_SECONDS = 2.0
"""Time for a client to read the last answer before its connection is dropped."""

RECEIVED = memoryview(bytearray(READ_BODY_BYTES))
"""Buffer into which all connections receive, one after the other."""


class HttpConnection(asyncio.BufferedProtocol):
    """Read and answer the requests of one connection, one at a time."""

    def __init__(self, server: "HttpServer") -> None:
        self.server = server
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits().header_bytes
        )
        self.account = server.resources.memory.open_account(self.abort)
        self.requests = RequestReader(self, server.resources.turns)
        self.transport: asyncio.Transport | None = None
        self.peer = ""
        self.method = ""
        self.task: asyncio.Task[None] | None = None
        self.arrived = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()
        self.incoming = bytearray()
        self.max_incoming = READ_AHEAD_BYTES
        self.unread_bytes = 0
        """Memory held for what the kernel may hold, while nothing is read."""
        self.held_up = False
        """Whether received bytes are not parsed for now."""
        self.discarding = False
        self.opened_at = time.monotonic()
        self.idle_since = self.opened_at
        """Time of the last answer; infinite while a request is received or answered."""
        self.used = False
        self.ended = False
        self.busy = False
        self.close_after = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving, unless a limit is reached."""
        self.transport = transport  # type: ignore[assignment]
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else ""
        if not self.server.has_room(1):
            # Without free file descriptors, accepting would fail for every caller; one
            # connection is dropped instead.
            LOG.warning("Connection dropped.", server=self.server.name, reason="full")
            self.transport.abort()
            return
        if not self.account.grow(CONNECTION_BYTES, MemoryPurpose.SMALL):
            self.server.resources.memory.record_refusal("connection")
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        self.server.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self.serve())

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Return the buffer for the next bytes, as long as they may be."""
        if self.discarding:
            return RECEIVED
        return RECEIVED[: self.max_incoming - len(self.incoming)]

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes; pause reading if there are enough for now."""
        if self.discarding:
            return
        self.used = True
        self.incoming += RECEIVED[:nbytes]
        if len(self.incoming) >= self.max_incoming:
            self.transport.pause_reading()
            self.hold_unread()
        self.arrived.set()

    def eof_received(self) -> bool:
        """Treat the end of the caller's data as a disconnect."""
        self.caller_left()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work for a caller that disconnected, which is no error."""
        LOG.debug("Connection lost.", peer=self.peer, error=str(exc))
        self.server.connections.discard(self)
        self.account.close()
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
        self.account.await_client()
        if not self.account.grow(STALLED_BYTES, MemoryPurpose.BEGUN):
            self.refuse_memory("answer not read")

    def resume_writing(self) -> None:
        """Resume the answer."""
        if not self.writable.is_set():
            self.writable.set()
            self.account.stop_awaiting()
            self.account.shrink(STALLED_BYTES)

    # What is received.

    @property
    def idle(self) -> bool:
        """Return whether no request is being answered or received."""
        return not self.busy and not self.has_begun

    def is_unused(self, now: float) -> bool:
        """Return whether nothing has come on it although it has been open for long."""
        return not self.used and now > self.opened_at + UNUSED_SECONDS

    @property
    def waits_since(self) -> float:
        """Return since when it has waited for its client; infinite if it does not."""
        return min(self.idle_since, self.account.holding.counted_from)

    def is_in_the_way(self, now: float) -> bool:
        """Return whether its client keeps others out without a request to answer."""
        if self.discarding or self.is_unused(now):
            return True
        return self.account.is_slow(now, STALLED_SECONDS)

    def waits_long(self, now: float) -> bool:
        """Return whether it has waited for its client longer than for a round trip."""
        return self.waits_since < now - IDLE_SECONDS

    @property
    def has_begun(self) -> bool:
        """Return whether bytes of the next request have arrived."""
        return bool(self.incoming or self.parser.trailing_data[0])

    def set_max_incoming(self, size: int) -> None:
        """Set how many bytes are read before the parser takes them."""
        self.max_incoming = size
        if len(self.incoming) >= size:
            self.transport.pause_reading()

    def take_incoming(self) -> None:
        """Pass what has been received to the parser, and read on."""
        data = bytes(self.incoming)
        self.incoming.clear()
        self.parser.receive_data(data)
        self.transport.resume_reading()

    async def wait_for_bytes(self, seconds: float | None) -> None:
        """Wait until the caller sends bytes or disconnects."""
        self.arrived.clear()
        async with asyncio.timeout(seconds):
            await self.arrived.wait()

    async def rest(self, seconds: float) -> None:
        """Read nothing for a while."""
        self.transport.pause_reading()
        await asyncio.sleep(seconds)
        self.transport.resume_reading()

    @contextmanager
    def holding_up(self) -> Iterator[None]:
        """Account for bytes that come meanwhile and are not parsed."""
        self.held_up = True
        if len(self.incoming) >= self.max_incoming:
            self.hold_unread()
        try:
            yield
        finally:
            self.held_up = False
            self.account.shrink(self.unread_bytes)
            self.unread_bytes = 0

    def hold_unread(self) -> None:
        """Hold memory for what comes and stays in the kernel, or drop the client."""
        if not self.held_up or self.unread_bytes:
            return
        if self.account.grow(UNREAD_BYTES, MemoryPurpose.BEGUN):
            self.unread_bytes = UNREAD_BYTES
        else:
            self.refuse_memory("requests sent ahead")

    def refuse_memory(self, reason: str) -> None:
        """Drop the connection, since there is no memory for what its client leaves."""
        self.server.resources.memory.record_refusal(reason)
        self.abort()

    # Methods of the serving task.

    async def serve(self) -> None:
        """Answer requests until either side closes."""
        try:
            while not self.ended:
                if not await self.serve_request():
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

    async def serve_request(self) -> bool:
        """Read and answer one request; return whether the connection stays open.

        Nothing refers to the request after its answer, while the next one is awaited.
        """
        request = await self.read_request()
        return request is not None and await self.answer(request)

    async def read_request(self) -> HttpRequest | None:
        """Read a complete request; refuse an invalid one and return None."""
        try:
            return await self.requests.read(self.server.limits())
        except TimeoutError:
            if self.parser.their_state is not h11.IDLE or self.has_begun:
                await self.refuse(408)
        except RefusedError as error:
            await self.refuse(error.status, error.headers)
        except h11.RemoteProtocolError as error:
            await self.refuse(error.error_status_hint or 400)
        return None

    async def answer(self, request: HttpRequest) -> bool:
        """Answer one request; return whether the connection stays open."""
        if not self.account.grow(REQUEST_BYTES, MemoryPurpose.SMALL):
            self.server.resources.memory.record_refusal("request")
            await self.refuse(NOT_RUN, [RETRY_AFTER])
            return False
        self.busy = True
        self.method = request.method
        responder = Responder(self)
        try:
            with self.holding_up():
                await self.server.handler(request, responder)
        except AnswerCutError:
            # Without the last chunk, the caller can't take the answer for complete.
            self.abort()
            return False
        finally:
            self.busy = False
            self.idle_since = time.monotonic()
            self.account.shrink(REQUEST_BYTES)
            responder.release()
            self.requests.release()
        return self.parser.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}

    async def refuse(self, status: int, headers: Headers = ()) -> None:
        """Answer an unreadable request with an error, and close."""
        LOG.info("Request not read.", peer=self.peer, status=status)
        self.close_after = True
        self.discarding = True
        self.incoming.clear()
        self.requests.release()
        self.account.stop_awaiting()
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.resume_reading()
            await Responder(self).respond(status, list(headers))

    @property
    def closes_after_answer(self) -> bool:
        """Return whether the connection takes no further request."""
        return self.server.closing or self.close_after

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
        """Flush the last bytes, then close.

        Closing with unread bytes resets the connection, and the reset overtakes the
        answer. So what still comes after a refusal is read and discarded for a while.
        """
        if self.transport.is_closing():
            return
        if self.discarding and self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                while not self.ended:
                    self.arrived.clear()
                    await self.arrived.wait()
        self.abort()

    def close(self) -> None:
        """Close once all written bytes are sent."""
        if not self.transport.is_closing():
            self.transport.close()

    def abort(self) -> None:
        """Drop the connection at once."""
        self.transport.abort()
