"""Work out what a prompt costs on an engine, from the engine's published model."""

import math
from typing import NamedTuple

from cowslipshelf_core.internal.routed.configuration import EngineModel


class PromptSize(NamedTuple):
    """Say how long a prompt is and how long its answer may be, in tokens."""

    prompt_tokens: int
    most_output_tokens: int


def read_seconds(model: EngineModel, tokens: int, parts: int = 1) -> float:
    """Return the time to read one of `parts` even parts of a prompt.

    Each part has an even share of the prompt's pairs, which grow with the square of
    its length and are most of the cost above a hundred thousand tokens.
    """
    pairs = tokens * tokens / 2
    whole = tokens * model.read_seconds_per_token + pairs * model.seconds_per_pair
    return whole / parts


def read_chunks(model: EngineModel, tokens: int, parts: int = 1) -> int:
    """Return in how many pieces a part is read."""
    return max(1, math.ceil(tokens / parts / model.chunk_tokens))


def pass_seconds(model: EngineModel, writers: int, context_tokens: int) -> float:
    """Return the time of a pass that reads nothing, with some requests writing."""
    step = (
        model.step_seconds
        + writers * model.step_seconds_per_writer
        + context_tokens * model.step_seconds_per_context_token
    )
    return model.steps_per_pass * step


def worth_of(model: EngineModel, size: PromptSize) -> float:
    """Return what an answer is taken to be worth, in engine-seconds.

    Operators give no worth. Longer prompts are worth more to both users, about as
    much as the engines' time that goes into them; the constant keeps short ones from
    counting for nothing, who are many and wait for a person.
    """
    return SHORT_WORTH + read_seconds(model, size.prompt_tokens)


SHORT_WORTH = 0.25
"""Engine-seconds. The users' sheets give a short question 1.3, a digest of 45,000
tokens 3.9 and a file of 182,000 tokens 24, which this fits within a third."""
