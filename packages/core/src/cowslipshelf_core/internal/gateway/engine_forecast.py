"""Foresee when engines will have read what waits, and whom their passes hold up."""

import math
from typing import NamedTuple

from cowslipshelf_core.internal.gateway.messages import EngineWork

LATE_FROM = 0.6
"""Share of the objective from which on a predicted first token may come late: the
prediction leaves out other gateways' last milliseconds and prompts yet to come."""
LATE_SURELY = 1.2
"""Share of the objective beyond which a first token surely comes late."""
EARLIER_IS_BETTER = 0.02
"""Slope below the first share, which breaks ties between engines that are in time."""
LATER_IS_WORSE = 0.05
"""Growth beyond the second share, so that among late ones the earlier is chosen."""
HARM_FROM = 0.8
"""Share of the allowed pause from which on a pass may hold up a writer for too long."""
LEAVE_SECONDS = 2.0
LEAVE_OBJECTIVES = 4.0
LEAVE_PAUSES = 8.0
"""Callers leave after a silence of the longest of these: a time, and so many times
what their route allows for the first event and between events."""
LEAVE_FROM = 0.9
"""Share of that silence from which on a pass may make a caller leave."""
LATE_SHARE = 0.25
"""What a late answer keeps of the worth, as both users' sheets have it."""
LOST_COST = 1.0
"""What a caller that leaves costs beyond one that gets its answer late, as a share of
the worth: a late answer keeps a quarter of it, and what was written is thrown away."""


class Pending(NamedTuple):
    """Be a part that is still to be read."""

    prefill_seconds: float
    chunks: float


class Outlook(NamedTuple):
    """Say how an engine will go on."""

    ready_seconds: tuple[float, ...]
    """Time until each pending part will have been read."""
    longest_pass_seconds: float


class EnginePace(NamedTuple):
    """Be how an engine works, as slow as it lately was."""

    begins_seconds: float
    """Time until the next pass begins."""
    writing_seconds: float
    """Length of a pass that reads nothing."""
    steps_per_pass: int
    is_decoding: bool
    """Whether anybody writes there, which makes passes long."""


def outlook(pending: list[Pending], pace: EnginePace) -> Outlook:
    """Foresee the passes that read the pending parts, in their order.

    A part is ready at the end of the pass that reads its last piece, and that pass
    goes on to read what comes after it, as far as its steps allow.
    """
    if not pace.is_decoding:
        return read_alone(pending, pace)
    at, longest = pace.begins_seconds, pace.writing_seconds
    length, room = pace.writing_seconds, float(pace.steps_per_pass)
    ready: list[float] = []
    completed = 0
    for seconds, chunks in pending:
        while chunks > room:
            taken = seconds * room / chunks
            at += length + taken
            longest = max(longest, length + taken)
            ready += [at] * completed
            seconds, chunks, completed = seconds - taken, chunks - room, 0
            length, room = pace.writing_seconds, float(pace.steps_per_pass)
        length += seconds
        room -= chunks
        completed += 1
    ready += [at + length] * completed
    return Outlook(tuple(ready), max(longest, length))


def read_alone(pending: list[Pending], pace: EnginePace) -> Outlook:
    """Foresee an engine that has no writers, whose passes are too short to count."""
    at = pace.begins_seconds
    ready = []
    for seconds, _ in pending:
        at += seconds
        ready.append(at)
    return Outlook(tuple(ready), pace.writing_seconds)


def held_up(pass_time: float, work: EngineWork, late: bool = False) -> float:
    """Return what a pass costs a writer, as a share of its worth.

    It may make a pause that is too long, or the caller leave. One that is late already
    keeps a late answer's worth, and can only lose that.
    """
    silence = abandon_seconds(work.objective_seconds, work.pause_seconds)
    leaves = pass_time > LEAVE_FROM * silence
    if late:
        return LATE_SHARE if leaves else 0.0
    delayed = lateness(pass_time / work.pause_seconds * (LATE_FROM / HARM_FROM))
    return delayed + (LOST_COST if leaves else 0.0)


def abandon_seconds(objective_seconds: float, pause_seconds: float) -> float:
    """Return the silence after which a caller leaves, in seconds."""
    return max(
        LEAVE_SECONDS,
        LEAVE_OBJECTIVES * objective_seconds,
        LEAVE_PAUSES * pause_seconds,
    )


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
