"""Keep the order of an answer's pieces and decide when they are passed on.

What the caller has can't be taken back, so an answer is passed on no further than
the point from which another upstream could go on:

* an answer that is wanted whole is held back to its end;
* a stream that an engine can continue is passed on up to the last piece with tokens,
  since an engine skips whole tokens and would send the pieces without any again;
* any other stream is passed on as it comes, and can't be moved once it has begun.

What is held back is bounded: past the bound it is passed on, and then the answer can
only be resumed where it runs.
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
    """Hold what the caller has and what is held back."""

    streamed: bool
    continuable: bool
    stores_answer: bool
    max_buffered_bytes: int
    max_stored_answer_bytes: int
    head: StreamHead | None = None
    head_sent: bool = False
    delivered_tokens: int = 0
    flushed_at_token: bool = True
    buffered: list[bytes] = field(default_factory=list)
    buffered_bytes: int = 0
    buffered_tokens: int = 0
    stored: list[bytes] = field(default_factory=list)
    stored_bytes: int = 0

    @classmethod
    def from_config(cls, request: CallerRequest, config: RequestConfig) -> "Delivery":
        """Choose how the request's answer is passed on."""
        return cls(
            streamed=request.streamed,
            continuable=request.can_be_continued(),
            stores_answer=request.has_key(),
            max_buffered_bytes=config.max_buffered_bytes,
            max_stored_answer_bytes=config.max_stored_answer_bytes,
        )

    def can_retry_elsewhere(self) -> bool:
        """Tell whether another attempt can give what the caller still lacks."""
        return not self.head_sent or (self.continuable and self.flushed_at_token)

    def reset_for_retry(self) -> None:
        """Forget what is held back, for another attempt will give it again."""
        self.buffered.clear()
        self.buffered_bytes = 0
        self.buffered_tokens = 0
        if not self.head_sent:
            self.head = None

    def accept_head(self, head: StreamHead) -> bool:
        """Take the head of an attempt; False where it contradicts the sent one."""
        if not self.head_sent:
            self.head = head
            return True
        return self.head is not None and self.head.status == head.status

    def add_chunk(self, chunk: StreamChunk) -> list[RequestEffect]:
        """Take the next piece in order and pass on what may be."""
        self.buffered.append(chunk.data)
        self.buffered_bytes += len(chunk.data)
        self.buffered_tokens += chunk.tokens
        self.store(chunk.data)
        if not self.must_flush(chunk):
            return []
        self.flushed_at_token = chunk.tokens > 0
        return self.flush()

    def must_flush(self, chunk: StreamChunk) -> bool:
        """Tell whether what is held back goes to the caller with this piece."""
        if self.buffered_bytes > self.max_buffered_bytes:
            return True
        return self.streamed and not (self.continuable and not chunk.tokens)

    def store(self, data: bytes) -> None:
        """Keep a copy for resends, as long as the answer is small enough."""
        if not self.stores_answer:
            return
        self.stored_bytes += len(data)
        if self.stored_bytes > self.max_stored_answer_bytes:
            self.stored.clear()
            return
        self.stored.append(data)

    def flush(self) -> list[RequestEffect]:
        """Give the caller all that is held back, after the head."""
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
        """Be the answer that resends get, once it has ended whole."""
        if self.head is None:
            return None
        whole = self.stored_bytes <= self.max_stored_answer_bytes
        body = b"".join(self.stored) if whole else b""
        return StoredAnswer(self.head.status, self.head.headers, body, whole)
