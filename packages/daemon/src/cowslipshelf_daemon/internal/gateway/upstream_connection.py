"""Exchange requests and answers with one upstream over one connection."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

import h11

from cowslipshelf_core.dialect import Headers, OutgoingRequest

READ_BYTES = 65_536
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
"""Longest answer that is held until it is whole; twice the bodies that callers send."""
UNACKNOWLEDGED_MILLISECONDS = 3_000
"""Time after which the kernel gives a connection up whose bytes nobody acknowledges:
a machine that lost power or was cut off sends no reset. Longer than a packet that is
lost twice takes."""
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 3


class UpstreamLostError(Exception):
    """Say at which step a connection to an upstream was lost."""

    def __init__(
        self, step: str, peer: str, detail: str, upstream_exited: bool = False
    ) -> None:
        super().__init__(f"{step} {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail
        self.upstream_exited = upstream_exited
        """Whether the upstream closed the connection, as one that ends does."""


class UpstreamHead(NamedTuple):
    """Be the status and headers of an answer."""

    status: int
    headers: Headers


class UpstreamConnection:
    """Own one connection to an upstream."""

    def __init__(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.address = address
        self.reader = reader
        self.writer = writer
        self.parser = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0
        self.keep_alive_seconds: float | None = None
        self.max_silence_seconds: float | None = None
        """Silence after which the upstream is given up; nothing waits without end."""
        self.excused_seconds: Callable[[], float] = no_excuse
        """Tells how much longer a silence has a reason; zero where it has none."""
        self.dropped: str | None = None
        """Why this side has ended the exchange, if it has."""
        self.upstream_restarted = False
        """Whether it did so since the upstream was heard to have started again."""

    @classmethod
    async def connect(cls, address: str, seconds: float) -> "UpstreamConnection":
        """Connect, or raise `UpstreamLostError`."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, ValueError) as error:
            detail = str(error) or type(error).__name__
            raise UpstreamLostError("connect", address, detail) from error
        set_socket_options(writer.get_extra_info("socket"))
        return cls(address, reader, writer)

    def send(self, request: OutgoingRequest) -> None:
        """Send a whole request; raise `UpstreamLostError` if that is known to fail."""
        head = h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
        parts = [self.parser.send(head)]
        if request.body:
            parts.append(self.parser.send(h11.Data(data=request.body)))
        parts.append(self.parser.send(h11.EndOfMessage()))
        try:
            self.writer.write(b"".join(part for part in parts if part))
        except OSError as error:
            raise UpstreamLostError("send", self.address, str(error)) from error

    async def head(self) -> UpstreamHead:
        """Wait for the answer's head."""
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
        """Go through the body; raise `UpstreamLostError` where it is cut."""
        while True:
            event = await self.next_event("read answer")
            match event:
                case h11.Data(data=data):
                    yield bytes(data)
                case h11.EndOfMessage():
                    return
                case _:
                    raise self.lost("read answer", "closed", True)

    async def whole_body(self) -> bytes:
        """Read the whole body; one that is too long to be held counts as lost."""
        body = bytearray()
        async for data in self.body():
            body += data
            if len(body) > MAX_BUFFERED_BYTES:
                raise self.lost("read answer", "the answer is too long to be held")
        return bytes(body)

    async def next_event(self, step: str) -> h11.Event | type[h11.PAUSED]:
        """Return the next event that the upstream's bytes make."""
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
        """Tell whether the upstream broke the exchange off, or ended meanwhile."""
        if self.dropped is not None:
            return self.upstream_restarted
        if isinstance(error, h11.RemoteProtocolError):
            return self.reader.at_eof()
        return isinstance(error, ConnectionResetError | BrokenPipeError)

    async def read(self) -> bytes:
        """Wait for bytes; raise `OSError` after a silence without excuse or a drop."""
        data = await self.read_until_silent()
        if self.dropped is not None:
            raise ConnectionAbortedError(self.dropped)
        return data

    async def read_until_silent(self) -> bytes:
        """Wait for bytes; raise `TimeoutError` after a silence without excuse."""
        patience = self.max_silence_seconds
        while True:
            try:
                async with asyncio.timeout(patience):
                    return await self.reader.read(READ_BYTES)
            except TimeoutError:
                patience = self.excused_seconds()
                if not patience:
                    raise

    def lost(
        self, step: str, detail: str, upstream_exited: bool = False
    ) -> UpstreamLostError:
        """Return the error of this connection."""
        return UpstreamLostError(step, self.address, detail, upstream_exited)

    def can_be_reused(self) -> bool:
        """Tell whether the exchange is over and left nothing behind.

        Bytes after a complete answer belong to no request, and the next one would be
        given them; a request body that is still being sent would be taken for it.
        """
        states = self.parser.states
        return (
            states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
            and not self.parser.trailing_data[0]
            and self.writer.transport.get_write_buffer_size() == 0
            and not self.writer.transport.is_closing()
        )

    def prepare_next(self) -> None:
        """Make ready for the next exchange."""
        self.parser.start_next_cycle()
        self.excused_seconds = no_excuse

    def is_quiet(self) -> bool:
        """Tell whether an idle connection has neither been closed nor been sent to."""
        return not (
            self.reader.at_eof()
            or self.reader._buffer  # noqa: SLF001 - asyncio offers no other look at it
            or self.writer.transport.is_closing()
        )

    def drop(self, reason: str, upstream_restarted: bool = False) -> None:
        """End an exchange from outside the task that reads its answer.

        The task sees the end of the bytes, as it does where an answer without a length
        is complete; what came until then must not be taken for the whole answer.
        """
        self.dropped = reason
        self.upstream_restarted = upstream_restarted
        self.abort()

    def abort(self) -> None:
        """Drop the connection, which makes the upstream drop the request."""
        self.writer.transport.abort()


def no_excuse() -> float:
    """Excuse no silence."""
    return 0.0


def set_socket_options(sock: socket.socket) -> None:
    """Make silence show: without these, a dead peer is waited for without end."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
