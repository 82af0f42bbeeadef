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
from cowslipshelf_core.internal.routed.engine_outlook import (
    EnginePace,
    Outlook,
    Pending,
    held_up,
    lateness,
    outlook,
)
from cowslipshelf_core.internal.routed.messages import EnginePart, EngineWork

PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
"""Numbers of engines that are tried for one prompt; the engines take 16 helpers."""
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
MOST_LOOKED_AT = 24
"""Engines that are weighed for a prompt which any of them can hold, drawn anew each
time. Gateways that weigh all of 78 meet on the same cheapest one within the 7 ms that
their word takes: 0.89 of short prompts were in time, 0.95 with a draw of 24, in 25 s
of the grown cooperative's load on emulated engines. Weighing takes 3 instead of 8 ms
of a processor."""
RESERVED_MARGIN = 1.03
"""Memory reserved over what is counted: engines set it aside in blocks, and a prompt
that lacks one is cut off."""
MEAN_PASSES_WAITED = 1.5
"""Passes of a writing engine from the last part read to the first event: the pass
under way, half of it on average, and one that writes the event."""
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
    pace: EnginePace
    pending: list[Pending]
    """What no pass has taken up yet, in the order of reading."""
    outlook: Outlook


class Placing(NamedTuple):
    """Be one prompt to be placed, with what is known of the engines."""

    asked: PromptAsked
    model: EngineModel
    seen: list[Seen]
    roomy: list[Seen]
    """Those whose memory holds the whole prompt."""
    ready_of: dict[AttemptId, float]
    """Time until the last part of each attempt on these engines will be read."""
    work: EngineWork
    """The prompt as others will see it, without its parts."""

    @property
    def needed_tokens(self) -> int:
        """Return the memory that the prompt and its answer may take."""
        return self.asked.size.prompt_tokens + self.asked.size.most_output_tokens


class Part(NamedTuple):
    """Be an even part of a prompt."""

    read_seconds: float
    chunks: int

    def on(self, seen: Seen) -> Pending:
        """Return what it is on an engine, as slow as that lately was."""
        return Pending(self.read_seconds * seen.candidate.slowness, self.chunks)


class Share(NamedTuple):
    """Be what it comes to that an engine reads a part."""

    seen: Seen
    ready_seconds: float
    """Time until the part will have been read."""
    harm: float
    """What it costs those who share the engine."""
    rank: float
    """What speaks against this engine, on its own."""


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
    needed = asked.size.prompt_tokens + asked.size.most_output_tokens
    looked_at = draw_candidates(candidates, needed <= model.memory_tokens, random)
    seen = [look_at(candidate, model, board, now) for candidate in looked_at]
    roomy = [each for each in seen if free_memory(each, model) >= needed]
    work = EngineWork(
        asked.attempt_id,
        (),
        worth_of(asked.size),
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
        least = SPREAD_COST * (parts - 1)
        if parts > len(placing.seen) or (best is not None and best.cost <= least):
            break
        if parts > 1 and is_short(placing.asked, placing.model, parts // 2):
            break
        choice = choose(placing, parts)
        if choice is not None and (best is None or choice.cost < best.cost):
            best = choice
    return best


def draw_candidates(
    candidates: list[Candidate], fits_one: bool, random: Random
) -> list[Candidate]:
    """Draw the engines to weigh; a prompt that fits none alone may need any."""
    most = MOST_LOOKED_AT if fits_one else len(candidates)
    return random.sample(candidates, min(most, len(candidates)))


def look_at(
    candidate: Candidate, model: EngineModel, board: EngineBoard, now: float
) -> Seen:
    """Work out what a candidate is about to do."""
    view = board.view(candidate.upstream_id, model, now)
    seconds = pass_seconds(model, len(view.writers) + 1, view.memory_tokens)
    pace = EnginePace(
        view.pass_left_seconds,
        seconds * candidate.slowness,
        model.steps_per_pass,
        view.writes,
    )
    pending = [Pending(each.left_seconds, each.left_chunks) for each in view.unread]
    return Seen(candidate, view, pace, pending, outlook(pending, pace))


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
        for unread, seconds in zip(
            each.view.unread, each.outlook.ready_seconds, strict=True
        ):
            attempt_id = unread.work.attempt_id
            ready[attempt_id] = max(ready.get(attempt_id, 0.0), seconds)
        for under_way in each.view.in_pass:
            attempt_id = under_way.work.attempt_id
            known = ready.get(attempt_id, 0.0)
            ready[attempt_id] = max(known, under_way.ready_seconds)
    return ready


def choose_parts(placing: Placing, parts: int) -> EnginesChosen:
    """Choose a number of engines, the cheapest ones; the one that writes holds all."""
    part = part_of(placing, parts)
    writer = best_writer(placing, part, placing.roomy)
    helpers = best_helpers(placing, part, writer, placing.seen)[: parts - 1]
    held = (placing.needed_tokens, *(0 for _ in helpers))
    return chosen(placing, part, writer, helpers, held)


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
    writer = best_writer(placing, part, able)
    helpers = best_helpers(placing, part, writer, able)[: parts - 1]
    return chosen(placing, part, writer, helpers, (share,) * parts)


def part_of(placing: Placing, parts: int) -> Part:
    """Return an even part of the prompt."""
    model, tokens = placing.model, placing.asked.size.prompt_tokens
    return Part(read_seconds(model, tokens, parts), read_chunks(model, tokens, parts))


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
        + SPREAD_COST * len(helpers)
    )
    parts = tuple(
        EnginePart(
            share.seen.candidate.upstream_id,
            part.on(share.seen).read_seconds,
            part.chunks,
            share is writer,
            tokens,
        )
        for share, tokens in zip(shares, held, strict=True)
    )
    return EnginesChosen(placing.work._replace(parts=parts), first_token, cost)


def until_written(seen: Seen, alone: bool) -> float:
    """Return the time from the last part read to the first event.

    A prompt that its engine reads alone is written from the same pass on; where other
    engines' parts are waited for, the pass under way has to end.
    """
    if not seen.view.writes:
        return seen.pace.writing_seconds
    return 0.0 if alone else MEAN_PASSES_WAITED * seen.pace.writing_seconds


def writer_share(seen: Seen, part: Part, placing: Placing) -> Share:
    """Say what it comes to that an engine reads a part and writes the answer."""
    after = outlook([*seen.pending, part.on(seen)], seen.pace)
    harm = harm_to_writers(seen, after) + sharing_cost(seen, placing)
    ready = after.ready_seconds[-1]
    first_token = ready + until_written(seen, alone=True)
    return Share(seen, ready, harm, harm + own_cost(seen, first_token, placing))


def helper_share(seen: Seen, part: Part, placing: Placing) -> Share:
    """Say what it comes to that an engine reads a part for another one."""
    after = outlook([part.on(seen), *seen.pending], seen.pace)
    harm = harm_to_writers(seen, after) + harm_to_waiting(seen, after, placing)
    # An engine that helps as many as it has slots refuses any more.
    refused = seen.view.helping >= placing.model.slots
    rank = harm + own_cost(seen, after.ready_seconds[0], placing)
    return Share(
        seen,
        after.ready_seconds[0],
        harm,
        rank + (placing.work.value if refused else 0.0),
    )


def own_cost(seen: Seen, ready: float, placing: Placing) -> float:
    """Return what the prompt itself loses by an engine that is ready at a time."""
    late = lateness(ready / placing.asked.objective_seconds)
    return placing.work.value * (late + seen.candidate.penalty)


def sharing_cost(seen: Seen, placing: Placing) -> float:
    """Return what it costs to write the answer beside those that write there."""
    model, work = placing.model, placing.work
    writers = len(seen.view.writers)
    full = FULL_COST * work.value * max(0, writers + 1 - model.slots)
    tokens = placing.asked.size.prompt_tokens
    short = read_seconds(model, tokens) < SHORT_READ_SECONDS
    empty = EMPTY_ENGINE_COST if short and not writers else 0.0
    return full + empty + work.value * held_up(seen.pace.writing_seconds, work)


def harm_to_writers(seen: Seen, after: Outlook) -> float:
    """Return what longer passes cost those who write on an engine.

    A pass with writers has one step for each of the tokens of an event, and each
    step may read one chunk: the pause grows by the chunks that fit into the pass.
    """
    before = seen.outlook.longest_pass_seconds
    longest = after.longest_pass_seconds
    if not seen.pace.writes or longest <= before:
        return 0.0
    harm = 0.0
    for work, late in seen.view.writers:
        more = held_up(longest, work, late) - held_up(before, work, late)
        harm += work.value * max(0.0, more)
    return harm


def harm_to_waiting(seen: Seen, after: Outlook, placing: Placing) -> float:
    """Return what a part that goes ahead costs those whose parts wait there."""
    later = zip(
        seen.view.unread,
        seen.outlook.ready_seconds,
        after.ready_seconds[1:],
        strict=True,
    )
    return sum(
        unread.work.value
        * (
            lateness_of(unread, seen, placing, now_ready)
            - lateness_of(unread, seen, placing, was_ready)
        )
        for unread, was_ready, now_ready in later
    )


def lateness_of(
    unread: UnreadPart, seen: Seen, placing: Placing, ready: float
) -> float:
    """Return how likely the first token of one who waits comes late.

    It comes after the last of the prompt's parts, which may be on another engine.
    """
    last_part = max(placing.ready_of[unread.work.attempt_id], ready)
    first_token = last_part + seen.pace.writing_seconds
    return lateness(
        (unread.waited_seconds + first_token) / unread.work.objective_seconds
    )
