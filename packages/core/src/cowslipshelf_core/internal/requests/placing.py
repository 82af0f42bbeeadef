"""Request a placement from the router and handle its answer."""

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.errors import Refusal, RefusalReason
from cowslipshelf_core.internal.requests.claim_lookup import look_up_claim
from cowslipshelf_core.internal.requests.claiming import claim_or_hand_over
from cowslipshelf_core.internal.requests.effects import (
    ChoosePlacement,
    Report,
    RequestEffect,
)
from cowslipshelf_core.internal.requests.ending import refuse
from cowslipshelf_core.internal.requests.state import OpenAttempt, Phase, RequestState
from cowslipshelf_core.placement_feedback import AttemptEnded, AttemptOutcome


def choose_placement(state: RequestState, now: float) -> list[RequestEffect]:
    """Ask the router for an upstream other than those that failed."""
    state.phase = Phase.PLACING
    return [ChoosePlacement(frozenset(state.excluded), state.seconds_left(now))]


def on_placed(
    state: RequestState, chosen: ChosenUpstream, now: float
) -> list[RequestEffect]:
    """Open the attempt, unless the answer is a duplicate with a known id."""
    if chosen.attempt_id in state.placed_attempts:
        return state.drop_event()
    state.placed_attempts.add(chosen.attempt_id)
    state.attempt = OpenAttempt(chosen)
    return claim_or_hand_over(state, state.attempt, now)


def release_unused(state: RequestState, chosen: ChosenUpstream) -> list[RequestEffect]:
    """Report an unexpected placement to the router as unused."""
    state.drop_event()
    if chosen.attempt_id in state.placed_attempts:
        return []
    state.placed_attempts.add(chosen.attempt_id)
    return [Report(AttemptEnded(chosen.attempt_id, AttemptOutcome.NEVER_RAN))]


def on_placement_refused(state: RequestState, refusal: Refusal) -> list[RequestEffect]:
    """End with the router's refusal, or with the last refusal of a sidecar.

    A request that does not hold its key looks it up first, since a stored answer needs
    no upstream. Placed requests skip the look-up: their claim returns the same.
    """
    if state.request.has_key() and state.claim_attempt is None:
        return look_up_claim(state, refusal)
    last = state.last_refusal
    if last is not None and refusal.reason is RefusalReason.NO_UPSTREAM:
        retry_after = last.retry_after_seconds or refusal.retry_after_seconds
        refusal = last._replace(retry_after_seconds=retry_after)
    return refuse(state, refusal._replace(code=state.refusal_code()))
