"""Decide whether and when a request may retry."""

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.internal.requests.effects import (
    AskRetryBudget,
    Note,
    RequestEffect,
    Wait,
)
from cowslipshelf_core.internal.requests.ending import (
    close_attempt,
    refuse,
    refuse_with_reason,
)
from cowslipshelf_core.internal.requests.events import RetryAnswered
from cowslipshelf_core.internal.requests.state import Phase, RequestState
from cowslipshelf_core.placement_feedback import AttemptOutcome

NON_RETRYABLE_REASONS = frozenset(
    {
        RefusalReason.DEADLINE_PASSED,
        RefusalReason.NOT_ALLOWED,
        RefusalReason.BAD_KEY,
        RefusalReason.BAD_REQUEST,
        RefusalReason.CUSTOMER_LIMIT,
        RefusalReason.KEY_REUSED,
    }
)
"""Reasons that lie in the request, so that any other upstream refuses it too."""


def guarantees_not_run(refusal: Refusal) -> bool:
    """Return whether a sidecar's refusal guarantees that the attempt never runs.

    A duplicate is refused because its first copy was accepted, which may be running.
    """
    return (
        refusal.code is RefusalCode.NOT_RUN
        and refusal.reason is not RefusalReason.DUPLICATE_ATTEMPT
    )


def retry_elsewhere(
    state: RequestState, refusal: Refusal, outcome: AttemptOutcome
) -> list[RequestEffect]:
    """Close the open attempt and request a retry on another upstream."""
    state.last_refusal = refusal
    attempt = state.attempt
    # A spread prompt may need every upstream, and any of its parts may have failed.
    # The router soon learns by itself which upstream is dead or full.
    if attempt is not None and not attempt.chosen.helpers:
        state.excluded.add(attempt.chosen.upstream_id)
    effects = close_attempt(state, outcome)
    if not _may_retry(state, refusal):
        return [*effects, *refuse_with_last_refusal(state)]
    state.delivery.reset_for_retry()
    state.phase = Phase.ASKING_BUDGET
    note = Note(f"trying elsewhere after {refusal.reason} at {refusal.step}")
    return [*effects, note, AskRetryBudget()]


def _may_retry(state: RequestState, refusal: Refusal) -> bool:
    if state.caller_gone or refusal.reason in NON_RETRYABLE_REASONS:
        return False
    return (
        state.hand_over_count < state.config.max_attempts
        and state.delivery.can_retry_elsewhere()
    )


def on_retry_answered(
    state: RequestState, event: RetryAnswered, now: float
) -> list[RequestEffect]:
    """Back off before the next placement, or end if the budget is spent."""
    if not event.allowed:
        return [Note("retry budget is spent"), *refuse_with_last_refusal(state)]
    return back_off(
        state, Phase.WAITING_TO_PLACE, state.hand_over_count - 1, event.jitter, now
    )


def back_off(
    state: RequestState, phase: Phase, doublings: int, jitter: float, now: float
) -> list[RequestEffect]:
    """Back off exponentially, scaled by the jitter factor, within the deadline."""
    config = state.config
    step = min(
        config.backoff_cap_seconds,
        config.backoff_base_seconds * 2.0 ** max(0, doublings),
    )
    state.phase = phase
    return [Wait(min(step * jitter, state.seconds_left(now)))]


def refuse_with_last_refusal(state: RequestState) -> list[RequestEffect]:
    """End with the refusal of the last attempt."""
    last = state.last_refusal
    if last is None:
        return refuse_with_reason(state, RefusalReason.NO_UPSTREAM, "place")
    return refuse(state, last._replace(code=state.refusal_code()))
