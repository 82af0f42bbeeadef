"""End a request with exactly one final effect, then clean up."""

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.internal.requests.claim_commands import build_claim_finished
from cowslipshelf_core.internal.requests.effects import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerRefusal,
    Cancel,
    FinishClaim,
    Note,
    Report,
    RequestEffect,
)
from cowslipshelf_core.internal.requests.state import Phase, RequestState
from cowslipshelf_core.messages import ClaimGranted, StoredAnswer
from cowslipshelf_core.placement_feedback import AttemptEnded, AttemptOutcome

REPLAYED_HEADER = ("Idempotent-Replayed", "true")


def close_attempt(state: RequestState, outcome: AttemptOutcome) -> list[RequestEffect]:
    """Close the open attempt, if any, and cancel it if it may be running."""
    attempt = state.attempt
    if attempt is None:
        return []
    state.attempt = None
    if attempt.followed:
        # The attempt belongs to another request: its owner may be alive and reading it,
        # so it is not cancelled, and this entry's router does not know it.
        return []
    chosen = attempt.chosen
    effects: list[RequestEffect] = []
    if (
        chosen.attempt_id in state.may_have_run
        and outcome is not AttemptOutcome.FINISHED
    ):
        effects.append(Cancel(chosen.attempts_address, chosen.attempt_id))
    if not attempt.handed_over:
        outcome = AttemptOutcome.NEVER_RAN
    effects.append(Report(AttemptEnded(chosen.attempt_id, outcome)))
    return effects


def complete_answer(state: RequestState) -> list[RequestEffect]:
    """End a complete answer, after storing it for resends.

    Storing comes first: to a caller that dies right after the end, an answer that a
    resend can't get would look lost.
    """
    delivery = state.delivery
    stored = _store_outcome(state, delivery.stored_answer())
    # A buffered answer is small, so it is stored before its first byte is sent.
    rest = delivery.flush()
    answer = [*stored, *rest] if not delivery.streamed else [*rest, *stored]
    if state.caller_gone:
        answer = stored
    closing = close_attempt(state, AttemptOutcome.FINISHED)
    state.phase = Phase.ENDED
    return [*answer, AnswerEnd(), *closing]


def refuse(
    state: RequestState,
    refusal: Refusal,
    outcome: AttemptOutcome = AttemptOutcome.FAILED,
) -> list[RequestEffect]:
    """End with a refusal, sent before it is stored and the attempt is closed."""
    stored = _store_outcome(state, refusal)
    closing = close_attempt(state, outcome)
    state.phase = Phase.ENDED
    answer = AnswerRefusal(refusal, state.delivery.head_sent)
    note = Note(f"refused {refusal.code} {refusal.reason} at {refusal.step}")
    return [answer, note, *closing, *stored]


def refuse_with_reason(
    state: RequestState,
    reason: RefusalReason,
    step: str,
    detail: str = "",
    outcome: AttemptOutcome = AttemptOutcome.FAILED,
) -> list[RequestEffect]:
    """End with a refusal for the reason, with the code that is known to be true."""
    attempt = state.attempt
    peer = attempt.chosen.upstream_id if attempt is not None else ""
    return refuse(
        state, Refusal(state.refusal_code(), reason, step, peer, detail), outcome
    )


def replay_answer(state: RequestState, answer: StoredAnswer) -> list[RequestEffect]:
    """Answer with the stored answer of an earlier request under the key."""
    closing = close_attempt(state, AttemptOutcome.NEVER_RAN)
    state.phase = Phase.ENDED
    if not answer.whole:
        detail = f"ran whole with status {answer.status}; answer too large to store"
        refusal = Refusal(
            RefusalCode.OUTCOME_UNKNOWN,
            RefusalReason.TOO_LARGE,
            "replay",
            detail=detail,
        )
        return [AnswerRefusal(refusal, False), *closing]
    return [
        AnswerHead(answer.status, (*answer.headers, REPLAYED_HEADER)),
        *([AnswerChunk(answer.body)] if answer.body else []),
        AnswerEnd(),
        *closing,
    ]


def finish_late_grant(
    state: RequestState, granted: ClaimGranted
) -> list[RequestEffect]:
    """Finish a claim that was granted after its request had ended.

    Its attempt was never handed over, since that needs the grant. An unfinished claim
    would refuse every resend as "still running" until the deadline.
    """
    if (
        granted.attempt_id not in state.placed_attempts
        or state.claim_attempt is not None
    ):
        return state.drop_event()
    state.claim_attempt = granted.attempt_id
    refusal = Refusal(RefusalCode.NOT_RUN, RefusalReason.CANCELLED, "claim")
    return _store_outcome(state, refusal)


def _store_outcome(
    state: RequestState, outcome: StoredAnswer | Refusal | None
) -> list[RequestEffect]:
    attempt_id: AttemptId | None = state.claim_attempt
    if attempt_id is None:
        return []
    followed = state.followed_request
    if followed is not None and isinstance(outcome, Refusal):
        # The owner may be alive after all, and get the complete answer itself.
        return []
    holder = followed or state.request.request_id
    finished = build_claim_finished(state.request, holder, attempt_id, outcome)
    return [FinishClaim(finished, state.config.store_answer_seconds)]
