"""Parse what routing needs from the body of a model call.

Only the needed fields are decoded; the body is forwarded to the engine unchanged.
"""

from hashlib import blake2b
from typing import Annotated, NamedTuple

import msgspec

from cowslipshelf_callers.errors import BadCallError
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.gateway import PartDigest, shared_part_digests
from cowslipshelf_core.identifiers import ModelName

BYTES_PER_TOKEN = 4
"""Usual estimate for text; the engine counts exactly."""
DEFAULT_OUTPUT_TOKENS = 256
PREFIX_BYTES = 2048
"""Length of the start of a prompt that identifies the cached prefix it may share."""
HASH_BYTES = 8

PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=16_777_216)]
ModelField = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class ContentPart(msgspec.Struct):
    """Hold one part of a message; parts other than text are not counted."""

    text: str = ""


class ChatMessage(msgspec.Struct):
    """Hold one message of a conversation."""

    role: str
    content: str | list[ContentPart] | None = None


class ModelCallBody(msgspec.Struct):
    """Hold the fields that both kinds of model calls share."""

    model: ModelField
    stream: bool | None = None
    max_tokens: PositiveCount | None = None
    max_completion_tokens: PositiveCount | None = None
    n: PositiveCount | None = None


class ChatBody(ModelCallBody, kw_only=True):
    """Hold the body of a chat completion."""

    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]


class CompletionBody(ModelCallBody, kw_only=True):
    """Hold the body of a completion; a prompt is text, texts or lists of token ids."""

    prompt: str | list[str | int | list[int]]


class ModelCallFacts(NamedTuple):
    """Hold what routing needs to know about a model call."""

    model: ModelName
    streamed: bool
    prompt_tokens: int
    max_output_tokens: int
    prefix_hash: int
    shared_parts: tuple[PartDigest, ...] = ()
    """Parts of the prompt that other prompts may share."""


CHAT_DECODER = msgspec.json.Decoder(ChatBody)
COMPLETION_DECODER = msgspec.json.Decoder(CompletionBody)


def parse_chat(body: bytes) -> ModelCallFacts:
    """Parse the body of a chat completion."""
    decoded = _decode(CHAT_DECODER, body)
    texts = [text for message in decoded.messages for text in _texts(message)]
    facts = _facts(decoded, estimate_tokens(texts), hash_prefix(texts))
    earlier = (_message_key(message) for message in decoded.messages[:-1])
    return facts._replace(shared_parts=shared_part_digests(earlier))


def parse_completion(body: bytes) -> ModelCallFacts:
    """Parse the body of a completion."""
    decoded = _decode(COMPLETION_DECODER, body)
    prompt = decoded.prompt
    if isinstance(prompt, str):
        prompt = [prompt]
    texts = [item for item in prompt if isinstance(item, str)]
    ids = _token_ids(prompt)
    tokens = estimate_tokens(texts) + len(ids)
    if ids and not texts:
        texts = [" ".join(map(str, ids[:PREFIX_BYTES]))]
    return _facts(decoded, tokens, hash_prefix(texts))


def _message_key(message: ChatMessage) -> bytes:
    return msgspec.json.encode((message.role, _texts(message)))


def _texts(message: ChatMessage) -> list[str]:
    match message.content:
        case str() as text:
            return [text]
        case None:
            return []
        case parts:
            return [part.text for part in parts]


def _token_ids(prompt: list[str | int | list[int]]) -> list[int]:
    ids: list[int] = []
    for item in prompt:
        match item:
            case int():
                ids.append(item)
            case list():
                ids.extend(item)
    return ids


def estimate_tokens(texts: list[str]) -> int:
    """Estimate the number of tokens of all texts together."""
    size = sum(_byte_length(text) for text in texts)
    return -(-size // BYTES_PER_TOKEN)


def _byte_length(text: str) -> int:
    return len(text) if text.isascii() else len(text.encode())


def hash_prefix(texts: list[str]) -> int:
    """Hash the start of the prompt; stable across instances and restarts."""
    start = b""
    for text in texts:
        if len(start) >= PREFIX_BYTES:
            break
        start += text[:PREFIX_BYTES].encode()
    if not start:
        return 0
    digest = blake2b(start[:PREFIX_BYTES], digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def _facts(body: ModelCallBody, tokens: int, prefix_hash: int) -> ModelCallFacts:
    max_tokens = body.max_completion_tokens or body.max_tokens or DEFAULT_OUTPUT_TOKENS
    return ModelCallFacts(
        model=ModelName(body.model),
        streamed=bool(body.stream),
        prompt_tokens=tokens,
        max_output_tokens=max_tokens * (body.n or 1),
        prefix_hash=prefix_hash,
    )


def _decode(decoder: msgspec.json.Decoder, body: bytes) -> ModelCallBody:
    """Decode the body; the error names the byte or field that is wrong."""
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        refusal = Refusal(
            RefusalCode.NOT_RUN, RefusalReason.BAD_REQUEST, "parse", detail=str(error)
        )
        raise BadCallError(refusal) from error
