"""Work out what a prompt costs on an engine, from the engine's published model."""

import math
from typing import NamedTuple

from cowslipshelf_core.internal.gateway.configuration import EngineModel


class PromptSize(NamedTuple):
    """Say how long a prompt is and how long its answer may be, in tokens."""

    prompt_tokens: int
    max_output_tokens: int


def prefill_seconds(model: EngineModel, tokens: int, parts: int = 1) -> float:
    """Return the time to read one of `parts` even parts of a prompt.

    Each part has an even share of the prompt's pairs, which grow with the square of
    its length and are most of the cost above a hundred thousand tokens.
    """
    pairs = tokens * tokens / 2
    whole = (
        tokens * model.prefill_seconds_per_token
        + pairs * model.prefill_seconds_per_pair
    )
    return whole / parts


def prefill_chunks(model: EngineModel, tokens: int, parts: int = 1) -> int:
    """Return in how many pieces a part is read."""
    return max(1, math.ceil(tokens / parts / model.chunk_tokens))


def decode_pass_seconds(model: EngineModel, writers: int, context_tokens: int) -> float:
    """Return the time of a pass that reads nothing, with some requests writing."""
    step = (
        model.step_seconds
        + writers * model.step_seconds_per_decode
        + context_tokens * model.step_seconds_per_context_token
    )
    return model.steps_per_pass * step


def answer_value(size: PromptSize) -> float:
    """Return what an answer is taken to be worth, in short questions.

    Operators give no worth. Longer prompts are worth more to both users, nearly in
    proportion to their length; a short one counts for itself too, since a person
    waits for it.
    """
    return 1.0 + size.prompt_tokens / TOKENS_WORTH_ONE


TOKENS_WORTH_ONE = 10_000
"""Prompt tokens that are worth as much as a question of none. The users' sheets give
1.3 to questions of 5,000 tokens, 3.9 to 45,000 and 24 to 182,000, and this gives 1.5,
5.5 and 19."""


def admission_priority(size: PromptSize) -> int:
    """Return a prompt's rank where an engine has no slot free; low ones go first."""
    long = size.prompt_tokens > LONG_PROMPT_TOKENS
    return LONG_PROMPT_PRIORITY if long else SHORT_PROMPT_PRIORITY


SHORT_PROMPT_PRIORITY = 3
LONG_PROMPT_PRIORITY = 5
"""Ranks at an engine's admission, from 0 to 9: a short prompt goes before a long one,
which waits a few passes longer at most. Five is an engine's default."""
LONG_PROMPT_TOKENS = 24_000
"""Prompts above this take longer to read than a pass of an engine that writes."""
