"""Assemble a non-streamed answer from an engine's stream.

An engine sends nothing of a non-streamed answer until it is complete, so a dead engine
would be detected only at the deadline, and a truncated answer could not be resumed. So
a stream is requested instead: a live engine never pauses one for long, and what arrived
before a cut is kept.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cowslipshelf_upstreams.internal.connections import Headers, OpenAnswer
from cowslipshelf_upstreams.internal.stream import (
    DONE_PIECE,
    UpstreamPiece,
    UpstreamStream,
)

ASSEMBLABLE_FIELDS = frozenset(
    (
        "frequency_penalty",
        "max_completion_tokens",
        "max_tokens",
        "messages",
        "model",
        "presence_penalty",
        "prompt",
        "seed",
        "stop",
        "stream",
        "temperature",
        "top_p",
        "user",
    )
)
"""Request fields with which joining the texts of the chunks gives the whole answer."""

STREAM_FIELDS = {
    "stream": msgspec.Raw(b"true"),
    "stream_options": msgspec.Raw(b'{"include_usage":true}'),
}
TEXT_FIELDS = frozenset(("content", "reasoning_content", "refusal", "text"))
CHUNK_SUFFIX = ".chunk"
JSON_TYPE = "application/json"

# Chunks may have fields beyond the OpenAI format; all are kept.
JsonObject = dict[str, Any]


class ChoicesError(ValueError):
    """Report a chunk with more choices than were requested."""


@dataclass(slots=True)
class AnswerAssembly:
    """Collect a non-streamed answer over all connections of its attempt."""

    sequence: int = 0
    tokens: int = 0
    reported_tokens: int = 0
    """Tokens that the pieces yielded so far have counted."""
    answer: JsonObject = field(default_factory=dict)
    choice: JsonObject = field(default_factory=dict)

    def add(self, piece: UpstreamPiece) -> None:
        """Add the next piece of the stream."""
        self.sequence = piece.sequence
        self.tokens += piece.tokens
        if piece.data == DONE_PIECE:
            return
        chunk = msgspec.json.decode(piece.data.removeprefix(b"data: "))
        choices = chunk.pop("choices", [])
        merge(self.answer, chunk)
        if len(choices) > 1:
            raise ChoicesError("one choice was asked for")
        for choice in choices:
            message = choice.pop("delta", None)
            if message is not None:
                merge(self.choice.setdefault("message", {}), message)
            merge(self.choice, choice)

    def encode_answer(self) -> bytes:
        """Return the answer, once its stream is complete."""
        kind = str(self.answer.get("object", "")).removesuffix(CHUNK_SUFFIX)
        whole = self.answer | {"object": kind, "choices": [self.choice]}
        return msgspec.json.encode(whole)


def merge(whole: JsonObject, part: JsonObject) -> None:
    """Append the text fields of a part and set its other fields."""
    for name, value in part.items():
        if name in TEXT_FIELDS and isinstance(value, str):
            whole[name] = (whole.get(name) or "") + value
        elif value is not None or name not in whole:
            whole[name] = value


class AssembledStream(UpstreamStream):
    """Yield an assembled answer: an empty piece at the first token, then all of it."""

    def __init__(
        self,
        answer: OpenAnswer,
        peer: str,
        assembly: AnswerAssembly,
        pieces_yielded: int,
        on_complete: Callable[[], object],
    ) -> None:
        super().__init__(answer, peer, assembly.sequence, assembly.tokens)
        self.assembly = assembly
        self.pieces_yielded = pieces_yielded
        self.on_complete = on_complete

    @property
    def headers(self) -> Headers:
        """Return the headers of the assembled answer."""
        rest = (pair for pair in super().headers if pair[0].lower() != "content-type")
        return (*rest, ("Content-Type", JSON_TYPE))

    def read_events(self) -> Iterator[UpstreamPiece]:
        """Yield an empty piece at the first token, and the answer at the end."""
        for piece in super().read_events():
            self.assembly.add(piece)
            if self.assembly.tokens and not self.pieces_yielded:
                yield self.next_piece(b"")
        yield self.next_piece(self.assembly.encode_answer())
        self.on_complete()

    def next_piece(self, data: bytes) -> UpstreamPiece:
        """Return the next piece, with the tokens that arrived since the last one."""
        given = self.assembly.reported_tokens if self.pieces_yielded else 0
        tokens = self.assembly.tokens - given
        self.assembly.reported_tokens = self.assembly.tokens
        self.pieces_yielded += 1
        return UpstreamPiece(self.pieces_yielded, data, tokens)


def stream_request_body(body: bytes) -> bytes | None:
    """Turn the request for a non-streamed answer into one for a stream.

    Return None if the request asks for a stream already, or has fields outside
    `ASSEMBLABLE_FIELDS`.
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except msgspec.MsgspecError:
        return None
    wants_stream = bytes(fields.get("stream", b"false")) == b"true"
    if wants_stream or not ASSEMBLABLE_FIELDS.issuperset(fields):
        return None
    return msgspec.json.encode(fields | STREAM_FIELDS)
