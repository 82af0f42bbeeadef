"""Weigh what it costs everybody that an engine reads a part of a prompt."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId, UpstreamId
from cowslipshelf_core.internal.gateway.configuration import EngineModel
from cowslipshelf_core.internal.gateway.engine_forecast import (
    EnginePace,
    Outlook,
    Pending,
    held_up,
    lateness,
    outlook,
)
from cowslipshelf_core.internal.gateway.engine_tracker import (
    EngineTracker,
    EngineView,
    UnreadPart,
)
from cowslipshelf_core.internal.gateway.messages import EngineWork
from cowslipshelf_core.internal.gateway.prompt_cost import (
    PromptSize,
    decode_pass_seconds,
    prefill_seconds,
)

FULL_COST = 0.6
"""Cost of each request beyond the slots, as a share of the worth: it waits until one
of those that run has ended."""
EMPTY_ENGINE_COST = 0.08
"""Charged to a short prompt that would be the first on an engine, in short questions,
so that empty ones stay free for long reads. Below what any lateness costs."""
SHORT_READ_SECONDS = 0.12
"""A prompt read faster than this keeps within the pauses of those who write (250 ms,
of which a pass takes 50 to 100), so it may share engines with them."""
MEAN_PASSES_WAITED = 1.5
"""Passes of a writing engine from the last part read to the first event: the pass
under way, half of it on average, and one that writes the event."""


class EngineCandidate(NamedTuple):
    """Be an engine that may be chosen."""

    upstream_id: UpstreamId
    slowness: float = 1.0
    """How many times longer than its model says it lately took."""
    penalty: float = 0.0
    """Share of the worth that is likely lost there, for failures seen lately."""


class PromptToPlace(NamedTuple):
    """Be a prompt that wants engines."""

    attempt_id: AttemptId
    size: PromptSize
    objective_seconds: float
    pause_seconds: float | None
    left_seconds: float
    """Time until the caller gives up."""

    @property
    def needed_tokens(self) -> int:
        """Return the memory that the prompt and its answer may take."""
        return self.size.prompt_tokens + self.size.max_output_tokens


class Seen(NamedTuple):
    """Be a candidate with what it is about to do."""

    candidate: EngineCandidate
    view: EngineView
    pace: EnginePace
    pending: list[Pending]
    """What no pass has taken up yet, in the order of reading."""
    outlook: Outlook


class Placing(NamedTuple):
    """Be one prompt to be placed, with what is known of the engines."""

    asked: PromptToPlace
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
        return self.asked.needed_tokens


class Part(NamedTuple):
    """Be an even part of a prompt."""

    prefill_seconds: float
    chunks: int

    def on(self, seen: Seen) -> Pending:
        """Return what it is on an engine, as slow as that lately was."""
        return Pending(self.prefill_seconds * seen.candidate.slowness, self.chunks)


class Share(NamedTuple):
    """Be what it comes to that an engine reads a part."""

    seen: Seen
    ready_seconds: float
    """Time until the part will have been read."""
    harm: float
    """What it costs those who share the engine."""
    rank: float
    """What speaks against this engine, on its own."""


def look_at(
    candidate: EngineCandidate, model: EngineModel, board: EngineTracker, now: float
) -> Seen:
    """Work out what a candidate is about to do."""
    view = board.view(candidate.upstream_id, model, now)
    seconds = decode_pass_seconds(
        model, len(view.decoding_attempts) + 1, view.memory_tokens
    )
    pace = EnginePace(
        view.pass_left_seconds,
        seconds * candidate.slowness,
        model.steps_per_pass,
        view.is_decoding,
    )
    pending = [Pending(each.left_seconds, each.left_chunks) for each in view.unread]
    return Seen(candidate, view, pace, pending, outlook(pending, pace))


def free_memory(seen: Seen, model: EngineModel) -> int:
    """Return how many tokens an engine's memory still holds."""
    return model.memory_tokens - seen.view.memory_tokens


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


def until_written(seen: Seen, alone: bool) -> float:
    """Return the time from the last part read to the first event.

    A prompt that its engine reads alone is written from the same pass on; where other
    engines' parts are waited for, the pass under way has to end.
    """
    if not seen.pace.is_decoding:
        return seen.pace.writing_seconds
    return 0.0 if alone else MEAN_PASSES_WAITED * seen.pace.writing_seconds


def writer_share(seen: Seen, part: Part, placing: Placing) -> Share:
    """Say what it comes to that an engine reads a part and writes the answer."""
    after = outlook([*seen.pending, part.on(seen)], seen.pace)
    harm = harm_to_decoding(seen, after) + sharing_cost(seen, placing)
    ready = after.ready_seconds[-1]
    first_token = ready + until_written(seen, alone=True)
    return Share(seen, ready, harm, harm + own_cost(seen, first_token, placing))


def helper_share(seen: Seen, part: Part, placing: Placing) -> Share:
    """Say what it comes to that an engine reads a part for another one."""
    after = outlook([part.on(seen), *seen.pending], seen.pace)
    harm = harm_to_decoding(seen, after) + harm_to_queued(seen, after, placing)
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
    decoding = len(seen.view.decoding_attempts)
    full = FULL_COST * work.value * max(0, decoding + 1 - model.slots)
    tokens = placing.asked.size.prompt_tokens
    short = prefill_seconds(model, tokens) < SHORT_READ_SECONDS
    empty = EMPTY_ENGINE_COST if short and not decoding else 0.0
    return full + empty + work.value * held_up(seen.pace.writing_seconds, work)


def harm_to_decoding(seen: Seen, after: Outlook) -> float:
    """Return what longer passes cost those who write on an engine.

    A pass with writers has one step for each of the tokens of an event, and each
    step may read one chunk: the pause grows by the chunks that fit into the pass.
    """
    before = seen.outlook.longest_pass_seconds
    longest = after.longest_pass_seconds
    if not seen.pace.is_decoding or longest <= before:
        return 0.0
    harm = 0.0
    for work, late in seen.view.decoding_attempts:
        more = held_up(longest, work, late) - held_up(before, work, late)
        harm += work.value * max(0.0, more)
    return harm


def harm_to_queued(seen: Seen, after: Outlook, placing: Placing) -> float:
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
