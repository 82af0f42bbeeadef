"""Encode answers in the OpenAI format."""

import msgspec

from cowslipshelf_standins.internal.attempts import Attempt
from cowslipshelf_standins.internal.generation import generate

KEEP_ALIVE_COMMENT = b": keep-alive\n\n"
DONE_EVENT = b"id: %d\ndata: [DONE]\n\n"
FINISH_REASON = "length"
ROLE = "assistant"


class Usage(msgspec.Struct, frozen=True):
    """Count the tokens so far, including those of earlier attempts."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ChatDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold a piece of a chat message, or all of it."""

    content: str
    role: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """Hold a piece of a completion, or all of it."""

    text: str
    index: int = 0
    finish_reason: str | None = None


class ChatDeltaChoice(msgspec.Struct, frozen=True):
    """Hold a piece of a chat completion."""

    delta: ChatDelta
    index: int = 0
    finish_reason: str | None = None


class ChatChoice(msgspec.Struct, frozen=True):
    """Hold a complete chat completion."""

    message: ChatDelta
    index: int = 0
    finish_reason: str | None = None


class Answer(msgspec.Struct, frozen=True):
    """Hold an answer, or one chunk of it."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice | ChatDeltaChoice | ChatChoice, ...]
    usage: Usage


def answer_event(attempt: Attempt, sequence: int) -> bytes:
    """Return the encoded event with a sequence number."""
    first = attempt.tokens_before(sequence - 1)
    last = attempt.event_ends[sequence - 1]
    answer = build_answer(attempt, first, last, whole=False)
    return b"id: %d\ndata: %b\n\n" % (sequence, msgspec.json.encode(answer))


def whole_answer(attempt: Attempt) -> bytes:
    """Return the encoded non-streamed answer of a finished attempt."""
    last = attempt.generated
    return msgspec.json.encode(build_answer(attempt, attempt.resume_from, last, True))


def build_answer(attempt: Attempt, first: int, last: int, whole: bool) -> Answer:
    """Return an answer with the output tokens from `first` up to `last`."""
    prompt = attempt.prompt
    text = generate(prompt.seed, first, last)
    at_end = last >= prompt.max_output_tokens
    reason = FINISH_REASON if at_end else None
    if not prompt.chat:
        kind = "text_completion"
        choice = Choice(text, 0, reason)
    elif whole:
        kind = "chat.completion"
        choice = ChatChoice(ChatDelta(text, ROLE), 0, reason)
    else:
        kind = "chat.completion.chunk"
        role = None if first else ROLE
        choice = ChatDeltaChoice(ChatDelta(text, role), 0, reason)
    return Answer(
        id=attempt.completion_id,
        object=kind,
        created=0,
        model=prompt.model,
        choices=(choice,),
        usage=Usage(prompt.tokens, last, prompt.tokens + last),
    )
