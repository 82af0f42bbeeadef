"""Win, wait for or take over the right to run under an idempotency key.

The claim is committed before the first hand-over and names the placed attempt, its
sidecar and that sidecar's epoch: whoever finds the key held can ask that sidecar to
revoke the attempt, without hearing from the entry instance that placed it.
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
"""What the replicated state refuses for; all else is wrong with the request itself."""


def claim_or_hand_over(
    state: RequestState, attempt: OpenAttempt, now: float
) -> list[RequestEffect]:
    """Hand over at once, unless a claim has to be asked or moved first."""
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
    """Compare and set the claim's attempt; the old one was promised never to run."""
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
    """Run where the claim is ours; else answer for whoever holds it."""
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
    """End with the reason for which the replicated state refused the key."""
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
    """Answer for a key that somebody else has moved or ended meanwhile.

    Of two resends that find the same dead holder, one wins the compare-and-set and
    runs. What the other saw before, a stored "not run" perhaps, is out of date: said
    now it would be false, and invite a new key and so a second run.
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
        # Our own command, committed twice: the first commit granted it, and nobody
        # else can have taken it over, since that would have changed the attempt.
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
    """Run after a stored "not run", which is a promise; repeat any other refusal."""
    if refusal.code is RefusalCode.NOT_RUN:
        state.other_claim = held
        return move_claim(state, attempt, held.attempt_id, now)
    return refuse(state, refusal)


def refuse_still_running(state: RequestState, detail: str) -> list[RequestEffect]:
    """Tell the caller that another request under its key runs."""
    # The code speaks of the caller's operation, which the key names: "not run" would
    # be true of this resend alone, and invite a new key and so a second run.
    refusal = Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        RefusalReason.STILL_RUNNING,
        "claim",
        detail=detail,
        retry_after_seconds=state.config.still_running_retry_seconds,
    )
    return refuse(state, refusal)


def revoke_holder(state: RequestState, held: ClaimHeld) -> list[RequestEffect]:
    """Ask the holder's sidecar to promise that the holder's attempt never runs."""
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
    """Take the key over after a promise, or follow the attempt where it runs.

    Where neither can be done the outcome is unknown, which is said at once.
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
    """Read the held attempt's frames in place of its dead owner, and store the answer.

    The sidecar keeps them from the first on. Nothing is handed over: this request's
    own attempt is given back. Only a whole answer is stored, as an owner that lives
    after all may yet read one where this request could not.
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
    """Refuse at once where the claim could not be committed in time.

    This request never runs, although the command may yet be committed: only it would
    hand over under its attempt, it does so only after the grant, and it ends here. But
    while nobody has told who holds the key, it may be a resend of a request that ran,
    and "not run" would tell its caller that the payment was never made. Its code is
    then "outcome unknown"; sending again under the key stays safe. A later resend
    finds the claim of an attempt that no sidecar has seen, and has it revoked.
    """
    refusal = event.refusal._replace(code=state.refusal_code())
    return refuse(state, refusal, AttemptOutcome.NEVER_RAN)
