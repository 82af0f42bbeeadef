"""Claim an idempotency key, or take it over from a request that has ended.

The claim is committed before the first hand-over and names the placed attempt, its
sidecar and that sidecar's epoch. A request that finds the key held can therefore ask
the sidecar to revoke the attempt without reaching the entry instance that placed it.
"""

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.internal.requests.claim_commands import (
    build_claim_asked,
    build_claim_moved,
)
from cowslipshelf_core.internal.requests.effects import (
    AskClaim,
    MoveClaim,
    Note,
    RequestEffect,
    Revoke,
)
from cowslipshelf_core.internal.requests.ending import (
    close_attempt,
    refuse,
    replay_answer,
)
from cowslipshelf_core.internal.requests.events import (
    ClaimAnswered,
    ClaimUnavailable,
    RevokeAnswered,
)
from cowslipshelf_core.internal.requests.handing_over import (
    NO_JITTER,
    hand_over,
    resume,
)
from cowslipshelf_core.internal.requests.retrying import back_off
from cowslipshelf_core.internal.requests.state import OpenAttempt, Phase, RequestState
from cowslipshelf_core.messages import (
    ClaimAbsent,
    ClaimGranted,
    ClaimHeld,
    ClaimRefused,
    MayHaveRun,
    NeverRan,
)
from cowslipshelf_core.placement_feedback import AttemptOutcome

CLAIM_REFUSAL_REASONS = {
    "key_reused": RefusalReason.KEY_REUSED,
    "customer_claims_full": RefusalReason.CUSTOMER_LIMIT,
    "claims_full": RefusalReason.OVERLOADED,
}
"""Refusals of the replicated state; any other reason is a bad request."""


def claim_or_hand_over(
    state: RequestState, attempt: OpenAttempt, now: float
) -> list[RequestEffect]:
    """Hand over the attempt, after claiming the key or moving the claim if needed."""
    if not state.request.has_key():
        return hand_over(state, attempt, now)
    if state.claim_attempt is not None:
        return move_claim(state, attempt, state.claim_attempt, now)
    state.phase = Phase.CLAIMING
    asked = build_claim_asked(state.request, attempt.chosen, state.seconds_left(now))
    return [AskClaim(asked)]


def move_claim(
    state: RequestState, attempt: OpenAttempt, from_attempt: AttemptId, now: float
) -> list[RequestEffect]:
    """Move the claim, by compare-and-set, from an attempt that will never run."""
    state.phase = Phase.MOVING_CLAIM
    seconds_left = state.seconds_left(now)
    return [
        MoveClaim(
            build_claim_moved(state.request, from_attempt, attempt.chosen, seconds_left)
        )
    ]


def on_claim_answered(
    state: RequestState, attempt: OpenAttempt, event: ClaimAnswered, now: float
) -> list[RequestEffect]:
    """Hand over if the claim was granted, else handle the claim of its holder."""
    match event.answer:
        case ClaimGranted(attempt_id):
            if not state.is_open(attempt_id):
                return state.drop_event()
            return _on_claim_granted(state, attempt, now)
        case ClaimRefused(reason):
            return on_claim_refused(state, reason)
        case ClaimHeld() as held:
            return _on_claim_held(state, attempt, held, event.owner_gone, now)
        case ClaimAbsent():
            return state.drop_event()


def _on_claim_granted(
    state: RequestState, attempt: OpenAttempt, now: float
) -> list[RequestEffect]:
    state.claim_attempt = attempt.chosen.attempt_id
    state.followed_request = None
    state.other_claim = None
    return hand_over(state, attempt, now)


def on_claim_refused(state: RequestState, reason: str) -> list[RequestEffect]:
    """End with the reason for which the replicated state refused the claim."""
    if state.phase is Phase.MOVING_CLAIM:
        return _on_move_refused(state, reason)
    refusal = Refusal(
        RefusalCode.NOT_RUN,
        CLAIM_REFUSAL_REASONS.get(reason, RefusalReason.BAD_REQUEST),
        "claim",
        detail=reason,
    )
    return refuse(state, refusal)


def _on_move_refused(state: RequestState, reason: str) -> list[RequestEffect]:
    """Refuse because another request has moved or finished the claim meanwhile.

    Of two resends that find the same dead holder, one wins the compare-and-set and
    runs. What the other one read before, such as a stored "not run", is stale:
    repeating it would be false and invite a resend under a new key, a second run.
    """
    state.claim_attempt = None
    state.followed_request = None
    return refuse_still_running(state, reason)


def _on_claim_held(
    state: RequestState,
    attempt: OpenAttempt,
    held: ClaimHeld,
    owner_gone: bool,
    now: float,
) -> list[RequestEffect]:
    if held.answer is not None:
        state.claim_attempt = None
        return replay_answer(state, held.answer)
    if state.is_open(held.attempt_id) and held.refusal is None:
        # This request's own command was committed twice. The first commit granted the
        # claim, and a takeover would have changed the attempt.
        return _on_claim_granted(state, attempt, now)
    if state.phase is Phase.MOVING_CLAIM:
        state.claim_attempt = None
        return refuse_still_running(state, "another request took the key over")
    if held.refusal is not None:
        return _on_stored_refusal(state, attempt, held, held.refusal, now)
    if not held.deadline_passed and not owner_gone:
        return refuse_still_running(state, f"request {held.request_id} runs")
    state.other_claim = held
    return revoke_holder(state, held)


def _on_stored_refusal(
    state: RequestState,
    attempt: OpenAttempt,
    held: ClaimHeld,
    refusal: Refusal,
    now: float,
) -> list[RequestEffect]:
    """Take over the key after a stored "not run"; repeat any other refusal.

    "Not run" guarantees that no attempt runs under the key.
    """
    if refusal.code is RefusalCode.NOT_RUN:
        state.other_claim = held
        return move_claim(state, attempt, held.attempt_id, now)
    return refuse(state, refusal)


def refuse_still_running(state: RequestState, detail: str) -> list[RequestEffect]:
    """Refuse because another request under the key is running."""
    # The code is about the operation that the key names. "Not run" would be true only
    # of this resend and invite another under a new key, which would run a second time.
    refusal = Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        RefusalReason.STILL_RUNNING,
        "claim",
        detail=detail,
        retry_after_seconds=state.config.still_running_retry_seconds,
    )
    return refuse(state, refusal)


def revoke_holder(state: RequestState, held: ClaimHeld) -> list[RequestEffect]:
    """Ask the sidecar of the key's holder to revoke the holder's attempt."""
    state.holder_revokes += 1
    state.phase = Phase.REVOKING_HELD
    note = Note(f"key is held by request {held.request_id}, which has ended")
    return [note, Revoke("", held.attempt_id, held.sidecar_epoch, held.upstream_id)]


def on_holder_revoke_answered(
    state: RequestState,
    attempt: OpenAttempt,
    held: ClaimHeld,
    event: RevokeAnswered,
    now: float,
) -> list[RequestEffect]:
    """Take over the key if the holder never ran, or follow its running attempt.

    Where neither is possible, refuse with "outcome unknown" at once.
    """
    match event.answer:
        case NeverRan(attempt_id) if attempt_id == held.attempt_id:
            return move_claim(state, attempt, held.attempt_id, now)
        case MayHaveRun(known=True):
            return follow_holder(state, held)
        case None if state.holder_revokes < state.config.max_revokes:
            doublings = state.holder_revokes - 1
            return back_off(
                state, Phase.WAITING_TO_REVOKE_HELD, doublings, NO_JITTER, now
            )
        case _:
            refusal = Refusal(
                RefusalCode.OUTCOME_UNKNOWN,
                RefusalReason.CONNECTION_LOST,
                "revoke",
                held.upstream_id,
                f"request {held.request_id} under this key may have run",
            )
            return refuse(state, refusal)


def follow_holder(state: RequestState, held: ClaimHeld) -> list[RequestEffect]:
    """Read the holder's attempt in place of its dead owner, and store the answer.

    The sidecar keeps all frames of the attempt. Nothing is handed over: this request's
    own attempt is closed. Only a complete answer is stored, because the owner may be
    alive after all and still read one where this request could not.
    """
    closing = close_attempt(state, AttemptOutcome.NEVER_RAN)
    chosen = ChosenUpstream(
        held.attempt_id, held.upstream_id, held.sidecar_epoch, "", 0
    )
    followed = OpenAttempt(chosen, handed_over=True, followed=True)
    state.attempt = followed
    state.followed_request = held.request_id
    state.claim_attempt = held.attempt_id
    state.may_have_run.add(held.attempt_id)
    note = Note(f"following attempt {held.attempt_id} of request {held.request_id}")
    return [*closing, note, *resume(state, followed)]


def on_claim_unavailable(
    state: RequestState, event: ClaimUnavailable
) -> list[RequestEffect]:
    """Refuse because the claim could not be committed in time.

    This request never runs, even if the command is committed later: its attempt is
    handed over only by this request, only after the grant, and it ends here. Until the
    holder of the key is known, however, it may be a resend of a request that ran, and
    "not run" would tell the caller that a payment was never made. The code is then
    "outcome unknown", and resending under the key stays safe: a later resend finds the
    claim of an attempt that no sidecar has seen, and has it revoked.
    """
    refusal = event.refusal._replace(code=state.refusal_code())
    return refuse(state, refusal, AttemptOutcome.NEVER_RAN)
