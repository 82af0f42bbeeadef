"""Handle the frames of the open attempt, and recover from a lost stream."""

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.internal.requests.effects import Note, Report, RequestEffect
from cowslipshelf_core.internal.requests.ending import (
    complete_answer,
    refuse,
    refuse_with_reason,
)
from cowslipshelf_core.internal.requests.handing_over import NO_JITTER, resume
from cowslipshelf_core.internal.requests.retrying import (
    back_off,
    guarantees_not_run,
    retry_elsewhere,
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


def on_frame_arrived(
    state: RequestState, attempt: OpenAttempt, frame: Frame, now: float
) -> list[RequestEffect]:
    """Handle a frame of the open attempt."""
    match frame:
        case StreamChunk():
            return _on_chunk(state, attempt, frame, now)
        case StreamHead():
            return _on_head(state, attempt, frame)
        case StreamEnd():
            return _on_end(state, attempt, frame)
        case StreamHeartbeat():
            return []
        case AttemptReserved() | PartPrefilled():
            # A stream that is read again from its beginning repeats these.
            return state.drop_event()


def _on_head(
    state: RequestState, attempt: OpenAttempt, head: StreamHead
) -> list[RequestEffect]:
    if attempt.head_seen:
        # A resumed stream may repeat its head.
        return state.drop_event()
    state.frame_seen = True
    attempt.head_seen = True
    if state.delivery.accept_head(head):
        return []
    detail = f"continued with status {head.status}"
    refusal = _build_refusal(
        state, attempt, RefusalReason.UPSTREAM_FAILED, "continue", detail
    )
    return retry_elsewhere(state, refusal, AttemptOutcome.FAILED)


def _on_chunk(
    state: RequestState, attempt: OpenAttempt, chunk: StreamChunk, now: float
) -> list[RequestEffect]:
    if chunk.sequence <= attempt.sequence:
        return state.drop_event()
    if chunk.sequence > attempt.sequence + 1 or not attempt.head_seen:
        state.drop_event()
        return on_stream_lost(state, attempt)
    attempt.sequence = chunk.sequence
    attempt.resumes = 0
    effects = _report_first_token(attempt, chunk, now)
    passed = state.delivery.add_chunk(chunk)
    if not state.caller_gone:
        effects.extend(passed)
    return effects


def _report_first_token(
    attempt: OpenAttempt, chunk: StreamChunk, now: float
) -> list[RequestEffect]:
    if attempt.first_token_seen or not chunk.tokens:
        return []
    attempt.first_token_seen = True
    if attempt.followed:
        return []
    seconds = now - attempt.handed_over_at
    return [Report(FirstTokenSeen(attempt.chosen.attempt_id, seconds))]


def _on_end(
    state: RequestState, attempt: OpenAttempt, end: StreamEnd
) -> list[RequestEffect]:
    if end.refusal is not None:
        return _on_end_with_refusal(state, attempt, end.refusal)
    # An end frame with another chunk count does not prove a complete answer.
    if end.last_sequence != attempt.sequence or not attempt.head_seen:
        return on_stream_lost(state, attempt)
    return complete_answer(state)


def _on_end_with_refusal(
    state: RequestState, attempt: OpenAttempt, refusal: Refusal
) -> list[RequestEffect]:
    if guarantees_not_run(refusal) and not attempt.head_seen:
        state.may_have_run.discard(attempt.chosen.attempt_id)
        return retry_elsewhere(state, refusal, AttemptOutcome.NEVER_RAN)
    state.frame_seen = True
    if not state.request.is_non_idempotent():
        return retry_elsewhere(state, refusal, AttemptOutcome.FAILED)
    code = refusal.code
    if code is RefusalCode.NOT_RUN:
        code = RefusalCode.OUTCOME_UNKNOWN
    return refuse(state, refusal._replace(code=code), AttemptOutcome.FAILED)


def on_stream_lost(state: RequestState, attempt: OpenAttempt) -> list[RequestEffect]:
    """Resume at the same sidecar, which keeps its frames, or give up the stream."""
    if attempt.resumes >= state.config.max_resumes:
        return _give_up_stream(state, attempt, "lost again without a new piece")
    note = Note(f"stream lost after piece {attempt.sequence}; resuming")
    return [note, *resume(state, attempt)]


def on_resume_answered(
    state: RequestState, attempt: OpenAttempt, resumed: bool, now: float
) -> list[RequestEffect]:
    """Continue reading, or wait to resume again, or give up the stream."""
    if resumed:
        state.phase = Phase.STREAMING
        return []
    may_wait = attempt.resumes < state.config.max_resumes
    if state.request.is_non_idempotent() and may_wait:
        doublings = attempt.resumes - 1
        return back_off(state, Phase.WAITING_TO_RESUME, doublings, NO_JITTER, now)
    return _give_up_stream(state, attempt, "could not be resumed")


def _give_up_stream(
    state: RequestState, attempt: OpenAttempt, detail: str
) -> list[RequestEffect]:
    if state.request.is_non_idempotent():
        return refuse_with_reason(
            state, RefusalReason.CONNECTION_LOST, "stream", detail
        )
    refusal = _build_refusal(
        state, attempt, RefusalReason.CONNECTION_LOST, "stream", detail
    )
    return retry_elsewhere(state, refusal, AttemptOutcome.FAILED)


def _build_refusal(
    state: RequestState,
    attempt: OpenAttempt,
    reason: RefusalReason,
    step: str,
    detail: str,
) -> Refusal:
    return Refusal(
        state.refusal_code(), reason, step, attempt.chosen.upstream_id, detail
    )
