"""Compute what a prompt costs on an engine, from the model of the engine."""

import math
from typing import NamedTuple

from cowslipshelf_core.internal.gateway.configuration import EngineModel


class PromptSize(NamedTuple):
    """Hold the length of a prompt and the longest answer it may get, in tokens."""

    prompt_tokens: int
    max_output_tokens: int


def prefill_seconds(model: EngineModel, tokens: int, parts: int = 1) -> float:
    """Return the time to prefill one of `parts` even parts of a prompt.

    Each part has an even share of the prompt's token pairs, which grow with the square
    of its length and are most of the cost above a hundred thousand tokens.
    """
    pairs = tokens * tokens / 2
    whole = (
        tokens * model.prefill_seconds_per_token
        + pairs * model.prefill_seconds_per_pair
    )
    return whole / parts


def prefill_chunks(model: EngineModel, tokens: int, parts: int = 1) -> int:
    """Return in how many chunks a part is prefilled."""
    return max(1, math.ceil(tokens / parts / model.chunk_tokens))


def decode_pass_seconds(
    model: EngineModel, decoding: int, context_tokens: int
) -> float:
    """Return the time of a pass that prefills nothing, by its decoding requests."""
    step = (
        model.step_seconds
        + decoding * model.step_seconds_per_decode
        + context_tokens * model.step_seconds_per_context_token
    )
    return model.steps_per_pass * step


def answer_value(size: PromptSize) -> float:
    """Return the assumed value of an answer, relative to that of a short prompt.

    Operators configure no value. Longer prompts are worth more to both users of this
    software, nearly in proportion to their length; a short one has a value of its own
    too, since a person waits for the answer.
    """
    return 1.0 + size.prompt_tokens / TOKENS_PER_VALUE


TOKENS_PER_VALUE = 10_000
"""Prompt tokens that add a value of 1, which is that of an empty prompt. The users'
tables of value give 1.3 to prompts of 5,000 tokens, 3.9 to 45,000 and 24 to 182,000;
this gives 1.5, 5.5 and 19."""


def admission_priority(size: PromptSize) -> int:
    """Return a prompt's priority when an engine has no free slot; low goes first."""
    long = size.prompt_tokens > LONG_PROMPT_TOKENS
    return LONG_PROMPT_PRIORITY if long else SHORT_PROMPT_PRIORITY


SHORT_PROMPT_PRIORITY = 3
LONG_PROMPT_PRIORITY = 5
"""Admission priorities at an engine, from 0 to 9: a short prompt goes before a long
one, which waits a few passes longer at most. Five is an engine's default."""
LONG_PROMPT_TOKENS = 24_000
"""Longer prompts take more time to prefill than a pass of a decoding engine."""
