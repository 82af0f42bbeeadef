"""Choose the engines for a prompt by the cost to all prompts that share them.

Long prompts delay short ones in two ways: short ones wait behind a long prefill, and
while they decode, a pass that also prefills a long prompt delays their next token. Long
prompts are late if one engine alone prefills them. So a prompt may be prefilled in even
parts by several engines, and the choice weighs its own lateness against the harm to
others.
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
    NO_DISTANCE,
    SHORT_PREFILL_SECONDS,
    AssessedEngine,
    Distance,
    EngineCandidate,
    PartCost,
    Placing,
    PromptPart,
    PromptToPlace,
    assess_engine,
    decoder_cost,
    first_event_delay,
    free_memory,
    helper_cost,
    ready_times,
)
from cowslipshelf_core.internal.gateway.prompt_cost import (
    answer_value,
    prefill_chunks,
    prefill_seconds,
)

PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
"""Numbers of engines that are tried for one prompt; an engine accepts 16 helpers."""
EXTRA_ENGINE_COST = 0.016
"""Cost of each further engine, in units of the value of a short prompt's answer; parts
of a few milliseconds gain less than the extra passes cost."""
MAX_ENGINES_WEIGHED = 24
"""Engines that are weighed for a prompt that fits one engine, a new random sample each
time. A long prompt may use 16; weighing more engines costs as much processor time as
the better choice gains."""
MAX_ENGINES_WEIGHED_FOR_SHORT = 8
"""The same for a prompt with a short prefill. Such prompts arrive by the hundred, and
gateways that weigh the same engines all choose the cheapest one before they hear of
each other's placements, so that each further prompt waits there for a slot. The best of
a small random sample costs nearly as little, and is seldom the same engine."""
UNLIMITED = 1 << 30
"""More engines than any fleet has."""
MEMORY_MARGIN = 1.03
"""Factor on the memory that is reserved: engines allocate it in blocks, and a prompt
that lacks a block is cut off."""
DEFAULT_PAUSE_SECONDS = 1.0
"""Allowed pause on a route that configures none."""


@dataclass(frozen=True, slots=True)
class EnginesChosen:
    """Hold the engine that decodes, and those that help it with the prefill."""

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
        """Return the engines that help with the prefill."""
        return tuple(part.upstream_id for part in self.work.parts[1:])


@dataclass(frozen=True, slots=True)
class NoEngine:
    """Report that no engine can answer a prompt in time, and when one might."""

    reason: str
    retry_after_seconds: float


def place_prompt(
    prompt: PromptToPlace,
    candidates: list[EngineCandidate],
    model: EngineModel,
    tracker: EngineTracker,
    now: float,
    random: Random,
    distance: Distance = NO_DISTANCE,
) -> EnginesChosen | NoEngine:
    """Choose the engines with the lowest cost, if any can answer in time."""
    if not candidates:
        return NoEngine("no engine of the service is known", 1.0)
    needed = prompt.needed_tokens
    most = max_engines_weighed(prompt, model)
    sampled = sample_engines(candidates, most, distance, random)
    engines = [assess_engine(candidate, model, tracker, now) for candidate in sampled]
    roomy = [each for each in engines if free_memory(each, model) >= needed]
    work = EngineWork(
        prompt.attempt_id,
        (),
        answer_value(prompt.size) * prompt.weight,
        prompt.objective_seconds,
        prompt.pause_seconds or DEFAULT_PAUSE_SECONDS,
    )
    placing = Placing(
        prompt, model, engines, roomy, ready_times(engines), work, distance
    )
    best = cheapest_choice(placing)
    if best is None:
        reason = "the engines together have no memory for the prompt"
        return NoEngine(reason, shortest_wait(engines))
    if best.first_token_seconds > prompt.left_seconds:
        wait = best.first_token_seconds - prompt.left_seconds
        return NoEngine("no engine can answer in time", wait)
    return best


def cheapest_choice(placing: Placing) -> EnginesChosen | None:
    """Try growing numbers of engines while a further one might lower the cost."""
    best: EnginesChosen | None = None
    choose = split_prefill if placing.roomy else split_memory
    for parts in PART_COUNTS:
        least = EXTRA_ENGINE_COST * placing.prompt.weight * (parts - 1)
        if parts > len(placing.engines) or (best is not None and best.cost <= least):
            break
        if parts > 1 and is_short(placing.prompt, placing.model, parts // 2):
            break
        choice = choose(placing, parts)
        if choice is not None and (best is None or choice.cost < best.cost):
            best = choice
    return best


def max_engines_weighed(prompt: PromptToPlace, model: EngineModel) -> int:
    """Return how many engines to weigh: any number if no single one fits the prompt."""
    if prompt.needed_tokens > model.memory_tokens:
        return UNLIMITED
    short = prefill_seconds(model, prompt.size.prompt_tokens) < SHORT_PREFILL_SECONDS
    return MAX_ENGINES_WEIGHED_FOR_SHORT if short else MAX_ENGINES_WEIGHED


def sample_engines(
    candidates: list[EngineCandidate], most: int, distance: Distance, random: Random
) -> list[EngineCandidate]:
    """Draw the engines to weigh; for a short prompt, half from the own data centre.

    A sample over all data centres may hold hardly any near engine, and then the answer
    crosses although near engines are as good.
    """
    if not distance.crossing_cost or most != MAX_ENGINES_WEIGHED_FOR_SHORT:
        return random.sample(candidates, min(most, len(candidates)))
    near = [each for each in candidates if each.data_centre == distance.data_centre]
    far = [each for each in candidates if each.data_centre != distance.data_centre]
    from_near = min(len(near), max(most // 2, most - len(far)))
    from_far = min(len(far), most - from_near)
    return random.sample(near, from_near) + random.sample(far, from_far)


def shortest_wait(engines: list[AssessedEngine]) -> float:
    """Return the time until the first engine has prefilled its pending parts."""
    return max(0.1, min(each.view.backlog_seconds for each in engines))


def is_short(prompt: PromptToPlace, model: EngineModel, parts: int) -> bool:
    """Return whether parts are so short that more engines would gain nothing."""
    seconds = prefill_seconds(model, prompt.size.prompt_tokens, parts)
    return seconds < SHORT_PREFILL_SECONDS / 4


def split_prefill(placing: Placing, parts: int) -> EnginesChosen | None:
    """Choose the cheapest engines, if enough may help.

    The one that decodes holds the whole prompt.
    """
    memory = (placing.needed_tokens, *(0 for _ in range(parts - 1)))
    return choose_engines(placing, placing.roomy, placing.engines, memory)


def split_memory(placing: Placing, parts: int) -> EnginesChosen | None:
    """Choose engines that hold the prompt's memory together, if enough have room.

    Each holds an even share, so a decode step costs the context of one share only.
    """
    if parts == 1:
        return None
    share = math.ceil(placing.needed_tokens * MEMORY_MARGIN / parts)
    able = [
        each
        for each in placing.engines
        if each.candidate.may_help and free_memory(each, placing.model) >= share
    ]
    if len(able) < parts:
        return None
    return choose_engines(placing, able, able, (share,) * parts)


def choose_engines(
    placing: Placing,
    decoders: list[AssessedEngine],
    others: list[AssessedEngine],
    memory: tuple[int, ...],
) -> EnginesChosen | None:
    """Choose the engine that decodes and its helpers; `memory` is what each holds.

    Return None if too few of the others may help.
    """
    part = even_part(placing, len(memory))
    decoder = best_decoder(placing, part, decoders)
    helpers = best_helpers(placing, part, decoder, others)[: len(memory) - 1]
    if len(helpers) < len(memory) - 1:
        return None
    return total_choice(placing, part, decoder, helpers, memory)


def even_part(placing: Placing, parts: int) -> PromptPart:
    """Return one of the even parts of the prompt."""
    model, tokens = placing.model, placing.prompt.size.prompt_tokens
    return PromptPart(
        prefill_seconds(model, tokens, parts), prefill_chunks(model, tokens, parts)
    )


def best_decoder(
    placing: Placing, part: PromptPart, engines: list[AssessedEngine]
) -> PartCost:
    """Choose the engine that costs least as the one that decodes."""
    costs = (decoder_cost(each, part, placing) for each in engines)
    return min(costs, key=lambda cost: cost.rank)


def best_helpers(
    placing: Placing, part: PromptPart, decoder: PartCost, engines: list[AssessedEngine]
) -> list[PartCost]:
    """Return the other engines in the order of their cost as helpers."""
    others = (
        each
        for each in engines
        if each is not decoder.engine and each.candidate.may_help
    )
    costs = [helper_cost(each, part, placing, decoder.engine) for each in others]
    return sorted(costs, key=lambda cost: cost.rank)


def total_choice(
    placing: Placing,
    part: PromptPart,
    decoder: PartCost,
    helpers: list[PartCost],
    memory: tuple[int, ...],
) -> EnginesChosen:
    """Add up the cost of a choice; `memory` is what each engine holds."""
    chosen = (decoder, *helpers)
    until_prefilled = max(each.ready_seconds for each in chosen)
    first_token = until_prefilled + first_event_delay(decoder.engine, alone=not helpers)
    value = placing.work.value
    cost = (
        value * lateness(first_token / placing.prompt.objective_seconds)
        + value * max(each.engine.candidate.penalty for each in chosen)
        + sum(each.harm for each in chosen)
        + EXTRA_ENGINE_COST * placing.prompt.weight * len(helpers)
    )
    parts = tuple(
        EnginePart(
            each.engine.candidate.upstream_id,
            part.on(each.engine).prefill_seconds,
            part.chunks,
            each is decoder,
            tokens,
        )
        for each, tokens in zip(chosen, memory, strict=True)
    )
    return EnginesChosen(placing.work._replace(parts=parts), first_token, cost)
