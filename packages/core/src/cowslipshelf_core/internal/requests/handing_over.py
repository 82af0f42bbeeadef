"""Hand over an attempt to a sidecar, and resolve an unknown result."""

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.internal.requests.effects import (
    Note,
    Report,
    RequestEffect,
    Resume,
    Revoke,
    SendHandOver,
)
from cowslipshelf_core.internal.requests.ending import refuse_with_reason
from cowslipshelf_core.internal.requests.events import (
    HandOverAnswered,
    HandOverLost,
    RevokeAnswered,
)
from cowslipshelf_core.internal.requests.retrying import (
    back_off,
    guarantees_not_run,
    retry_elsewhere,
)
from cowslipshelf_core.internal.requests.state import OpenAttempt, Phase, RequestState
from cowslipshelf_core.messages import AttemptRefused, MayHaveRun, NeverRan
from cowslipshelf_core.placement_feedback import (
    AttemptOutcome,
    HandOverAccepted,
    HandOverRefused,
)
from cowslipshelf_core.upstream import HandOver

NO_JITTER = 1.0
"""Jitter factor that waits the full backoff."""


def hand_over(
    state: RequestState, attempt: OpenAttempt, now: float
) -> list[RequestEffect]:
    """Send the open attempt; from now on it may run."""
    chosen = attempt.chosen
    attempt.handed_over = True
    attempt.handed_over_at = now
    state.hand_over_count += 1
    state.may_have_run.add(chosen.attempt_id)
    state.phase = Phase.HANDING_OVER
    note = Note(f"attempt {chosen.attempt_id} goes to {chosen.upstream_id}")
    return [
        note,
        SendHandOver(chosen.attempts_address, _build_hand_over(state, attempt, now)),
    ]


def _build_hand_over(state: RequestState, attempt: OpenAttempt, now: float) -> HandOver:
    request = state.request
    chosen = attempt.chosen
    return HandOver(
        request_id=request.request_id,
        attempt_id=chosen.attempt_id,
        owner=request.owner,
        upstream_id=chosen.upstream_id,
        sidecar_epoch=chosen.epoch,
        configuration_version=request.configuration_version,
        customer=request.customer,
        service=request.service,
        model=request.model,
        non_idempotent=request.is_non_idempotent(),
        deadline_seconds=state.seconds_left(now),
        prompt_tokens=request.prompt_tokens,
        max_output_tokens=request.max_output_tokens,
        priority=chosen.priority,
        prefix_hash=request.prefix_hash,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        delivered_tokens=state.delivery.delivered_tokens,
        load_sequence=chosen.load_sequence,
        from_token=chosen.from_token,
    )


def on_hand_over_answered(
    state: RequestState, attempt: OpenAttempt, event: HandOverAnswered
) -> list[RequestEffect]:
    """Read the stream, or retry elsewhere if the sidecar refused."""
    if event.refused is None:
        state.phase = Phase.STREAMING
        return [Report(HandOverAccepted(event.attempt_id))]
    report = Report(HandOverRefused(event.attempt_id, event.refused.load))
    return [report, *_on_hand_over_refused(state, attempt, event.refused)]


def _on_hand_over_refused(
    state: RequestState, attempt: OpenAttempt, refused: AttemptRefused
) -> list[RequestEffect]:
    if not guarantees_not_run(refused.refusal):
        return _on_uncertain_hand_over(state, attempt, refused.refusal)
    state.may_have_run.discard(attempt.chosen.attempt_id)
    return retry_elsewhere(state, refused.refusal, AttemptOutcome.NEVER_RAN)


def on_hand_over_lost(
    state: RequestState, attempt: OpenAttempt, event: HandOverLost
) -> list[RequestEffect]:
    """Retry elsewhere, after revoking an attempt that must not run twice.

    An attempt whose connection was never made was not sent. It can't arrive later
    either, since a hand-over is sent at most once.
    """
    peer = attempt.chosen.upstream_id
    refusal = Refusal(
        state.refusal_code(),
        RefusalReason.CONNECTION_LOST,
        "hand over",
        peer,
        "no answer",
    )
    if not event.may_have_arrived:
        state.may_have_run.discard(attempt.chosen.attempt_id)
        return retry_elsewhere(
            state, refusal._replace(code=state.refusal_code()), AttemptOutcome.FAILED
        )
    return _on_uncertain_hand_over(state, attempt, refusal)


def _on_uncertain_hand_over(
    state: RequestState, attempt: OpenAttempt, refusal: Refusal
) -> list[RequestEffect]:
    if not state.request.is_non_idempotent():
        return retry_elsewhere(state, refusal, AttemptOutcome.FAILED)
    state.last_refusal = refusal
    return revoke(state, attempt)


def revoke(state: RequestState, attempt: OpenAttempt) -> list[RequestEffect]:
    """Ask the sidecar to guarantee that the open attempt never runs."""
    chosen = attempt.chosen
    attempt.revokes += 1
    state.phase = Phase.REVOKING
    return [
        Revoke(
            chosen.attempts_address,
            chosen.attempt_id,
            chosen.epoch,
            chosen.upstream_id,
            chosen.load_sequence,
        )
    ]


def on_revoke_answered(
    state: RequestState, attempt: OpenAttempt, event: RevokeAnswered, now: float
) -> list[RequestEffect]:
    """Retry elsewhere if revoked, resume if running, else refuse at once."""
    match event.answer:
        case NeverRan(attempt_id) if attempt_id == event.attempt_id:
            return _on_revoked(state, attempt)
        case MayHaveRun(known=True):
            return resume(state, attempt)
        case None if attempt.revokes < state.config.max_revokes:
            doublings = attempt.revokes - 1
            return back_off(state, Phase.WAITING_TO_REVOKE, doublings, NO_JITTER, now)
        case _:
            # A restarted sidecar will never know, and an unreachable one was asked
            # often enough: refuse now instead of waiting for the deadline.
            return refuse_with_reason(state, RefusalReason.CONNECTION_LOST, "revoke")


def _on_revoked(state: RequestState, attempt: OpenAttempt) -> list[RequestEffect]:
    state.may_have_run.discard(attempt.chosen.attempt_id)
    last = state.last_refusal or Refusal(
        RefusalCode.NOT_RUN, RefusalReason.CONNECTION_LOST, "hand over"
    )
    refusal = last._replace(code=state.refusal_code())
    return retry_elsewhere(state, refusal, AttemptOutcome.FAILED)


def resume(state: RequestState, attempt: OpenAttempt) -> list[RequestEffect]:
    """Ask the same sidecar for the frames after the last one received."""
    chosen = attempt.chosen
    attempt.resumes += 1
    state.phase = Phase.RESUMING
    return [
        Resume(
            chosen.attempts_address,
            chosen.attempt_id,
            attempt.sequence,
            chosen.upstream_id,
        )
    ]
