"""Buffer the chunks of an answer and decide when they are sent to the caller.

What was sent to the caller can't be taken back, so an answer is sent no further than
the point from which another upstream could continue it:

* an answer that is not streamed is buffered to its end;
* a stream that an engine can continue is sent up to the last chunk with tokens, since
  another engine skips whole tokens and sends the chunks without tokens again;
* any other stream is sent as it arrives, and can't move to another upstream once it
  has begun.

The buffer is bounded: beyond the bound it is flushed, and then the answer can only be
resumed at the same upstream.
"""

from dataclasses import dataclass, field

from cowslipshelf_core.internal.requests.caller_request import (
    CallerRequest,
    RequestConfig,
)
from cowslipshelf_core.internal.requests.effects import (
    AnswerChunk,
    AnswerHead,
    RequestEffect,
)
from cowslipshelf_core.messages import StoredAnswer, StreamChunk, StreamHead


@dataclass(slots=True)
class Delivery:
    """Track what was sent to the caller and what is buffered."""

    streamed: bool
    continuable: bool
    """Whether another engine can continue the answer within its stream."""
    stores_answer: bool
    max_buffered_bytes: int
    max_stored_answer_bytes: int
    head: StreamHead | None = None
    head_sent: bool = False
    delivered_tokens: int = 0
    flushed_at_token: bool = True
    """Whether the last chunk that was sent had tokens."""
    buffered: list[bytes] = field(default_factory=list)
    """Chunks that were not sent to the caller yet."""
    buffered_bytes: int = 0
    buffered_tokens: int = 0
    stored: list[bytes] = field(default_factory=list)
    """Copy of the answer for resends."""
    stored_bytes: int = 0

    @classmethod
    def from_config(cls, request: CallerRequest, config: RequestConfig) -> "Delivery":
        """Create the delivery of one request's answer."""
        return cls(
            streamed=request.streamed,
            continuable=request.can_be_continued(),
            stores_answer=request.has_key(),
            max_buffered_bytes=config.max_buffered_bytes,
            max_stored_answer_bytes=config.max_stored_answer_bytes,
        )

    def can_retry_elsewhere(self) -> bool:
        """Return whether another attempt can supply the rest of the answer."""
        return not self.head_sent or (self.continuable and self.flushed_at_token)

    def reset_for_retry(self) -> None:
        """Clear the buffer, since the next attempt sends its content again."""
        self.buffered.clear()
        self.buffered_bytes = 0
        self.buffered_tokens = 0
        if not self.head_sent:
            self.head = None

    def accept_head(self, head: StreamHead) -> bool:
        """Set the head; return False if its status differs from the one sent."""
        if not self.head_sent:
            self.head = head
            return True
        return self.head is not None and self.head.status == head.status

    def add_chunk(self, chunk: StreamChunk) -> list[RequestEffect]:
        """Add the next chunk in order, and return what is sent to the caller."""
        self.buffered.append(chunk.data)
        self.buffered_bytes += len(chunk.data)
        self.buffered_tokens += chunk.tokens
        self.store(chunk.data)
        if not self.must_flush(chunk):
            return []
        self.flushed_at_token = chunk.tokens > 0
        return self.flush()

    def must_flush(self, chunk: StreamChunk) -> bool:
        """Return whether the buffer is sent to the caller after this chunk."""
        if self.buffered_bytes > self.max_buffered_bytes:
            return True
        return self.streamed and not (self.continuable and not chunk.tokens)

    def store(self, data: bytes) -> None:
        """Keep a copy for resends unless the answer is too large."""
        if not self.stores_answer:
            return
        self.stored_bytes += len(data)
        if self.stored_bytes > self.max_stored_answer_bytes:
            self.stored.clear()
            return
        self.stored.append(data)

    def flush(self) -> list[RequestEffect]:
        """Send the head, if it was not sent yet, and the buffer."""
        effects: list[RequestEffect] = []
        if not self.head_sent and self.head is not None:
            self.head_sent = True
            effects.append(AnswerHead(self.head.status, self.head.headers))
        data = self.buffered[0] if len(self.buffered) == 1 else b"".join(self.buffered)
        if data:
            effects.append(AnswerChunk(data))
        self.delivered_tokens += self.buffered_tokens
        self.buffered.clear()
        self.buffered_bytes = 0
        self.buffered_tokens = 0
        return effects

    def stored_answer(self) -> StoredAnswer | None:
        """Return the answer for resends, after it has ended complete."""
        if self.head is None:
            return None
        whole = self.stored_bytes <= self.max_stored_answer_bytes
        body = b"".join(self.stored) if whole else b""
        return StoredAnswer(self.head.status, self.head.headers, body, whole)
