"""Read whole requests of one connection, within limits on size, time and memory."""

import asyncio
import math
from collections.abc import Callable
from contextlib import AbstractContextManager
from enum import Enum, auto
from functools import partial
from typing import Protocol, TypeVar

import h11

from cowslipshelf_core.dialect import Headers
from cowslipshelf_core.gateway import CallerLimits, MemoryPurpose
from cowslipshelf_daemon.internal.gateway.client_memory import ClientAccount
from cowslipshelf_daemon.internal.gateway.http_exchange import HttpRequest
from cowslipshelf_daemon.internal.gateway.work_turns import WorkTurns

TOO_LARGE = 413
NOT_RUN = 503
RETRY_AFTER = (b"retry-after", b"0.5")
MEMORY_WAIT_SECONDS = 1.0
"""Longest wait of a request for memory: callers allow a second before they go to
another gateway."""
USUAL_FIELDS = 64
"""Header fields whose memory is covered by that of the connection."""
FIELD_BYTES = 512
"""Memory of a header field while it is parsed and forwarded."""
USUAL_HEAD_BYTES = 1024
"""Length of a head below which its fields are not counted."""
FREE_BODY_BYTES = 4096
"""Length of a body that is covered by the memory of its connection."""
SMALL_BODY_BYTES = 65_536
"""Bytes that are read of any body before there is memory for all of it."""
READ_AHEAD_BYTES = 16_384
"""Bytes that are read of the requests after the present one."""
READ_BODY_BYTES = 65_536
"""Bytes that are read of a body before the parser takes them."""
SMALL_PIECE_BYTES = 256
FREE_PIECES = 16
"""Small pieces in which a request may come before its connection is read seldom."""
PIECE_PAUSE_SECONDS = 0.1
EVENTS_AT_ONCE = 32
"""Pieces of a body that are parsed before other clients have their turn."""


Result = TypeVar("Result")


class RefusedError(Exception):
    """Report with which status a request is refused that was not read whole."""

    def __init__(self, status: int, reason: str, headers: Headers = ()) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = headers


class BodyStep(Enum):
    """Name why parsing a body has stopped."""

    NEEDS_BYTES = auto()
    HAS_MORE = auto()
    """Other clients have their turn first."""
    ENDED = auto()
    CUT = auto()
    """The client disconnected."""


class ReceivingConnection(Protocol):
    """Receive the bytes of requests."""

    parser: h11.Connection
    account: ClientAccount
    incoming: bytearray
    ended: bool
    peer: str
    idle_since: float

    @property
    def has_begun(self) -> bool:
        """Return whether bytes of the next request have arrived."""

    def set_max_incoming(self, size: int) -> None:
        """Set how many bytes are read before the parser takes them."""

    def take_incoming(self) -> None:
        """Pass what has been received to the parser, and read on."""

    async def wait_for_bytes(self, seconds: float | None) -> None:
        """Wait until the client sends bytes or disconnects."""

    async def rest(self, seconds: float) -> None:
        """Read nothing for a while."""

    def holding_up(self) -> AbstractContextManager[None]:
        """Account for bytes that come meanwhile and are not parsed."""

    def send(self, event: h11.Event) -> None:
        """Write an event."""


class RequestReader:
    """Read the requests of one connection, one after the other."""

    def __init__(self, connection: ReceivingConnection, turns: WorkTurns) -> None:
        self.connection = connection
        self.turns = turns
        self.has_read = False
        """Whether a request was read before."""
        self.small_pieces = 0
        """Small pieces in which the request has come so far."""
        self.held_bytes = 0
        """Memory held for the request beyond that of its connection."""

    async def read(self, limits: CallerLimits) -> HttpRequest | None:
        """Return a complete request, or None if the client disconnects.

        Raises `RefusedError`, `TimeoutError` or `h11.RemoteProtocolError`.
        """
        head = await self.read_head(limits)
        if head is None:
            return None
        body = await self.read_body(head, limits)
        if body is None:
            return None
        self.has_read = True
        self.connection.account.stop_awaiting()
        headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        host = next((value for name, value in headers if name == b"host"), b"")
        return HttpRequest(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            headers,
            body,
            host.decode("latin-1").partition(":")[0],
            self.connection.peer,
        )

    async def read_head(self, limits: CallerLimits) -> h11.Request | None:
        """Wait for a request to begin, then read its head."""
        connection = self.connection
        sent_ahead = self.has_read and connection.has_begun
        while not connection.has_begun:
            if connection.ended:
                return None
            await connection.wait_for_bytes(limits.idle_seconds)
        connection.idle_since = math.inf
        self.small_pieces = 0
        connection.account.await_client()
        async with asyncio.timeout(limits.header_seconds):
            event = await self.parse_head(sent_ahead)
        return event if isinstance(event, h11.Request) else None

    async def parse_head(self, sent_ahead: bool) -> h11.Event | type[h11.PAUSED]:
        """Return what the parser makes of the next bytes, as soon as it has enough.

        Requests that were sent ahead, and heads of many fields, take turns.
        """
        parser = self.connection.parser
        while True:
            fields = self.count_fields()
            if fields > USUAL_FIELDS:
                await self.hold(fields * FIELD_BYTES - self.held_bytes)
            if sent_ahead or fields > USUAL_FIELDS:
                event = await self.take_turn(parser.next_event)
            else:
                event = parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            if not await self.feed():
                return h11.ConnectionClosed()

    def count_fields(self) -> int:
        """Return how many lines of a head have arrived, if it is a long one."""
        data = self.connection.parser.trailing_data[0]
        if len(data) < USUAL_HEAD_BYTES:
            return 0
        end = data.find(b"\r\n\r\n")
        return data.count(b"\n", 0, end if end >= 0 else len(data))

    async def read_body(
        self, head: h11.Request, limits: CallerLimits
    ) -> bytes | bytearray | None:
        """Read the body; refuse a too long one before all of it has arrived."""
        connection = self.connection
        longest = min(limits.body_bytes, connection.account.longest_body)
        length = next((int(v) for n, v in head.headers if n == b"content-length"), 0)
        if any(name == b"transfer-encoding" for name, _ in head.headers):
            length = longest
        if length > longest:
            raise RefusedError(TOO_LARGE, f"{length} bytes, {longest} are allowed")
        small = min(length, SMALL_BODY_BYTES)
        if small > FREE_BODY_BYTES:
            await self.hold(small, MemoryPurpose.SMALL)
        if connection.parser.they_are_waiting_for_100_continue:
            connection.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        parse = partial(self.parse_body, body, longest)
        held = small
        while True:
            step = parse()
            while step is BodyStep.HAS_MORE:
                step = await self.take_turn(parse)
            if step is not BodyStep.NEEDS_BYTES:
                break
            if held < length and len(body) > SMALL_BODY_BYTES // 2:
                await self.hold(length - held)
                held = length
            connection.set_max_incoming(READ_BODY_BYTES)
            async with asyncio.timeout(limits.idle_seconds):
                if not await self.feed():
                    return None
        connection.set_max_incoming(READ_AHEAD_BYTES)
        if step is BodyStep.CUT:
            return None
        if held > FREE_BODY_BYTES:
            self.let_go(held - len(body))
        return body if len(body) > SMALL_BODY_BYTES else bytes(body)

    def parse_body(self, body: bytearray, longest: int) -> BodyStep:
        """Append some pieces of what has arrived to the body."""
        parser, account = self.connection.parser, self.connection.account
        for _ in range(EVENTS_AT_ONCE):
            event = parser.next_event()
            if event is h11.NEED_DATA:
                return BodyStep.NEEDS_BYTES
            match event:
                case h11.Data(data=data):
                    body += data
                    account.record_moved(len(data))
                    if len(body) > longest:
                        reason = f"over {longest} bytes in chunks"
                        raise RefusedError(TOO_LARGE, reason)
                case h11.EndOfMessage():
                    return BodyStep.ENDED
                case _:
                    return BodyStep.CUT
        return BodyStep.HAS_MORE

    async def feed(self) -> bool:
        """Pass the next bytes to the parser; return False if the client left.

        Each piece costs about as much as a whole request. One that comes in many small
        pieces is read seldom, so that they add up to larger ones.
        """
        connection = self.connection
        if self.small_pieces > FREE_PIECES and not connection.incoming:
            await connection.rest(PIECE_PAUSE_SECONDS)
        while not connection.incoming:
            if connection.ended:
                return False
            await connection.wait_for_bytes(None)
        self.small_pieces += len(connection.incoming) < SMALL_PIECE_BYTES
        connection.take_incoming()
        return True

    async def take_turn(self, work: Callable[[], Result]) -> Result:
        """Do costly work when it is this connection's turn."""
        with self.connection.holding_up():
            return await self.turns.run(work)

    async def hold(
        self, more: int, purpose: MemoryPurpose = MemoryPurpose.BODY
    ) -> None:
        """Wait for memory; refuse the request if there is none in time."""
        if more <= 0:
            return
        account = self.connection.account
        account.stop_awaiting()
        with self.connection.holding_up():
            held = await account.wait_to_grow(more, purpose, MEMORY_WAIT_SECONDS)
        account.await_client()
        if not held:
            account.memory.record_refusal("request")
            raise RefusedError(NOT_RUN, f"no memory for {more} bytes", [RETRY_AFTER])
        self.held_bytes += more

    def let_go(self, less: int) -> None:
        """Release a part of the memory that is held for the request."""
        self.connection.account.shrink(less)
        self.held_bytes -= less

    def release(self) -> None:
        """Release all memory that is held for the request."""
        self.let_go(self.held_bytes)
