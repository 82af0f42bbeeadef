"""Exchange requests and answers with one upstream over one HTTP connection."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from enum import StrEnum
from typing import NamedTuple

import h11

from cowslipshelf_core.dialect import Headers, OutgoingRequest

EVENT_STREAM = b"text/event-stream"
IDENTITY = b"identity"
READ_BYTES = 32_768
SEND_BYTES = 65_536
"""Most bytes of a request's body that are copied to be sent."""
READER_BYTES = 8_192
"""Bytes that are read ahead; reading pauses at twice as many."""
RECEIVE_BUFFER_BYTES = 16_384
"""Bytes that the kernel may receive before they are read."""
SHORT_ANSWER_BYTES = 4_096
"""Length of an answer for which no memory is asked."""
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
"""Longest answer or event that is buffered; twice the largest request body."""
UNACKNOWLEDGED_MILLISECONDS = 3_000
"""Time after which the kernel drops a connection with unacknowledged data: a machine
that lost power or was partitioned sends no reset. It exceeds the time that a packet
needs to arrive after it was lost twice."""
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 3


class UpstreamLostError(Exception):
    """Report at which step a connection to an upstream was lost."""

    def __init__(
        self, step: str, peer: str, detail: str, upstream_exited: bool = False
    ) -> None:
        super().__init__(f"{step} {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail
        self.upstream_exited = upstream_exited
        """Whether the upstream closed the connection, as a process that exits does."""


class BodyFraming(StrEnum):
    """Name what tells where the body of an answer ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The end of the connection."""


class UpstreamHead(NamedTuple):
    """Hold the status and headers of an answer."""

    status: int
    headers: Headers

    @property
    def framing(self) -> BodyFraming:
        """Return what tells where the body ends; chunks go before a length."""
        names = {name for name, _ in self.headers}
        if b"transfer-encoding" in names:
            return BodyFraming.CHUNKS
        if b"content-length" in names:
            return BodyFraming.LENGTH
        return BodyFraming.CONNECTION

    @property
    def length(self) -> int | None:
        """Return the body's length if it is framed by one, else None."""
        if self.framing is not BodyFraming.LENGTH:
            return None
        return int(dict(self.headers)[b"content-length"])

    def holds_events(self, by_default: bool) -> bool:
        """Return whether the body is readable as server-sent events.

        `by_default` holds for an answer that names no media type.
        """
        values = dict(self.headers)
        media_type = values.get(b"content-type", b"").partition(b";")[0].strip().lower()
        coding = values.get(b"content-encoding", IDENTITY).strip().lower()
        if coding != IDENTITY:
            return False
        return media_type == EVENT_STREAM if media_type else by_default


class UpstreamConnection:
    """Manage one connection to an upstream."""

    def __init__(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.address = address
        self.reader = reader
        self.writer = writer
        self.parser = h11.Connection(h11.CLIENT)
        self.sending: asyncio.Task[None] | None = None
        """Sends the rest of a long body."""
        self.idle_since = 0.0
        self.keep_alive_seconds: float | None = None
        self.max_silence_seconds: float | None = None
        """Silence after which the upstream counts as lost; None means no limit."""
        self.excused_seconds: Callable[[], float] = no_excuse
        """Returns how much longer a silence is excused; zero if it is not."""
        self.dropped: str | None = None
        """Why this side dropped the connection, if it did."""
        self.upstream_restarted = False
        """Whether it was dropped because the upstream restarted."""

    @classmethod
    async def connect(cls, address: str, seconds: float) -> "UpstreamConnection":
        """Connect, or raise `UpstreamLostError`."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(
                    host, int(port), limit=READER_BYTES
                )
        except (OSError, ValueError) as error:
            detail = str(error) or type(error).__name__
            raise UpstreamLostError("connect", address, detail) from error
        set_socket_options(writer.get_extra_info("socket"))
        return cls(address, reader, writer)

    def send(self, request: OutgoingRequest) -> None:
        """Send a request; raise `UpstreamLostError` if sending fails at once.

        The rest of a long body is sent in the background, as fast as the upstream takes
        it: its answer may come before it has read everything.
        """
        head = h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
        first, rest = request.body[:SEND_BYTES], memoryview(request.body)[SEND_BYTES:]
        parts = [self.parser.send(head)]
        if first:
            parts.append(self.parser.send(h11.Data(data=first)))
        if not rest:
            parts.append(self.parser.send(h11.EndOfMessage()))
        try:
            self.writer.write(b"".join(part for part in parts if part))
        except OSError as error:
            raise UpstreamLostError("send", self.address, str(error)) from error
        if rest:
            sending = self.send_rest(rest)
            self.sending = asyncio.get_running_loop().create_task(sending)

    async def send_rest(self, rest: memoryview) -> None:
        """Send the rest of a body; a loss shows where the answer is read."""
        with suppress(OSError):
            for start in range(0, len(rest), SEND_BYTES):
                await self.writer.drain()
                piece = h11.Data(data=rest[start : start + SEND_BYTES])
                self.writer.write(self.parser.send(piece))
            self.parser.send(h11.EndOfMessage())

    async def head(self) -> UpstreamHead:
        """Wait for the head of the answer."""
        while True:
            event = await self.next_event("wait for answer")
            match event:
                case h11.Response(status_code=status, headers=headers):
                    pairs = [(bytes(name), bytes(value)) for name, value in headers]
                    return UpstreamHead(status, pairs)
                case h11.InformationalResponse():
                    continue
                case _:
                    raise self.lost("wait for answer", "closed", True)

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body in pieces; raise `UpstreamLostError` if it is cut."""
        while True:
            event = await self.next_event("read answer")
            match event:
                case h11.Data(data=data):
                    yield bytes(data)
                case h11.EndOfMessage():
                    return
                case _:
                    raise self.lost("read answer", "closed", True)

    async def whole_body(
        self,
        length: int | None = None,
        hold: Callable[[int], Awaitable[None]] | None = None,
    ) -> bytes:
        """Read the whole body; one that is too long to buffer counts as lost.

        `length` is that of the body, if it is known. `hold` waits until there is memory
        for so many bytes of it; nothing more is read meanwhile.
        """
        body = bytearray()
        held = SHORT_ANSWER_BYTES
        if hold is not None and length is not None and length > held:
            held = min(length, MAX_BUFFERED_BYTES)
            await hold(held)
        async for data in self.body():
            body += data
            if len(body) > MAX_BUFFERED_BYTES:
                raise self.lost("read answer", "the answer is too long to be held")
            if hold is not None and len(body) > held:
                held = len(body) + READ_BYTES
                await hold(held)
        return bytes(body)

    async def next_event(self, step: str) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of the HTTP parser, reading bytes as needed."""
        try:
            while True:
                event = self.parser.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self.parser.receive_data(await self.read())
        except (OSError, h11.RemoteProtocolError) as error:
            detail = str(error) or type(error).__name__
            raise self.lost(step, detail, self.closed_by_upstream(error)) from error

    def closed_by_upstream(self, error: Exception) -> bool:
        """Return whether the upstream closed the connection or has restarted."""
        if self.dropped is not None:
            return self.upstream_restarted
        if isinstance(error, h11.RemoteProtocolError):
            return self.reader.at_eof()
        return isinstance(error, ConnectionResetError | BrokenPipeError)

    async def read(self) -> bytes:
        """Wait for bytes; raise `OSError` after an unexcused silence or a drop."""
        data = await self.read_until_silent()
        if self.dropped is not None:
            raise ConnectionAbortedError(self.dropped)
        return data

    async def read_until_silent(self) -> bytes:
        """Wait for bytes; raise `TimeoutError` after an unexcused silence."""
        seconds = self.max_silence_seconds
        while True:
            try:
                async with asyncio.timeout(seconds) as silence:
                    return await self.reader.read(READ_BYTES)
            except TimeoutError:
                # The kernel's error for a connection that it gave up is the same one.
                if not silence.expired():
                    raise
                # Bytes may have come with the timeout, after a pause of this process.
                seconds = self.excused_seconds() if self.is_quiet() else None
                if seconds == 0.0:
                    raise

    def lost(
        self, step: str, detail: str, upstream_exited: bool = False
    ) -> UpstreamLostError:
        """Return the error that reports the loss of this connection."""
        return UpstreamLostError(step, self.address, detail, upstream_exited)

    def can_be_reused(self) -> bool:
        """Return whether the exchange is complete and left no bytes behind.

        Bytes after a complete answer would be read as the answer to the next request; a
        request body that is still being sent would be read as the next request.
        """
        states = self.parser.states
        return (
            states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
            and not self.parser.trailing_data[0]
            and self.writer.transport.get_write_buffer_size() == 0
            and not self.writer.transport.is_closing()
        )

    def prepare_next(self) -> None:
        """Prepare the connection for the next exchange."""
        self.parser.start_next_cycle()
        self.excused_seconds = no_excuse

    def is_quiet(self) -> bool:
        """Return whether an idle connection is open and has received no bytes."""
        return not (
            self.reader.at_eof()
            or self.reader._buffer  # noqa: SLF001 - asyncio has no public access to it
            or self.writer.transport.is_closing()
        )

    def drop(self, reason: str, upstream_restarted: bool = False) -> None:
        """Drop the connection from outside the task that reads the answer.

        The task then sees the end of the data, which also completes an answer without a
        content length; the partial answer must not be taken for a complete one.
        """
        self.dropped = reason
        self.upstream_restarted = upstream_restarted
        self.abort()

    def abort(self) -> None:
        """Reset the connection, which makes the upstream cancel the request."""
        if self.sending is not None:
            self.sending.cancel()
        self.writer.transport.abort()


def no_excuse() -> float:
    """Return zero: no silence is excused."""
    return 0.0


def set_socket_options(sock: socket.socket) -> None:
    """Bound what is received unread, and set options that detect a dead peer.

    Without the latter, reads would wait forever.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
