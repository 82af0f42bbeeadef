"""Estimate what it costs all prompts if an engine prefills a part of a new one."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId, DataCentre, UpstreamId
from cowslipshelf_core.internal.gateway.configuration import EngineModel
from cowslipshelf_core.internal.gateway.engine_forecast import (
    EnginePace,
    Forecast,
    PrefillWork,
    forecast,
    lateness,
    pause_cost,
)
from cowslipshelf_core.internal.gateway.engine_tracker import (
    EngineTracker,
    EngineView,
    PendingPart,
)
from cowslipshelf_core.internal.gateway.messages import EngineWork
from cowslipshelf_core.internal.gateway.prompt_cost import (
    PromptSize,
    decode_pass_seconds,
    prefill_seconds,
)

FULL_ENGINE_COST = 0.6
"""Cost of each request beyond the slots, as a share of its value: it waits until a
running one has ended."""
EMPTY_ENGINE_COST = 0.08
"""Cost of placing a short prompt on an engine without requests, in units of the value
of a short prompt's answer. It keeps empty engines free for long prefills, and is lower
than the cost of any lateness."""
RESERVED_SLOTS = 1
"""Slots of an engine that short prompts leave free as long as others have room: another
gateway may place a prompt there in the same milliseconds."""
SHORT_PREFILL_SECONDS = 0.12
"""A prompt prefilled faster than this fits into the allowed pauses of decoding requests
(250 ms, of which a pass takes 50 to 100), so it may share engines with them."""
MEAN_PASSES_TO_FIRST_EVENT = 1.5
"""Passes of a decoding engine from the last part prefilled to the first event: the rest
of the current pass, half of it on average, and one that decodes the event."""
HELPER_CROSSING_SHARE = 0.25
"""Share of the crossing cost that a helper in another data centre than the decoder is
charged: it sends far less between them than a stream of events."""


class EngineCandidate(NamedTuple):
    """Describe an engine that may be chosen."""

    upstream_id: UpstreamId
    slowness: float = 1.0
    """Recent durations as a multiple of those of the engine's model."""
    penalty: float = 0.0
    """Share of a prompt's value that is likely lost there, from recent failures."""
    data_centre: DataCentre = DataCentre("")
    surcharge: float = 0.0
    """Cost of using the engine at all, in units of the value of a short prompt's
    answer."""
    pending_slowness: float = 1.0
    """Slowness by which the parts that wait there take longer than their model says."""
    may_help: bool = True
    """Whether it may share a prompt's memory or prefill for another engine. One that
    names a limit may not: parts, orders and probes would reach it without a permit."""


class Distance(NamedTuple):
    """Hold where a gateway is, and what an answer costs that crosses data centres."""

    data_centre: DataCentre = DataCentre("")
    crossing_cost: float = 0.0
    """In units of the value of a short prompt's answer; zero if distance does not
    matter."""

    def cost(self, one: DataCentre, other: DataCentre) -> float:
        """Return the cost of events or prompt parts between two data centres."""
        return 0.0 if one == other else self.crossing_cost


NO_DISTANCE = Distance()


class PromptToPlace(NamedTuple):
    """Describe a prompt to be placed on engines."""

    attempt_id: AttemptId
    size: PromptSize
    objective_seconds: float
    pause_seconds: float | None
    left_seconds: float
    """Time until the caller gives up."""
    weight: float = 1.0
    """Factor on the value of the answer, by the rank of the request.

    It applies to the fixed costs of engines too, or they would outweigh lateness.
    """

    @property
    def needed_tokens(self) -> int:
        """Return the memory that the prompt and its answer may take."""
        return self.size.prompt_tokens + self.size.max_output_tokens


class AssessedEngine(NamedTuple):
    """Hold a candidate with the forecast of its present work."""

    candidate: EngineCandidate
    view: EngineView
    pace: EnginePace
    pending: list[PrefillWork]
    """Prefill work that no pass has started, in its order."""
    forecast: Forecast


class Placing(NamedTuple):
    """Hold a prompt to be placed and the state of the engines that are weighed."""

    prompt: PromptToPlace
    model: EngineModel
    engines: list[AssessedEngine]
    roomy: list[AssessedEngine]
    """Engines with free memory for the whole prompt."""
    ready_of: dict[AttemptId, float]
    """Time until the last part of each attempt on these engines is prefilled."""
    work: EngineWork
    """The prompt as it is reported to other gateways, without its parts."""
    distance: Distance = NO_DISTANCE

    @property
    def needed_tokens(self) -> int:
        """Return the memory that the prompt and its answer may take."""
        return self.prompt.needed_tokens


class PromptPart(NamedTuple):
    """Describe one of the even parts of a prompt."""

    prefill_seconds: float
    chunks: int

    def on(self, engine: AssessedEngine) -> PrefillWork:
        """Return the work of the part on an engine, with its recent slowness."""
        return PrefillWork(
            self.prefill_seconds * engine.candidate.slowness, self.chunks
        )


class PartCost(NamedTuple):
    """Hold the effects of prefilling a part on an engine."""

    engine: AssessedEngine
    ready_seconds: float
    """Time until the part is prefilled."""
    harm: float
    """Cost to the other attempts on the engine."""
    rank: float
    """Cost by which this engine is compared with others."""


def assess_engine(
    candidate: EngineCandidate, model: EngineModel, tracker: EngineTracker, now: float
) -> AssessedEngine:
    """Forecast the present work of a candidate."""
    view = tracker.view(candidate.upstream_id, model, now)
    seconds = decode_pass_seconds(
        model, len(view.decoding_attempts) + 1, view.memory_tokens
    )
    pace = EnginePace(
        view.pass_left_seconds,
        seconds * candidate.slowness,
        model.steps_per_pass,
        view.is_decoding,
    )
    pending = [
        PrefillWork(each.left_seconds * candidate.pending_slowness, each.left_chunks)
        for each in view.pending_parts
    ]
    return AssessedEngine(candidate, view, pace, pending, forecast(pending, pace))


def free_memory(engine: AssessedEngine, model: EngineModel) -> int:
    """Return the free memory of an engine, in tokens."""
    return model.memory_tokens - engine.view.memory_tokens


def ready_times(engines: list[AssessedEngine]) -> dict[AttemptId, float]:
    """Return the time until the last part of each attempt is prefilled."""
    ready: dict[AttemptId, float] = {}
    for each in engines:
        for pending, seconds in zip(
            each.view.pending_parts, each.forecast.ready_seconds, strict=True
        ):
            attempt_id = pending.work.attempt_id
            ready[attempt_id] = max(ready.get(attempt_id, 0.0), seconds)
        for in_pass in each.view.parts_in_pass:
            attempt_id = in_pass.work.attempt_id
            known = ready.get(attempt_id, 0.0)
            ready[attempt_id] = max(known, in_pass.ready_seconds)
    return ready


def first_event_delay(engine: AssessedEngine, alone: bool) -> float:
    """Return the time from the last part prefilled to the first event.

    A prompt that its engine prefills alone decodes from the same pass on; when the
    parts of other engines are awaited, the current pass has to end first.
    """
    if not engine.pace.is_decoding:
        return engine.pace.decode_pass_seconds
    return (
        0.0 if alone else MEAN_PASSES_TO_FIRST_EVENT * engine.pace.decode_pass_seconds
    )


def decoder_cost(
    engine: AssessedEngine, part: PromptPart, placing: Placing
) -> PartCost:
    """Return the cost if an engine prefills a part and decodes the answer."""
    after = forecast([*engine.pending, part.on(engine)], engine.pace)
    harm = harm_to_decoding(engine, after) + sharing_cost(engine, placing)
    harm += fixed_cost(engine, placing, placing.distance.data_centre, 1.0)
    ready = after.ready_seconds[-1]
    first_token = ready + first_event_delay(engine, alone=True)
    return PartCost(engine, ready, harm, harm + own_cost(engine, first_token, placing))


def helper_cost(
    engine: AssessedEngine, part: PromptPart, placing: Placing, decoder: AssessedEngine
) -> PartCost:
    """Return the cost if an engine prefills a part for the engine that decodes."""
    after = forecast([part.on(engine), *engine.pending], engine.pace)
    harm = harm_to_decoding(engine, after) + harm_to_queued(engine, after, placing)
    harm += fixed_cost(
        engine, placing, decoder.candidate.data_centre, HELPER_CROSSING_SHARE
    )
    # An engine refuses more parts of other engines' prompts than it has slots.
    refused = engine.view.helping_parts >= placing.model.slots
    rank = harm + own_cost(engine, after.ready_seconds[0], placing)
    return PartCost(
        engine,
        after.ready_seconds[0],
        harm,
        rank + (placing.work.value if refused else 0.0),
    )


def fixed_cost(
    engine: AssessedEngine,
    placing: Placing,
    data_centre: DataCentre,
    crossing_share: float,
) -> float:
    """Return the cost of an engine used from a data centre, whatever runs there."""
    candidate = engine.candidate
    crossing = crossing_share * placing.distance.cost(
        data_centre, candidate.data_centre
    )
    return (candidate.surcharge + crossing) * placing.prompt.weight


def own_cost(engine: AssessedEngine, ready: float, placing: Placing) -> float:
    """Return the cost to the prompt itself if an engine is ready after a time."""
    late = lateness(ready / placing.prompt.objective_seconds)
    return placing.work.value * (late + engine.candidate.penalty)


def sharing_cost(engine: AssessedEngine, placing: Placing) -> float:
    """Return the cost of decoding the answer beside the engine's other requests."""
    model, work = placing.model, placing.work
    decoding = len(engine.view.decoding_attempts)
    full = FULL_ENGINE_COST * work.value * max(0, decoding + 1 - model.slots)
    tokens = placing.prompt.size.prompt_tokens
    short = prefill_seconds(model, tokens) < SHORT_PREFILL_SECONDS
    apart = spreading_cost(decoding, model.slots) if short else 0.0
    apart *= placing.prompt.weight
    return full + apart + work.value * pause_cost(engine.pace.decode_pass_seconds, work)


def spreading_cost(decoding: int, slots: int) -> float:
    """Return the cost of a short prompt on an engine by the requests that it decodes.

    Answers that are decoded together cost a pass little, while each engine that decodes
    any delays them by seconds when a long prompt is prefilled there. So short prompts
    fill engines one after the other, and leave the others to long ones.
    """
    room = max(1, slots - RESERVED_SLOTS)
    if decoding >= room:
        return EMPTY_ENGINE_COST
    return EMPTY_ENGINE_COST * (1.0 - decoding / room)


def harm_to_decoding(engine: AssessedEngine, after: Forecast) -> float:
    """Return the cost of longer passes to the attempts that decode on an engine.

    A pass of a decoding engine has one step for each token of an event, and each step
    may prefill one chunk: the pause grows by the chunks that fit into the pass.
    """
    before = engine.forecast.longest_pass_seconds
    longest = after.longest_pass_seconds
    if not engine.pace.is_decoding or longest <= before:
        return 0.0
    harm = 0.0
    for work, late in engine.view.decoding_attempts:
        more = pause_cost(longest, work, late) - pause_cost(before, work, late)
        harm += work.value * max(0.0, more)
    return harm


def harm_to_queued(engine: AssessedEngine, after: Forecast, placing: Placing) -> float:
    """Return the cost of a part that goes first to the parts that wait behind it."""
    later = zip(
        engine.view.pending_parts,
        engine.forecast.ready_seconds,
        after.ready_seconds[1:],
        strict=True,
    )
    return sum(
        pending.work.value
        * (
            first_token_lateness(pending, engine, placing, now_ready)
            - first_token_lateness(pending, engine, placing, was_ready)
        )
        for pending, was_ready, now_ready in later
    )


def first_token_lateness(
    pending: PendingPart, engine: AssessedEngine, placing: Placing, ready: float
) -> float:
    """Return how likely the first token of a waiting attempt comes late.

    It comes after the last of the prompt's parts, which may be on another engine.
    """
    last_part = max(placing.ready_of[pending.work.attempt_id], ready)
    first_token = last_part + engine.pace.decode_pass_seconds
    return lateness(
        (pending.waited_seconds + first_token) / pending.work.objective_seconds
    )
