"""Choose the engines for a prompt by what its placing costs everybody who shares them.

Short prompts suffer from long ones in two ways: they wait behind a long read, and
while they write, a pass that also reads a long prompt holds up their next token. Long
prompts suffer from being read by one engine alone. So a prompt may be read in even
parts by several engines, and the choice weighs its own lateness against the harm done.
"""

import math
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId, UpstreamId
from cowslipshelf_core.internal.routed.configuration import EngineModel
from cowslipshelf_core.internal.routed.engine_board import (
    EngineBoard,
    EngineView,
    UnreadPart,
)
from cowslipshelf_core.internal.routed.engine_cost import (
    PromptSize,
    pass_seconds,
    read_chunks,
    read_seconds,
    worth_of,
)
from cowslipshelf_core.internal.routed.messages import EnginePart, EngineWork

PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
"""Numbers of engines that are tried for one prompt; the engines take 16 helpers."""
LATE_FROM = 0.6
"""Share of the objective from which on a predicted first token may come late: the
prediction leaves out passes under way and other gateways' last milliseconds."""
LATE_SURELY = 1.2
"""Share of the objective beyond which a first token surely comes late."""
EARLIER_IS_BETTER = 0.02
"""Slope below the first share, which breaks ties between engines that are in time."""
LATER_IS_WORSE = 0.05
"""Growth beyond the second share, so that among late ones the earlier is chosen."""
HARM_FROM = 0.8
"""Share of the allowed pause from which on a pass may hold up a writer for too long."""
CALLERS_LEAVE_SECONDS = 1.8
"""Pass after which callers may leave: they do so after two seconds without an event,
or longer where the route allows longer pauses."""
LOST_COST = 0.5
"""What a caller that leaves costs beyond one that gets its answer late, as a share of
the worth: a late answer keeps a quarter of it, and what was written is thrown away."""
FULL_COST = 0.6
"""Cost of each request beyond the slots, as a share of the worth: it waits until one
of those that run has ended."""
SPREAD_COST = 0.016
"""Charged for each further engine, in short questions; parts of a few milliseconds
gain less than the extra passes cost."""
EMPTY_ENGINE_COST = 0.08
"""Charged to a short prompt that would be the first on an engine, in short questions,
so that empty ones stay free for long reads. Below what any lateness costs."""
SHORT_READ_SECONDS = 0.12
"""A prompt read faster than this keeps within the pauses of those who write (250 ms,
of which a pass takes 50 to 100), so it may share engines with them."""
RESERVED_MARGIN = 1.03
"""Memory reserved over what is counted: engines set it aside in blocks, and a prompt
that lacks one is cut off."""
UNKNOWN_PAUSE_SECONDS = 1.0
"""Pause allowed where a route gives none."""


class Candidate(NamedTuple):
    """Be an engine that may be chosen."""

    upstream_id: UpstreamId
    slowness: float = 1.0
    """How many times longer than its model says it lately took."""
    penalty: float = 0.0
    """Share of the worth that is likely lost there, for failures seen lately."""


class PromptAsked(NamedTuple):
    """Be a prompt that wants engines."""

    attempt_id: AttemptId
    size: PromptSize
    objective_seconds: float
    pause_seconds: float | None
    left_seconds: float
    """Time until the caller gives up."""


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


class Seen(NamedTuple):
    """Be a candidate with what it is about to do."""

    candidate: Candidate
    view: EngineView
    pass_seconds: float
    steps_per_pass: int


class Placing(NamedTuple):
    """Be one prompt to be placed, with what is known of the engines."""

    asked: PromptAsked
    model: EngineModel
    seen: list[Seen]
    roomy: list[Seen]
    """Those whose memory holds the whole prompt."""
    ready_of: dict[AttemptId, float]
    """Time until the last part of each attempt on these engines will be read."""

    @property
    def needed_tokens(self) -> int:
        """Return the memory that the prompt and its answer may take."""
        return self.asked.size.prompt_tokens + self.asked.size.most_output_tokens


class Part(NamedTuple):
    """Be an even part of a prompt."""

    read_seconds: float
    chunks: int
    worth: float
    """Of the whole answer."""

    def read_on(self, seen: Seen) -> float:
        """Return the time to read it on an engine, as slow as that lately was."""
        return self.read_seconds * seen.candidate.slowness


def place_prompt(
    asked: PromptAsked,
    candidates: list[Candidate],
    model: EngineModel,
    board: EngineBoard,
    now: float,
    random: Random,
) -> EnginesChosen | NoEngine:
    """Choose the engines that cost least, or say that there are none in time."""
    if not candidates:
        return NoEngine("no engine of the service is known", 1.0)
    seen = [look_at(candidate, model, board, now) for candidate in candidates]
    random.shuffle(seen)
    needed = asked.size.prompt_tokens + asked.size.most_output_tokens
    roomy = [each for each in seen if free_memory(each, model) >= needed]
    placing = Placing(asked, model, seen, roomy, ready_times(seen))
    choices = []
    for parts in PART_COUNTS:
        if parts > len(seen) or (parts > 1 and is_short(asked, model, parts // 2)):
            break
        choice = choose_parts(placing, parts) if roomy else share_memory(placing, parts)
        if choice is not None:
            choices.append(choice)
    if not choices:
        reason = "the engines together have no memory for the prompt"
        return NoEngine(reason, shortest_wait(seen))
    best = min(choices, key=lambda choice: choice.cost)
    if best.first_token_seconds > asked.left_seconds:
        wait = best.first_token_seconds - asked.left_seconds
        return NoEngine("no engine can answer in time", wait)
    return best


def look_at(
    candidate: Candidate, model: EngineModel, board: EngineBoard, now: float
) -> Seen:
    """Work out what a candidate is about to do."""
    view = board.view(candidate.upstream_id, now)
    writers = len(view.writers)
    seconds = pass_seconds(model, writers + 1, view.memory_tokens)
    slowed = seconds * candidate.slowness
    return Seen(candidate, view, slowed, model.steps_per_pass)


def free_memory(seen: Seen, model: EngineModel) -> int:
    """Return how many tokens an engine's memory still holds."""
    return model.memory_tokens - seen.view.memory_tokens


def shortest_wait(seen: list[Seen]) -> float:
    """Return the time until the first engine will have read what it has."""
    return max(0.1, min(each.view.backlog_seconds for each in seen))


def is_short(asked: PromptAsked, model: EngineModel, parts: int) -> bool:
    """Tell whether parts are so short that more engines would gain nothing."""
    seconds = read_seconds(model, asked.size.prompt_tokens, parts)
    return seconds < SHORT_READ_SECONDS / 4


def ready_times(seen: list[Seen]) -> dict[AttemptId, float]:
    """Return when the last part of each attempt will be read."""
    ready: dict[AttemptId, float] = {}
    for each in seen:
        for unread in each.view.unread:
            attempt_id = unread.work.attempt_id
            known = ready.get(attempt_id, 0.0)
            ready[attempt_id] = max(known, unread.ready_seconds)
    return ready


def choose_parts(placing: Placing, parts: int) -> EnginesChosen:
    """Choose a number of engines, the cheapest ones; the one that writes holds all."""
    part = part_of(placing, parts)
    writer = min(placing.roomy, key=lambda each: writer_cost(each, part, placing))
    helpers = cheapest_helpers(placing, part, writer)[: parts - 1]
    held = (placing.needed_tokens, *(0 for _ in helpers))
    return chosen(placing, part, (writer, *helpers), held)


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
    part = part_of(placing, parts)
    writer = min(able, key=lambda each: writer_cost(each, part, placing))
    helpers = [each for each in cheapest_helpers(placing, part, writer) if each in able]
    return chosen(placing, part, (writer, *helpers[: parts - 1]), (share,) * parts)


def part_of(placing: Placing, parts: int) -> Part:
    """Return an even part of the prompt."""
    model, size = placing.model, placing.asked.size
    return Part(
        read_seconds(model, size.prompt_tokens, parts),
        read_chunks(model, size.prompt_tokens, parts),
        worth_of(size),
    )


def cheapest_helpers(placing: Placing, part: Part, writer: Seen) -> list[Seen]:
    """List the other engines, those first that cost least as helpers."""
    others = (each for each in placing.seen if each is not writer)
    return sorted(others, key=lambda each: helper_cost(each, part, placing))


def chosen(
    placing: Placing, part: Part, engines: tuple[Seen, ...], held: tuple[int, ...]
) -> EnginesChosen:
    """Add up what a choice costs; the first engine writes, `held` is their memory."""
    asked = placing.asked
    writer, *helpers = engines
    until_read = max(
        writer.view.backlog_seconds + part.read_on(writer),
        *(part.read_on(each) for each in helpers),
        0.0,
    )
    first_token = until_read + writer.pass_seconds
    cost = (
        part.worth * lateness(first_token / asked.objective_seconds)
        + harm_to_writers(writer, part)
        + sum(
            harm_to_writers(each, part) + harm_to_waiting(each, part, placing)
            for each in helpers
        )
        + part.worth * max(each.candidate.penalty for each in engines)
        + sharing_cost(writer, part, placing)
        + SPREAD_COST * len(helpers)
    )
    work = EngineWork(
        asked.attempt_id,
        tuple(
            EnginePart(
                each.candidate.upstream_id,
                part.read_on(each),
                part.chunks,
                each is writer,
                tokens,
            )
            for each, tokens in zip(engines, held, strict=True)
        ),
        part.worth,
        asked.objective_seconds,
        asked.pause_seconds or UNKNOWN_PAUSE_SECONDS,
    )
    return EnginesChosen(work, first_token, cost)


def writer_cost(seen: Seen, part: Part, placing: Placing) -> float:
    """Return what it costs to have an engine read a part and write the answer."""
    ready = seen.view.backlog_seconds + part.read_on(seen) + seen.pass_seconds
    return (
        part.worth * lateness(ready / placing.asked.objective_seconds)
        + part.worth * seen.candidate.penalty
        + harm_to_writers(seen, part)
        + sharing_cost(seen, part, placing)
    )


def helper_cost(seen: Seen, part: Part, placing: Placing) -> float:
    """Return what it costs to have an engine read a part for another one."""
    # An engine that helps as many as it has slots refuses any more.
    refused = part.worth if seen.view.helping >= placing.model.slots else 0.0
    return (
        part.worth * lateness(part.read_on(seen) / placing.asked.objective_seconds)
        + part.worth * seen.candidate.penalty
        + harm_to_writers(seen, part)
        + harm_to_waiting(seen, part, placing)
        + refused
    )


def sharing_cost(seen: Seen, part: Part, placing: Placing) -> float:
    """Return what it costs to write the answer beside those that write there."""
    asked, model = placing.asked, placing.model
    writers = len(seen.view.writers)
    full = FULL_COST * part.worth * max(0, writers + 1 - model.slots)
    short = read_seconds(model, asked.size.prompt_tokens) < SHORT_READ_SECONDS
    empty = EMPTY_ENGINE_COST if short and not writers else 0.0
    pause = asked.pause_seconds or UNKNOWN_PAUSE_SECONDS
    return full + empty + part.worth * held_up(seen.pass_seconds, pause)


def harm_to_writers(seen: Seen, part: Part) -> float:
    """Return what a part's reading costs those who write on the engine.

    A pass with writers has one step for each of the tokens of an event, and each
    step may read one chunk: the pause grows by the chunks that fit into the pass.
    """
    view = seen.view
    before = longest_pass(seen, view.backlog_seconds, view.backlog_chunks)
    after = longest_pass(
        seen,
        view.backlog_seconds + part.read_on(seen),
        view.backlog_chunks + part.chunks,
    )
    return sum(
        work.value
        * max(
            0.0,
            held_up(after, work.pause_seconds) - held_up(before, work.pause_seconds),
        )
        for work in view.writers
    )


def harm_to_waiting(seen: Seen, part: Part, placing: Placing) -> float:
    """Return what a part that goes ahead costs those whose parts wait there."""
    delay = part.read_on(seen)
    return sum(
        unread.work.value
        * (
            lateness_of(unread, seen, placing, delay)
            - lateness_of(unread, seen, placing, 0.0)
        )
        for unread in seen.view.unread
    )


def lateness_of(
    unread: UnreadPart, seen: Seen, placing: Placing, delay: float
) -> float:
    """Return how likely the first token of one who waits comes late.

    It comes after the last of the prompt's parts, which may be on another engine.
    """
    last_part = placing.ready_of[unread.work.attempt_id]
    ready = max(last_part, unread.ready_seconds + delay) + seen.pass_seconds
    return lateness((unread.waited_seconds + ready) / unread.work.objective_seconds)


def longest_pass(seen: Seen, backlog: float, chunks: int) -> float:
    """Return the longest pass that reading a backlog makes."""
    share = min(1.0, seen.steps_per_pass / chunks) if chunks else 0.0
    return seen.pass_seconds + backlog * share


def held_up(pass_time: float, pause: float) -> float:
    """Return how likely a pass makes a pause that is too long, or loses the caller."""
    late = lateness(pass_time / pause * (LATE_FROM / HARM_FROM))
    return late + (LOST_COST if pass_time > CALLERS_LEAVE_SECONDS else 0.0)


def lateness(ratio: float) -> float:
    """Return how likely something is late, from its predicted share of the bound.

    Rises from nearly 0 to 1 between the two shares.
    """
    early = EARLIER_IS_BETTER * min(ratio, LATE_FROM)
    if ratio <= LATE_FROM:
        return early
    if ratio < LATE_SURELY:
        return early + (ratio - LATE_FROM) / (LATE_SURELY - LATE_FROM)
    return early + 1.0 + LATER_IS_WORSE * math.log(ratio / LATE_SURELY)
