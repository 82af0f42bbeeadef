"""Define a request that was read whole, and what its answer is sent with."""

from typing import NamedTuple, Protocol

import h11

from cowslipshelf_core.dialect import Headers
from cowslipshelf_core.gateway import MemoryPurpose
from cowslipshelf_daemon.internal.gateway.client_memory import ClientAccount

WRITE_BYTES = 32_768
"""Most bytes of an answer that are passed to the connection at once."""
FREE_ANSWER_BYTES = 4_096
"""Length of an answer that is covered by the memory of its connection."""


class HttpRequest(NamedTuple):
    """Hold a complete request."""

    method: str
    target: str
    headers: Headers
    body: bytes | bytearray
    host: str
    peer: str

    @property
    def path(self) -> str:
        """Return the target without the query string."""
        return self.target.partition("?")[0]


class AnswerCutError(Exception):
    """Report that an answer was begun and can't be completed, or not be held."""


class AnsweringConnection(Protocol):
    """Send events of the HTTP parser to a client, and account for what it holds."""

    method: str
    account: ClientAccount

    @property
    def closes_after_answer(self) -> bool:
        """Return whether the connection takes no further request."""

    @property
    def takes_chunks(self) -> bool:
        """Return whether the client reads answers in chunks."""

    def send(self, event: h11.Event) -> None:
        """Write an event."""

    async def drained(self) -> None:
        """Wait while the client reads too slowly."""

    def reset_if_closed(self, enabled: bool) -> None:
        """Set whether closing the connection, or the end of the process, resets it."""


class Responder:
    """Send the answer to one request."""

    def __init__(self, connection: AnsweringConnection) -> None:
        self.connection = connection
        self.begun = False
        self.ended = False
        self.ends_with_connection = False
        self.held_bytes = 0
        """Memory held for the answer."""

    async def hold(self, size: int) -> None:
        """Wait until there is memory for so many bytes of an answer in all."""
        more = size - self.held_bytes
        if more <= 0:
            return
        account = self.connection.account
        if not await account.wait_to_grow(more, MemoryPurpose.BEGUN):
            raise AnswerCutError("the connection was closed")
        self.held_bytes += more

    def hold_at_once(self, size: int) -> bool:
        """Hold memory for what is made of the request, if there is room for it."""
        held = self.connection.account.grow(size, MemoryPurpose.BODY)
        if held:
            self.held_bytes += size
        return held

    @property
    def longest_body(self) -> int:
        """Return how much may ever be held at once for what is made of a request."""
        return self.connection.account.longest_body

    async def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete answer; raise `AnswerCutError` if there is no memory for it.

        That was not asked for where the answer was made, so it can't wait.
        """
        more = len(body) - self.held_bytes
        if more > FREE_ANSWER_BYTES:
            if not self.connection.account.grow(more, MemoryPurpose.BEGUN):
                raise AnswerCutError(f"no memory for an answer of {len(body)} bytes")
            self.held_bytes += more
        length = (b"content-length", str(len(body)).encode())
        framed = [pair for pair in headers if pair[0] != b"content-length"]
        self.begin(status, [*framed, length])
        await self.write(body)
        await self.end()

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head; without a content length, the body is sent chunked."""
        self.begun = True
        if self.connection.closes_after_answer:
            headers = [*headers, (b"connection", b"close")]
        has_length = any(name == b"content-length" for name, _ in headers)
        if not has_length and not self.connection.takes_chunks:
            self.ends_with_connection = True
            self.connection.reset_if_closed(True)
        response = h11.Response(status_code=status, headers=headers)
        self.connection.send(response)

    async def write(self, data: bytes) -> None:
        """Send a part of the body, and wait while the client reads too slowly."""
        if self.connection.method == "HEAD":
            return
        if len(data) <= WRITE_BYTES:
            pieces = [data] if data else []
        else:
            whole = memoryview(data)
            starts = range(0, len(data), WRITE_BYTES)
            pieces = [whole[start : start + WRITE_BYTES] for start in starts]
        for piece in pieces:
            self.connection.send(h11.Data(data=piece))
            await self.connection.drained()

    async def end(self) -> None:
        """Complete the answer."""
        self.connection.send(h11.EndOfMessage())
        self.ended = True
        await self.connection.drained()
        if self.ends_with_connection:
            self.connection.reset_if_closed(False)

    def release(self) -> None:
        """Release the memory held for the answer."""
        self.connection.account.shrink(self.held_bytes)
        self.held_bytes = 0
