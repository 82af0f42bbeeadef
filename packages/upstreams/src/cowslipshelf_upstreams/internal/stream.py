"""Read an upstream's answer piece by piece, and detect a truncated one."""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec
from urllib3.exceptions import HTTPError

from cowslipshelf_upstreams.errors import UpstreamFailedError, UpstreamLostError
from cowslipshelf_upstreams.internal.connections import (
    Headers,
    OpenAnswer,
    end_to_end_headers,
)
from cowslipshelf_upstreams.internal.event_parser import EventParser, ServerSentEvent

STREAM_STEP = "stream"
EVENT_STREAM = "text/event-stream"
DONE = b"[DONE]"
DONE_PIECE = b"data: [DONE]\n\n"
NO_ERROR = (b"", b"null")
READ_BYTES = 65_536


class UpstreamPiece(NamedTuple):
    """Hold a piece of an answer in the form in which the caller gets it."""

    sequence: int
    data: bytes
    tokens: int
    """Output tokens in this piece; 0 if the upstream doesn't count them."""


class ChunkUsage(msgspec.Struct, frozen=True):
    """Count the output tokens up to and including a chunk."""

    completion_tokens: int = 0


class EventChunk(msgspec.Struct, frozen=True):
    """Hold the fields used here of a chunk in the OpenAI format."""

    usage: ChunkUsage | None = None
    error: msgspec.Raw = msgspec.Raw()
    choices: tuple[msgspec.Raw, ...] = ()


CHUNK_DECODER = msgspec.json.Decoder(EventChunk)


class UpstreamStream:
    """Iterate over an arriving answer; raise `UpstreamLostError` if it is truncated."""

    def __init__(
        self,
        answer: OpenAnswer,
        peer: str,
        after: int = 0,
        delivered_tokens: int | None = 0,
    ) -> None:
        self.answer = answer
        self.response = answer.response
        self.peer = peer
        self.status = answer.response.status
        self.sequence = after
        self.delivered_tokens = delivered_tokens
        """Output tokens before the next event; None if unknown."""
        content_type = self.response.headers.get("Content-Type", "")
        self.is_event_stream = content_type.startswith(EVENT_STREAM)

    @property
    def headers(self) -> Headers:
        """Return the headers of the answer without those of the connection."""
        return end_to_end_headers(tuple(self.response.headers.items()), frozenset())

    def __iter__(self) -> Iterator[UpstreamPiece]:
        try:
            if self.is_event_stream:
                yield from self.read_events()
            else:
                yield from self.read_body()
        except (HTTPError, OSError, ValueError, AttributeError) as error:
            # Closing the stream from another thread makes a read fail with any of
            # these; in each case the end of the answer was not read.
            raise self.lost(str(error) or type(error).__name__) from error
        finally:
            self.close()

    def read_events(self) -> Iterator[UpstreamPiece]:
        """Yield events up to the final marker; raise if it is missing."""
        parser = EventParser()
        for data in self.response.stream(READ_BYTES, decode_content=False):
            for event in parser.feed(data):
                if self.accept_event(event):
                    yield self.to_piece(event)
                if event.data == DONE:
                    return
        raise self.lost("the stream ended before its final marker")

    def accept_event(self, event: ServerSentEvent) -> bool:
        """Advance to an event's number; return False for a repeat, raise on a gap."""
        number = int(event.event_id) if event.event_id else self.sequence + 1
        if number <= self.sequence:
            return False
        if number != self.sequence + 1:
            raise self.lost(f"event {number} came after event {self.sequence}")
        self.sequence = number
        return True

    def to_piece(self, event: ServerSentEvent) -> UpstreamPiece:
        """Return an event as a piece with its count of output tokens."""
        tokens = 0 if event.data == DONE else self.count_tokens(event.data)
        lines = event.data.replace(b"\n", b"\ndata: ")
        return UpstreamPiece(self.sequence, b"data: %b\n\n" % lines, tokens)

    def count_tokens(self, data: bytes) -> int:
        """Return the output tokens of a chunk; at most 1 if they aren't counted."""
        try:
            chunk = CHUNK_DECODER.decode(data)
        except msgspec.MsgspecError as error:
            raise self.lost(f"malformed event: {error}") from error
        if bytes(chunk.error) not in NO_ERROR:
            detail = bytes(chunk.error).decode(errors="replace")
            raise UpstreamFailedError(STREAM_STEP, self.peer, detail)
        if chunk.usage is None:
            return min(1, len(chunk.choices))
        before = self.delivered_tokens
        self.delivered_tokens = chunk.usage.completion_tokens
        return 1 if before is None else max(0, self.delivered_tokens - before)

    def read_body(self) -> Iterator[UpstreamPiece]:
        """Yield a body that has a length or is chunked."""
        self.check_framing()
        for data in self.response.stream(READ_BYTES, decode_content=False):
            self.sequence += 1
            yield UpstreamPiece(self.sequence, data, 0)

    def check_framing(self) -> None:
        """Raise if a body has no length or chunks: truncation would go undetected.

        A body that can't exist, as in the answer to HEAD, has the length zero, and a
        length that is no number counts as none.
        """
        has_length = self.response.length_remaining is not None
        if not (self.response.chunked or has_length):
            raise self.lost("the answer has neither a length nor chunks")

    def lost(self, detail: str) -> UpstreamLostError:
        """Return the error for an incomplete answer."""
        return UpstreamLostError(STREAM_STEP, self.peer, detail)

    def close(self) -> None:
        """Close the answer, from any thread; a blocked read ends at once."""
        self.answer.close()
