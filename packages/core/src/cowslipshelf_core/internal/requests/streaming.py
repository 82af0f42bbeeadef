"""Pass on the frames of the open attempt, and carry the answer over a lost stream."""

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.internal.requests.effects import Note, Report, RequestEffect
from cowslipshelf_core.internal.requests.ending import end_whole, refuse, refuse_for
from cowslipshelf_core.internal.requests.handing_over import WHOLE_STEP, resume
from cowslipshelf_core.internal.requests.retrying import (
    is_truly_not_run,
    try_elsewhere,
    wait,
)
from cowslipshelf_core.internal.requests.state import OpenAttempt, Phase, RequestState
from cowslipshelf_core.messages import (
    AttemptReserved,
    Frame,
    PartPrefilled,
    StreamChunk,
    StreamEnd,
    StreamHead,
    StreamHeartbeat,
)
from cowslipshelf_core.placement_feedback import AttemptOutcome, FirstTokenSeen


def frame_arrived(
    state: RequestState, attempt: OpenAttempt, frame: Frame, now: float
) -> list[RequestEffect]:
    """Take a frame of the open attempt."""
    match frame:
        case StreamChunk():
            return _chunk(state, attempt, frame, now)
        case StreamHead():
            return _head(state, attempt, frame)
        case StreamEnd():
            return _end(state, attempt, frame)
        case StreamHeartbeat():
            return []
        case AttemptReserved() | PartPrefilled():
            # A stream that is read again from its beginning shows them again.
            return state.drop()


def _head(
    state: RequestState, attempt: OpenAttempt, head: StreamHead
) -> list[RequestEffect]:
    if attempt.head_seen:
        # A resumed stream may begin with its head again.
        return state.drop()
    state.ran = True
    attempt.head_seen = True
    if state.delivery.accepts_head(head):
        return []
    detail = f"continued with status {head.status}"
    refusal = _refusal(
        state, attempt, RefusalReason.UPSTREAM_FAILED, "continue", detail
    )
    return try_elsewhere(state, refusal, AttemptOutcome.FAILED)


def _chunk(
    state: RequestState, attempt: OpenAttempt, chunk: StreamChunk, now: float
) -> list[RequestEffect]:
    if chunk.sequence <= attempt.sequence:
        return state.drop()
    if chunk.sequence > attempt.sequence + 1 or not attempt.head_seen:
        state.drop()
        return stream_lost(state, attempt)
    attempt.sequence = chunk.sequence
    attempt.resumes = 0
    effects = _first_token(attempt, chunk, now)
    passed = state.delivery.take(chunk)
    if not state.caller_gone:
        effects.extend(passed)
    return effects


def _first_token(
    attempt: OpenAttempt, chunk: StreamChunk, now: float
) -> list[RequestEffect]:
    if attempt.first_token_seen or not chunk.tokens:
        return []
    attempt.first_token_seen = True
    if attempt.followed:
        return []
    seconds = now - attempt.handed_over_at
    return [Report(FirstTokenSeen(attempt.chosen.attempt_id, seconds))]


def _end(
    state: RequestState, attempt: OpenAttempt, end: StreamEnd
) -> list[RequestEffect]:
    if end.refusal is not None:
        return _ended_by_refusal(state, attempt, end.refusal)
    # An end that counts other pieces than were taken is no proof of a whole answer.
    if end.last_sequence != attempt.sequence or not attempt.head_seen:
        return stream_lost(state, attempt)
    return end_whole(state)


def _ended_by_refusal(
    state: RequestState, attempt: OpenAttempt, refusal: Refusal
) -> list[RequestEffect]:
    if is_truly_not_run(refusal) and not attempt.head_seen:
        state.may_have_run.discard(attempt.chosen.attempt_id)
        return try_elsewhere(state, refusal, AttemptOutcome.NEVER_RAN)
    state.ran = True
    if not state.request.is_non_idempotent():
        return try_elsewhere(state, refusal, AttemptOutcome.FAILED)
    code = refusal.code
    if code is RefusalCode.NOT_RUN:
        code = RefusalCode.OUTCOME_UNKNOWN
    return refuse(state, refusal._replace(code=code), AttemptOutcome.FAILED)


def stream_lost(state: RequestState, attempt: OpenAttempt) -> list[RequestEffect]:
    """Resume at the same sidecar, which keeps what it sent; else give up there."""
    if attempt.resumes >= state.config.max_resumes:
        return _give_up_stream(state, attempt, "lost again without a new piece")
    note = Note(f"stream lost after piece {attempt.sequence}; resuming")
    return [note, *resume(state, attempt)]


def resume_answered(
    state: RequestState, attempt: OpenAttempt, resumed: bool, now: float
) -> list[RequestEffect]:
    """Read on, or go on where the request may be repeated."""
    if resumed:
        state.phase = Phase.STREAMING
        return []
    may_wait = attempt.resumes < state.config.max_resumes
    if state.request.is_non_idempotent() and may_wait:
        doublings = attempt.resumes - 1
        return wait(state, Phase.WAITING_TO_RESUME, doublings, WHOLE_STEP, now)
    return _give_up_stream(state, attempt, "could not be resumed")


def _give_up_stream(
    state: RequestState, attempt: OpenAttempt, detail: str
) -> list[RequestEffect]:
    if state.request.is_non_idempotent():
        return refuse_for(state, RefusalReason.CONNECTION_LOST, "stream", detail)
    refusal = _refusal(state, attempt, RefusalReason.CONNECTION_LOST, "stream", detail)
    return try_elsewhere(state, refusal, AttemptOutcome.FAILED)


def _refusal(
    state: RequestState,
    attempt: OpenAttempt,
    reason: RefusalReason,
    step: str,
    detail: str,
) -> Refusal:
    return Refusal(state.code(), reason, step, attempt.chosen.upstream_id, detail)
