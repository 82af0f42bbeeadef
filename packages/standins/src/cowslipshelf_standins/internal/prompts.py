"""Parse requests in the OpenAI format and count their prompt tokens."""

from hashlib import blake2b
from typing import Annotated, NamedTuple

import msgspec

from cowslipshelf_standins.internal.http_serving import BadRequestError

BYTES_PER_TOKEN = 4
BYTES_PER_TOKEN_ID = 4
TOKENS_PER_BLOCK = 256
BLOCK_HASH_BYTES = 8
DEFAULT_MAX_TOKENS = 16

TokenId = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]


class ChatPart(msgspec.Struct, frozen=True):
    """Hold one part of a chat message with several parts."""

    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """Hold one message of a chat."""

    role: str
    content: str | list[ChatPart] | None = None


class CompletionBody(msgspec.Struct, frozen=True):
    """Hold the body of a completion request in the OpenAI format."""

    model: str
    prompt: str | list[TokenId] | None = None
    messages: list[ChatMessage] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = None


class Prompt(NamedTuple):
    """Hold a prompt as the engine processes it."""

    model: str
    tokens: int
    max_output_tokens: int
    stream: bool
    chat: bool
    seed: int
    """Determines all output tokens, so that all engines generate the same."""
    block_hashes: tuple[int, ...]
    """Chained hashes of the complete blocks, from the start."""


BODY_DECODER = msgspec.json.Decoder(CompletionBody)


def prompt_from_body(body: bytes, chat: bool) -> Prompt:
    """Return the prompt of a request body, or raise `BadRequestError`."""
    try:
        request = BODY_DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise BadRequestError(400, "bad_request", str(error)) from error
    content, bytes_per_token = prompt_bytes(request, chat)
    tokens = -(-len(content) // bytes_per_token)
    max_output = request.max_completion_tokens or request.max_tokens
    max_output = DEFAULT_MAX_TOKENS if max_output is None else max_output
    if tokens < 1 or max_output < 1:
        raise BadRequestError(400, "bad_request", "prompt and max_tokens must be > 0")
    seed = blake2b(content, digest_size=8, key=request.model.encode()[:64]).digest()
    return Prompt(
        model=request.model,
        tokens=tokens,
        max_output_tokens=max_output,
        stream=bool(request.stream),
        chat=chat,
        seed=int.from_bytes(seed),
        block_hashes=hash_blocks(content, TOKENS_PER_BLOCK * bytes_per_token),
    )


def prompt_bytes(request: CompletionBody, chat: bool) -> tuple[bytes, int]:
    """Return the prompt as bytes, and the number of bytes per token."""
    if chat:
        if not request.messages:
            raise BadRequestError(400, "bad_request", "messages are missing")
        lines = [f"{m.role}: {message_text(m)}\n" for m in request.messages]
        return "".join(lines).encode(), BYTES_PER_TOKEN
    if not request.prompt:
        raise BadRequestError(400, "bad_request", "prompt is missing")
    if isinstance(request.prompt, str):
        return request.prompt.encode(), BYTES_PER_TOKEN
    ids = b"".join(i.to_bytes(BYTES_PER_TOKEN_ID) for i in request.prompt)
    return ids, BYTES_PER_TOKEN_ID


def message_text(message: ChatMessage) -> str:
    """Return the text of a chat message with one or several parts."""
    if isinstance(message.content, list):
        return "".join(part.text for part in message.content)
    return message.content or ""


def hash_blocks(content: bytes, block_bytes: int) -> tuple[int, ...]:
    """Return the chained hash of each complete block."""
    hashes = []
    chained = b""
    for start in range(0, len(content) - block_bytes + 1, block_bytes):
        block = content[start : start + block_bytes]
        chained = blake2b(block, digest_size=BLOCK_HASH_BYTES, key=chained).digest()
        hashes.append(int.from_bytes(chained))
    return tuple(hashes)
