"""Forecast when engines finish pending prefills, and what long passes cost others."""

import math
from typing import NamedTuple

from cowslipshelf_core.internal.gateway.messages import EngineWork

LATE_FROM = 0.6
"""Share of the objective from which a predicted first token may come late: the
prediction misses what other gateways placed in the last milliseconds, and prompts yet
to come."""
LATE_FOR_CERTAIN = 1.2
"""Share of the objective beyond which a first token certainly comes late."""
EARLY_SLOPE = 0.02
"""Slope below `LATE_FROM`, which breaks ties between engines that are in time."""
LATE_SLOPE = 0.05
"""Growth beyond `LATE_FOR_CERTAIN`, so that the earlier of two late ones is chosen."""
PAUSE_LATE_FROM = 0.8
"""Share of the allowed pause from which a pass may delay an event for too long."""
ABANDON_SECONDS = 2.0
ABANDON_OBJECTIVES = 4.0
ABANDON_PAUSES = 8.0
"""A caller abandons its request after a silence of the longest of these: a fixed time,
and multiples of the route's objectives for the first event and between events."""
ABANDON_FROM = 0.9
"""Share of that silence from which a pass may make a caller abandon its request."""
LATE_VALUE_SHARE = 0.25
"""Share of its value that a late answer keeps, from both users' tables of value."""
ABANDON_COST = 1.0
"""Cost of an abandoned request beyond that of a late answer, as a share of its value: a
late answer keeps a quarter of it, and what was decoded is thrown away."""
UNSERVED_COST = 10.0
"""Cost of any request that ends unserved, in units of the value of a short prompt's
answer: its caller has nothing, however little the answer was worth."""


class PrefillWork(NamedTuple):
    """Describe the rest of a part that is still to be prefilled."""

    prefill_seconds: float
    chunks: float


class Forecast(NamedTuple):
    """Hold what an engine is predicted to do."""

    ready_seconds: tuple[float, ...]
    """Time until each pending part is prefilled."""
    longest_pass_seconds: float


class EnginePace(NamedTuple):
    """Describe the passes of an engine, with its recent slowness."""

    pass_starts_seconds: float
    """Time until the next pass begins."""
    decode_pass_seconds: float
    """Length of a pass that prefills nothing."""
    steps_per_pass: int
    is_decoding: bool
    """Whether any request decodes there, which makes passes long."""


def forecast(pending: list[PrefillWork], pace: EnginePace) -> Forecast:
    """Forecast the passes that prefill the pending parts, in their order.

    A part is ready at the end of the pass that prefills its last chunk; that pass goes
    on with the next parts, as far as its steps allow.
    """
    if not pace.is_decoding:
        return forecast_prefill_only(pending, pace)
    at, longest = pace.pass_starts_seconds, pace.decode_pass_seconds
    length, room = pace.decode_pass_seconds, float(pace.steps_per_pass)
    ready: list[float] = []
    completed = 0
    for seconds, chunks in pending:
        while chunks > room:
            taken = seconds * room / chunks
            at += length + taken
            longest = max(longest, length + taken)
            ready += [at] * completed
            seconds, chunks, completed = seconds - taken, chunks - room, 0
            length, room = pace.decode_pass_seconds, float(pace.steps_per_pass)
        length += seconds
        room -= chunks
        completed += 1
    ready += [at + length] * completed
    return Forecast(tuple(ready), max(longest, length))


def forecast_prefill_only(pending: list[PrefillWork], pace: EnginePace) -> Forecast:
    """Forecast an engine that decodes nothing, whose passes are too short to matter."""
    at = pace.pass_starts_seconds
    ready = []
    for seconds, _ in pending:
        at += seconds
        ready.append(at)
    return Forecast(tuple(ready), pace.decode_pass_seconds)


def pause_cost(pass_time: float, work: EngineWork, late: bool = False) -> float:
    """Return what a pass costs a decoding attempt, as a share of its value.

    The pause may be too long, or make the caller abandon its request. An attempt that
    is late already keeps the value of a late answer, and can only lose that.
    """
    silence = abandon_seconds(work.objective_seconds, work.pause_seconds)
    abandons = pass_time > ABANDON_FROM * silence
    unserved = UNSERVED_COST / work.value if abandons else 0.0
    if late:
        return LATE_VALUE_SHARE + unserved if abandons else 0.0
    delayed = lateness(pass_time / work.pause_seconds * (LATE_FROM / PAUSE_LATE_FROM))
    return delayed + (ABANDON_COST + unserved if abandons else 0.0)


def abandon_seconds(objective_seconds: float, pause_seconds: float) -> float:
    """Return the silence after which a caller abandons its request, in seconds."""
    return max(
        ABANDON_SECONDS,
        ABANDON_OBJECTIVES * objective_seconds,
        ABANDON_PAUSES * pause_seconds,
    )


def lateness(ratio: float) -> float:
    """Return how likely something is late, from its predicted share of the objective.

    Rises from nearly 0 to 1 between `LATE_FROM` and `LATE_FOR_CERTAIN`.
    """
    early = EARLY_SLOPE * min(ratio, LATE_FROM)
    if ratio <= LATE_FROM:
        return early
    if ratio < LATE_FOR_CERTAIN:
        return early + (ratio - LATE_FROM) / (LATE_FOR_CERTAIN - LATE_FROM)
    return early + 1.0 + LATE_SLOPE * math.log(ratio / LATE_FOR_CERTAIN)
