"""Look up the claim of a request that has a key and got no upstream.

The request may be a resend. When the fleet is full, the router refuses it before its
key was checked: a caller whose payment was made would be told "not run" instead of
getting the stored answer, which needs no upstream. The replicated state is therefore
asked before refusing, without claiming the key, since nothing can run under it now.
"""

from cowslipshelf_core.errors import Refusal, RefusalCode
from cowslipshelf_core.internal.requests.claim_commands import build_claim_looked_up
from cowslipshelf_core.internal.requests.claiming import (
    on_claim_refused,
    refuse_still_running,
)
from cowslipshelf_core.internal.requests.effects import LookUpClaim, RequestEffect
from cowslipshelf_core.internal.requests.ending import refuse, replay_answer
from cowslipshelf_core.internal.requests.events import ClaimAnswered
from cowslipshelf_core.internal.requests.state import Phase, RequestState
from cowslipshelf_core.messages import ClaimAbsent, ClaimHeld, ClaimRefused


def look_up_claim(state: RequestState, refusal: Refusal) -> list[RequestEffect]:
    """Look up the holder of the key, and keep the router's refusal meanwhile."""
    state.phase = Phase.LOOKING_UP
    state.placement_refusal = refusal
    return [LookUpClaim(build_claim_looked_up(state.request))]


def on_claim_lookup_answered(
    state: RequestState, refusal: Refusal, event: ClaimAnswered
) -> list[RequestEffect]:
    """Repeat the stored outcome, or end with the router's refusal."""
    match event.answer:
        case ClaimAbsent():
            state.key_is_unused = True
            return refuse(state, refusal._replace(code=state.refusal_code()))
        case ClaimRefused(reason):
            return on_claim_refused(state, reason)
        case ClaimHeld() as held:
            return _on_claim_held(state, refusal, held, event.owner_gone)
        case _:
            return state.drop_event()


def _on_claim_held(
    state: RequestState, refusal: Refusal, held: ClaimHeld, owner_gone: bool
) -> list[RequestEffect]:
    if held.answer is not None:
        return replay_answer(state, held.answer)
    if held.refusal is not None:
        return _on_stored_refusal(state, refusal, held.refusal)
    if not held.deadline_passed and not owner_gone:
        return refuse_still_running(state, f"request {held.request_id} runs")
    # Taking over the key would need an upstream, and there is none.
    detail = f"request {held.request_id} under this key may have run"
    return refuse(state, refusal._replace(code=state.refusal_code(), detail=detail))


def _on_stored_refusal(
    state: RequestState, refusal: Refusal, stored: Refusal
) -> list[RequestEffect]:
    """Repeat a stored refusal; in place of "not run" give the router's refusal."""
    if stored.code is RefusalCode.NOT_RUN:
        state.key_is_unused = True
        return refuse(state, refusal._replace(code=state.refusal_code()))
    return refuse(state, stored)
