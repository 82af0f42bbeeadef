"""Choose the engines for a prompt by what its placing costs everybody who shares them.

Short prompts suffer from long ones in two ways: they wait behind a long read, and
while they write, a pass that also reads a long prompt holds up their next token. Long
prompts suffer from being read by one engine alone. So a prompt may be read in even
parts by several engines, and the choice weighs its own lateness against the harm done.
"""

import math
from dataclasses import dataclass
from random import Random

from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.gateway.configuration import EngineModel
from cowslipshelf_core.internal.gateway.engine_forecast import lateness
from cowslipshelf_core.internal.gateway.engine_tracker import EngineTracker
from cowslipshelf_core.internal.gateway.messages import EnginePart, EngineWork
from cowslipshelf_core.internal.gateway.placement_cost import (
    SHORT_READ_SECONDS,
    EngineCandidate,
    Part,
    Placing,
    PromptToPlace,
    Seen,
    Share,
    free_memory,
    helper_share,
    look_at,
    ready_times,
    until_written,
    writer_share,
)
from cowslipshelf_core.internal.gateway.prompt_cost import (
    answer_value,
    prefill_chunks,
    prefill_seconds,
)

PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
"""Numbers of engines that are tried for one prompt; the engines take 16 helpers."""
EXTRA_ENGINE_COST = 0.016
"""Charged for each further engine, in short questions; parts of a few milliseconds
gain less than the extra passes cost."""
MAX_ENGINES_WEIGHED = 24
"""Engines that are weighed for a prompt that one engine can hold, drawn anew each time.
A long one may be read by 16; weighing more costs a processor as much as it gains."""
MAX_ENGINES_WEIGHED_FOR_SHORT = 8
"""The same for a prompt that is read at once. Such prompts come by the hundred, and
gateways that weigh the same engines meet on the cheapest one before they have heard of
each other: each further one waits there for a slot. A few drawn at random are nearly as
cheap, and seldom the same."""
NO_BOUND = 1 << 30
"""More engines than any fleet has."""
RESERVED_MARGIN = 1.03
"""Memory reserved over what is counted: engines set it aside in blocks, and a prompt
that lacks one is cut off."""
UNKNOWN_PAUSE_SECONDS = 1.0
"""Pause allowed where a route gives none."""


@dataclass(frozen=True, slots=True)
class EnginesChosen:
    """Name the engine that writes, and those that help it to read."""

    work: EngineWork
    first_token_seconds: float
    """Predicted time until the first token."""
    cost: float

    @property
    def upstream_id(self) -> UpstreamId:
        """Return the engine that gets the request."""
        return self.work.parts[0].upstream_id

    @property
    def helpers(self) -> tuple[UpstreamId, ...]:
        """Return the engines that help to read."""
        return tuple(part.upstream_id for part in self.work.parts[1:])


@dataclass(frozen=True, slots=True)
class NoEngine:
    """Say that no engine can serve a prompt in time, and when one might."""

    reason: str
    retry_after_seconds: float


def place_prompt(
    asked: PromptToPlace,
    candidates: list[EngineCandidate],
    model: EngineModel,
    board: EngineTracker,
    now: float,
    random: Random,
) -> EnginesChosen | NoEngine:
    """Choose the engines that cost least, or say that there are none in time."""
    if not candidates:
        return NoEngine("no engine of the service is known", 1.0)
    needed = asked.needed_tokens
    most = most_looked_at(asked, model)
    looked_at = random.sample(candidates, min(most, len(candidates)))
    seen = [look_at(candidate, model, board, now) for candidate in looked_at]
    roomy = [each for each in seen if free_memory(each, model) >= needed]
    work = EngineWork(
        asked.attempt_id,
        (),
        answer_value(asked.size),
        asked.objective_seconds,
        asked.pause_seconds or UNKNOWN_PAUSE_SECONDS,
    )
    placing = Placing(asked, model, seen, roomy, ready_times(seen), work)
    best = cheapest_choice(placing)
    if best is None:
        reason = "the engines together have no memory for the prompt"
        return NoEngine(reason, shortest_wait(seen))
    if best.first_token_seconds > asked.left_seconds:
        wait = best.first_token_seconds - asked.left_seconds
        return NoEngine("no engine can answer in time", wait)
    return best


def cheapest_choice(placing: Placing) -> EnginesChosen | None:
    """Try numbers of engines, as long as one more might cost less."""
    best: EnginesChosen | None = None
    choose = choose_parts if placing.roomy else share_memory
    for parts in PART_COUNTS:
        least = EXTRA_ENGINE_COST * (parts - 1)
        if parts > len(placing.seen) or (best is not None and best.cost <= least):
            break
        if parts > 1 and is_short(placing.asked, placing.model, parts // 2):
            break
        choice = choose(placing, parts)
        if choice is not None and (best is None or choice.cost < best.cost):
            best = choice
    return best


def most_looked_at(asked: PromptToPlace, model: EngineModel) -> int:
    """Return how many engines to weigh; a prompt that fits none alone may need any."""
    if asked.needed_tokens > model.memory_tokens:
        return NO_BOUND
    short = prefill_seconds(model, asked.size.prompt_tokens) < SHORT_READ_SECONDS
    return MAX_ENGINES_WEIGHED_FOR_SHORT if short else MAX_ENGINES_WEIGHED


def shortest_wait(seen: list[Seen]) -> float:
    """Return the time until the first engine will have read what it has."""
    return max(0.1, min(each.view.backlog_seconds for each in seen))


def is_short(asked: PromptToPlace, model: EngineModel, parts: int) -> bool:
    """Tell whether parts are so short that more engines would gain nothing."""
    seconds = prefill_seconds(model, asked.size.prompt_tokens, parts)
    return seconds < SHORT_READ_SECONDS / 4


def choose_parts(placing: Placing, parts: int) -> EnginesChosen:
    """Choose a number of engines, the cheapest ones; the one that writes holds all."""
    held = (placing.needed_tokens, *(0 for _ in range(parts - 1)))
    return combine(placing, placing.roomy, placing.seen, held)


def share_memory(placing: Placing, parts: int) -> EnginesChosen | None:
    """Choose a number of engines which hold the prompt's memory together, if any do.

    Each holds an even share, so that a step of the answer costs the context of an
    even share only.
    """
    if parts == 1:
        return None
    share = math.ceil(placing.needed_tokens * RESERVED_MARGIN / parts)
    able = [each for each in placing.seen if free_memory(each, placing.model) >= share]
    if len(able) < parts:
        return None
    return combine(placing, able, able, (share,) * parts)


def combine(
    placing: Placing, writers: list[Seen], others: list[Seen], held: tuple[int, ...]
) -> EnginesChosen:
    """Choose one of the writers and the helpers beside it; `held` is their memory."""
    part = part_of(placing, len(held))
    writer = best_writer(placing, part, writers)
    helpers = best_helpers(placing, part, writer, others)[: len(held) - 1]
    return chosen(placing, part, writer, helpers, held)


def part_of(placing: Placing, parts: int) -> Part:
    """Return an even part of the prompt."""
    model, tokens = placing.model, placing.asked.size.prompt_tokens
    return Part(
        prefill_seconds(model, tokens, parts), prefill_chunks(model, tokens, parts)
    )


def best_writer(placing: Placing, part: Part, engines: list[Seen]) -> Share:
    """Choose the engine that costs least as the one that writes."""
    shares = (writer_share(each, part, placing) for each in engines)
    return min(shares, key=lambda share: share.rank)


def best_helpers(
    placing: Placing, part: Part, writer: Share, engines: list[Seen]
) -> list[Share]:
    """List the other engines, those first that cost least as helpers."""
    others = (each for each in engines if each is not writer.seen)
    shares = [helper_share(each, part, placing) for each in others]
    return sorted(shares, key=lambda share: share.rank)


def chosen(
    placing: Placing,
    part: Part,
    writer: Share,
    helpers: list[Share],
    held: tuple[int, ...],
) -> EnginesChosen:
    """Add up what a choice costs; `held` is the memory on each engine."""
    shares = (writer, *helpers)
    until_read = max(share.ready_seconds for share in shares)
    first_token = until_read + until_written(writer.seen, alone=not helpers)
    worth = placing.work.value
    cost = (
        worth * lateness(first_token / placing.asked.objective_seconds)
        + worth * max(share.seen.candidate.penalty for share in shares)
        + sum(share.harm for share in shares)
        + EXTRA_ENGINE_COST * len(helpers)
    )
    parts = tuple(
        EnginePart(
            share.seen.candidate.upstream_id,
            part.on(share.seen).prefill_seconds,
            part.chunks,
            share is writer,
            tokens,
        )
        for share, tokens in zip(shares, held, strict=True)
    )
    return EnginesChosen(placing.work._replace(parts=parts), first_token, cost)
